// Computes digests with xxHash.
#include "cornelhead/base/digest.h"

#include <array>
#include <cstdio>

#include <xxhash.h>

namespace cornelhead {

Digest digestOf(std::string_view bytes)
{
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return Digest(text.data());
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(),
                                XXH3_64bits(key.data(), key.size()));
}

} // namespace cornelhead
