// Splits canonical declarations into content-addressed chunks and reassembles them.
#include <xxhash.h>

#include <unordered_map>

#include "cornelhead/base/digest.h"
#include "cornelhead/config/manifest.h"

namespace cornelhead {
namespace detail {

// Depends only on the record itself, so that changes of other records do not move this boundary.
bool endsChunk(std::string_view line, const ChunkSizes &sizes)
{
    return XXH3_64bits(line.data(), line.size()) % sizes.meanBytesAfterMin < line.size();
}

Chunk makeChunk(std::string_view bytes)
{
    return Chunk{digestOf(bytes), std::string(bytes)};
}

std::size_t lineLength(std::string_view text)
{
    const std::size_t end = text.find('\n');
    return end == std::string_view::npos ? text.size() : end + 1;
}

// Returns the size in bytes of the next chunk of `text`.
std::size_t chunkLength(std::string_view text, const ChunkSizes &sizes)
{
    std::size_t length = 0;
    while (length < text.size()) {
        const std::string_view rest = text.substr(length);
        const std::string_view line = rest.substr(0, lineLength(rest));
        if (length > 0 && length + line.size() > maxChunkBytes)
            return length;
        length += line.size();
        if (length >= sizes.minBytes && endsChunk(line, sizes))
            return length;
    }
    return length;
}

} // namespace detail

std::vector<Chunk> splitChunks(std::string_view encoded, ChunkSizes sizes)
{
    std::vector<Chunk> chunks;
    while (!encoded.empty()) {
        const std::size_t length = detail::chunkLength(encoded, sizes);
        chunks.push_back(detail::makeChunk(encoded.substr(0, length)));
        encoded.remove_prefix(length);
    }
    return chunks;
}

Result<std::string> joinChunks(const Manifest &manifest, const std::vector<Chunk> &chunks)
{
    std::unordered_map<Digest, const std::string *> byDigest;
    for (const Chunk &chunk : chunks)
        byDigest.emplace(chunk.digest, &chunk.bytes);
    std::string joined;
    for (const Digest &digest : manifest.chunks) {
        const auto found = byDigest.find(digest);
        if (found == byDigest.end()) {
            return fail(ErrorKind::InvalidMessage, "chunk " + digest.value() + " is missing",
                        "retry, or apply the declarations again");
        }
        if (digestOf(*found->second) != digest) {
            return fail(ErrorKind::InvalidMessage,
                        "chunk " + digest.value() + " does not match its digest",
                        "retry, or apply the declarations again");
        }
        joined += *found->second;
        if (joined.size() > maxDeclarationBytes)
            return fail(ErrorKind::InvalidMessage, "the concatenated chunks are too large",
                        "apply declarations with fewer records");
    }
    if (digestOf(joined) != manifest.digest) {
        return fail(ErrorKind::InvalidMessage,
                    "the concatenated chunks do not match digest " + manifest.digest.value(),
                    "retry, or apply the declarations again");
    }
    return joined;
}

} // namespace cornelhead
