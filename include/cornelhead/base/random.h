// Seeded random numbers for jitter, load balancing and fault injection.
#pragma once

#include <cstdint>
#include <random>

#include "cornelhead/base/clock.h"

namespace cornelhead {

/// A pseudo-random generator that is reproducible from its seed.
class Random
{
public:
    explicit Random(std::uint64_t seed) : engine_(seed) { }

    /// Returns a uniform value from [0, bound); `bound` must not be 0.
    std::uint64_t below(std::uint64_t bound);
    /// Returns a uniform value from [0, 1).
    double unit();
    /// Returns true with the given probability.
    bool chance(double probability);
    /// Returns a uniform value from [0, limit].
    Milliseconds jitter(Milliseconds limit);
    /// Returns the engine for use with standard distributions.
    std::mt19937_64 &engine() { return engine_; }

private:
    std::mt19937_64 engine_;
};

/// Returns a non-deterministic seed.
std::uint64_t randomSeed();

} // namespace cornelhead
