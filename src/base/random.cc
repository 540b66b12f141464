// Implements the random generator.
#include "cornelhead/base/random.h"

namespace cornelhead {

std::uint64_t Random::below(std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
}

double Random::unit()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(engine_);
}

bool Random::chance(double probability)
{
    return unit() < probability;
}

Milliseconds Random::jitter(Milliseconds limit)
{
    return Milliseconds(below(static_cast<std::uint64_t>(limit.count()) + 1));
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) ^ device();
}

} // namespace cornelhead
