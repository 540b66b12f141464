// The configuration as it is stored at the platform: reads it, and replaces it as a whole.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "cornelhead/base/error.h"
#include "cornelhead/config/manifest.h"
#include "cornelhead/ctl/platform-operations.h"

namespace cornelhead {

/// The manifest in force with the platform's revision of its key.
struct StoredManifest
{
    Manifest manifest;
    ModRevision modRevision;
};

/// Reads the manifest; nothing when no configuration was accepted yet.
Result<std::optional<StoredManifest>> readManifest(const PlatformOperations &platform);
/// Reads and checks the declarations that a manifest names.
Result<Declarations> readDeclarationsOf(const PlatformOperations &platform,
                                        const Manifest &manifest);
/// Reads all accepted manifests that are still kept, the oldest first; the last is in force.
Result<std::vector<Manifest>> readHistory(const PlatformOperations &platform);

/// Why a node did not act on an accepted revision.
struct NodeRefusal
{
    NodeId node;
    std::string reason;
};

/// Reads what nodes wrote about a revision that they refused; each reason is there once.
Result<std::vector<NodeRefusal>> readRefusals(const PlatformOperations &platform,
                                              Revision revision);

/// Asks for declarations to be put in force.
struct ApplyRequest
{
    /// Must have no faults.
    Declarations declarations;
    std::string author;
    /// Names this edit; a repeated request with the same id is the same edit.
    EditId edit;
    std::int64_t nowMs = 0;
    /// Refuses with `Conflict` unless this revision is in force; 0 stands for none.
    std::optional<Revision> expectedRevision;
};

struct ApplyOutcome
{
    Manifest manifest;
    /// False when the same declarations were in force already.
    bool isNew = false;
    std::size_t chunksWritten = 0;
    std::size_t bytesWritten = 0;
};

/// Puts declarations in force: writes missing chunks, then the past manifest into the history, then
/// the new manifest by compare-and-swap, which is the moment of acceptance.
///
/// A lost answer is resolved by reading the manifest's edit id.  Fails with `Conflict` when another
/// edit was accepted meanwhile, and with `Unknown` when the platform cannot be read after an answer
/// was lost; the same request may then be repeated.
Result<ApplyOutcome> applyDeclarations(const PlatformOperations &platform,
                                       const ApplyRequest &request);

struct PruneOutcome
{
    std::size_t chunksRemoved = 0;
    std::size_t manifestsRemoved = 0;
};

/// Removes past manifests but the last `keep`, with the refusals of their revisions, and all chunks
/// that no kept manifest names.
///
/// Safe beside a racing `applyDeclarations`: writing the manifest again, unchanged, makes every
/// apply that began before start anew, and one that begins later writes again the old chunks that
/// it needs, so that their removal loses its compare-and-swap.
Result<PruneOutcome> pruneHistory(const PlatformOperations &platform, std::size_t keep);

} // namespace cornelhead
