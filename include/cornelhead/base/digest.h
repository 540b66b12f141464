// Content digests and rendezvous hashing.
#pragma once

#include <cstdint>
#include <string_view>

#include "cornelhead/base/ids.h"

namespace cornelhead {

/// Returns the 128-bit xxHash of `bytes` as 32 hexadecimal digits.
///
/// Not cryptographic: detects accidental differences, not tampering.
Digest digestOf(std::string_view bytes);

/// Returns the weight of `candidate` for `key`; the candidate with the greatest weight owns the
/// key.
///
/// Rendezvous hashing (Thaler and Ravishankar, 1998).
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

} // namespace cornelhead
