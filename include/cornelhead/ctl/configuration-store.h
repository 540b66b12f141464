// Reads and atomically replaces the configuration in the platform's store.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "cornelhead/base/error.h"
#include "cornelhead/config/manifest.h"
#include "cornelhead/ctl/platform-operations.h"

namespace cornelhead {

/// The manifest in force and the revision of its key.
struct StoredManifest
{
    Manifest manifest;
    ModRevision modRevision;
};

/// Reads the manifest in force; empty if no configuration was accepted yet.
Result<std::optional<StoredManifest>> readManifest(const PlatformOperations &platform);
/// Reads and verifies the declarations that a manifest references.
Result<Declarations> readDeclarationsOf(const PlatformOperations &platform,
                                        const Manifest &manifest);
/// Reads all accepted manifests that were not pruned, oldest first; the last one is in force.
Result<std::vector<Manifest>> readHistory(const PlatformOperations &platform);

/// Why a node did not apply an accepted revision.
struct NodeRefusal
{
    NodeId node;
    std::string reason;
};

/// Reads the refusals that nodes reported for a revision; each reason is listed once.
Result<std::vector<NodeRefusal>> readRefusals(const PlatformOperations &platform,
                                              Revision revision);

/// A request to put declarations in force.
struct ApplyRequest
{
    /// Must be valid.
    Declarations declarations;
    std::string author;
    /// Identifies this edit; makes a repeated request idempotent.
    EditId edit;
    std::int64_t nowMs = 0;
    /// If set, fails with `Conflict` unless this revision is in force; 0 means no configuration.
    std::optional<Revision> expectedRevision;
};

struct ApplyOutcome
{
    Manifest manifest;
    /// False if the same declarations were already in force.
    bool isNew = false;
    std::size_t chunksWritten = 0;
    std::size_t bytesWritten = 0;
};

/// Puts declarations in force: writes missing chunks, then copies the previous manifest to the
/// history, then writes the new manifest by compare-and-swap, which commits the edit.
///
/// If the response to a write is lost, the outcome is determined by the manifest's edit id.
/// Missing or corrupted chunks of the manifest in force are written again.
/// Fails with
/// - `Conflict` if another edit was accepted in the meantime or `checkChange` rejects the change,
/// - `TooLarge` if the declarations exceed their size limit,
/// - `Unknown` if the platform cannot be read after a lost response; the same request may then be
///   repeated.
Result<ApplyOutcome> applyDeclarations(const PlatformOperations &platform,
                                       const ApplyRequest &request);

struct PruneOutcome
{
    std::size_t chunksRemoved = 0;
    std::size_t manifestsRemoved = 0;
};

/// Removes all past manifests except the newest `keep`, the refusals of the removed revisions, and
/// all chunks that no remaining manifest references.
///
/// Safe with a concurrent `applyDeclarations`: prune first rewrites the manifest unchanged, so that
/// an apply that started earlier loses its compare-and-swap and starts again.  An apply that starts
/// later rewrites the old chunks that it needs, so that their removal loses its compare-and-swap.
Result<PruneOutcome> pruneHistory(const PlatformOperations &platform, std::size_t keep);

} // namespace cornelhead
