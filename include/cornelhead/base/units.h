// Strong types for units that the standard library does not have.
#pragma once

#include <compare>

namespace cornelhead {

/// A rate of calls; neither negative nor infinite.
class CallRate
{
public:
    constexpr CallRate() = default;
    constexpr explicit CallRate(double perSecond) : perSecond_(perSecond) { }

    constexpr double perSecond() const { return perSecond_; }

    friend constexpr auto operator<=>(const CallRate &, const CallRate &) = default;

private:
    double perSecond_ = 0.0;
};

} // namespace cornelhead
