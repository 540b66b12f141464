// How a configuration is stored at the platform: a manifest that names content-addressed chunks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "cornelhead/base/error.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/config/declarations.h"

namespace cornelhead {

/// The platform holds values up to a megabyte; chunks stay well below it.
constexpr std::size_t maxChunkBytes = 256 * 1024;

/// The whole of the canonical declarations; bounds what a node reads before it can check the
/// digest.
constexpr std::size_t maxDeclarationBytes = 32 * 1024 * 1024;

/// The key whose compare-and-swap accepts a configuration.
constexpr const char *manifestKey = "cornelhead/manifest";
/// Chunks live at this prefix followed by their digest.
constexpr const char *chunkPrefix = "cornelhead/chunk/";
/// Past manifests live at this prefix followed by their revision.
constexpr const char *historyPrefix = "cornelhead/history/";
/// Moves live at this prefix followed by the service.
constexpr const char *movePrefix = "cornelhead/move/";
/// Refusals of a revision by nodes live at this prefix followed by the revision.
constexpr const char *nackPrefix = "cornelhead/nack/";
/// Relays live at this prefix followed by the data centre and a slot number.
constexpr const char *relayPrefix = "cornelhead/relay/";

/// Names one accepted configuration.
struct Manifest
{
    Revision revision;
    EditId edit;
    std::string author;
    std::int64_t acceptedAtMs = 0;
    /// Of the canonical declarations that the chunks join to.
    Digest digest;
    std::vector<Digest> chunks;
};

/// A part of the canonical declarations with its digest.
struct Chunk
{
    Digest digest;
    std::string bytes;
};

/// Renders declarations in a canonical order, so that equal ones give equal bytes.
std::string encodeDeclarations(const Declarations &declarations);
/// Reads canonical declarations.  Fails with `InvalidMessage`.
Result<Declarations> decodeDeclarations(std::string_view bytes);

/// How large chunks become: the mean is about the sum of both.
struct ChunkSizes
{
    /// Keeps tiny chunks, and so long manifests, from arising by chance.
    std::size_t minBytes = 4 * 1024;
    /// A boundary is expected this many bytes after the least size.
    std::size_t meanBytesAfterMin = 12 * 1024;
};

/// Cuts canonical declarations at record boundaries chosen by content, so that a small edit changes
/// few chunks.  Every writer has to use the same sizes, or no chunk is found again.
std::vector<Chunk> splitChunks(std::string_view encoded, ChunkSizes sizes = {});
/// Joins chunks and checks the digests of the manifest.  Fails with `InvalidMessage`.
Result<std::string> joinChunks(const Manifest &manifest, const std::vector<Chunk> &chunks);

std::string encodeManifest(const Manifest &manifest);
/// Fails with `InvalidMessage`.
Result<Manifest> decodeManifest(std::string_view bytes);

} // namespace cornelhead
