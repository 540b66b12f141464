// Seeded random numbers for jitter, choices and generated failures.
#pragma once

#include <cstdint>
#include <random>

#include "cornelhead/base/clock.h"

namespace cornelhead {

/// Draws reproducible random numbers from a seed.
class Random
{
public:
    explicit Random(std::uint64_t seed) : engine_(seed) { }

    /// Draws uniformly from [0, bound); `bound` must not be 0.
    std::uint64_t below(std::uint64_t bound);
    /// Draws uniformly from [0, 1).
    double unit();
    /// Returns true with the given probability.
    bool chance(double probability);
    /// Draws uniformly from [0, limit].
    Milliseconds jitter(Milliseconds limit);
    /// Gives the generator to standard distributions.
    std::mt19937_64 &engine() { return engine_; }

private:
    std::mt19937_64 engine_;
};

/// Returns a seed that differs between processes.
std::uint64_t freshSeed();

} // namespace cornelhead
