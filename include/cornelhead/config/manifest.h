// Storage format of a configuration on the platform: a manifest that lists content-addressed
// chunks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "cornelhead/base/error.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/config/declarations.h"

namespace cornelhead {

/// The platform limits values to one megabyte; chunks stay well below that.
constexpr std::size_t maxChunkBytes = 256 * 1024;

/// Maximum size of the canonical declarations; limits what a node reads before it can verify the
/// digest.
constexpr std::size_t maxDeclarationBytes = 32 * 1024 * 1024;

/// Key of the current manifest; a compare-and-swap on it accepts a configuration.
constexpr const char *manifestKey = "cornelhead/manifest";
/// Prefix of chunk keys, followed by the digest.
constexpr const char *chunkPrefix = "cornelhead/chunk/";
/// Prefix of past manifests' keys, followed by the revision.
constexpr const char *historyPrefix = "cornelhead/history/";
/// Prefix of the keys of moves, followed by the service.
constexpr const char *movePrefix = "cornelhead/move/";
/// Prefix of the keys of nodes' rejections (nacks), followed by the rejected revision.
constexpr const char *nackPrefix = "cornelhead/nack/";
/// Prefix of the keys of relays, followed by the data centre and a slot number.
constexpr const char *relayPrefix = "cornelhead/relay/";

/// Describes one accepted configuration.
struct Manifest
{
    Revision revision;
    EditId edit;
    std::string author;
    std::int64_t acceptedAtMs = 0;
    /// Digest of the canonical declarations, which are the concatenated chunks.
    Digest digest;
    std::vector<Digest> chunks;
};

/// A piece of the canonical declarations with its digest.
struct Chunk
{
    Digest digest;
    std::string bytes;
};

/// Encodes declarations in canonical form: equal declarations give equal bytes.
std::string encodeDeclarations(const Declarations &declarations);
/// Decodes declarations; accepts the canonical form only.  Fails with `InvalidMessage`.
Result<Declarations> decodeDeclarations(std::string_view bytes);

/// Sizes of chunks; the mean size is about the sum of both.
struct ChunkSizes
{
    /// Prevents tiny chunks, which would make the manifest long.
    std::size_t minBytes = 4 * 1024;
    /// Mean distance from the minimum size to the next chunk boundary.
    std::size_t meanBytesAfterMin = 12 * 1024;
};

/// Splits canonical declarations at record boundaries chosen by content, so that a small edit
/// changes few chunks.  All writers must use the same sizes, or unchanged chunks are not reused.
std::vector<Chunk> splitChunks(std::string_view encoded, ChunkSizes sizes = {});
/// Concatenates chunks in the manifest's order and verifies all digests.  Fails with
/// `InvalidMessage`.
Result<std::string> joinChunks(const Manifest &manifest, const std::vector<Chunk> &chunks);

std::string encodeManifest(const Manifest &manifest);
/// Fails with `InvalidMessage`.
Result<Manifest> decodeManifest(std::string_view bytes);

} // namespace cornelhead
