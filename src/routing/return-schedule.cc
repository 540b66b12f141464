// Implements the schedule of returns.
#include "cornelhead/routing/return-schedule.h"

#include <algorithm>
#include <numbers>

namespace cornelhead {
namespace detail {

// Rates follow the load within about this time.
constexpr Microseconds answerHalfLife(2'000'000);
// The assumed rate of a service that has answered no call of this node lately, per second.
constexpr double minAnswerRate = 2.0;
// So many places may be booked at once, as refusals of one node come in clusters.
constexpr int placesAtOnce = 5;
// Callers wait as they are told up to this part of the time that they have.
constexpr int waitDivisor = 3;
// The queue has moved on after half of the wait, and a returning call goes before first tries.
constexpr int queueDivisor = 2;
// The most by which a return is moved at random, so that returns of several nodes do not meet.
constexpr Microseconds maxJitter(100'000);

namespace {

Microseconds fractionOf(Microseconds time, double fraction)
{
    return Microseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * fraction));
}

} // namespace
} // namespace detail

ReturnSchedule::Service::Service() : answers(detail::answerHalfLife) { }

void ReturnSchedule::recordAnswer(const ServiceId &service, TimePoint now)
{
    services_[service].answers.add(1.0, now);
}

ReturnTime ReturnSchedule::book(const RefusedCall &call, TimePoint now, Random &random)
{
    Service &service = services_[call.service];
    const double halfLifeSeconds = std::chrono::duration<double>(detail::answerHalfLife).count();
    const double rate
            = std::max(detail::minAnswerRate,
                       service.answers.valueAt(now) * std::numbers::ln2 / halfLifeSeconds);
    const auto spacing = Microseconds(static_cast<std::int64_t>(1e6 / rate));
    const Microseconds earliest = std::max(minReturnTime, call.wait / detail::queueDivisor);
    const Microseconds latest = std::max(minReturnTime, call.timeLeft / detail::waitDivisor);
    const TimePoint place
            = std::max(service.nextPlace, now + earliest - spacing * (detail::placesAtOnce - 1));
    const Microseconds after = std::max(earliest, Microseconds(place - now));
    const Microseconds lastUseful = std::min(call.lastUsefulReturn, latest);
    if (after <= lastUseful) {
        service.nextPlace = place + spacing;
        const Microseconds room = std::min({lastUseful - after, spacing, detail::maxJitter});
        return ReturnTime{after + detail::fractionOf(room, random.unit()), true};
    }
    // These are spread too, if possible over the time after their objective has passed.
    const Microseconds lateFrom
            = call.lastUsefulReturn < latest ? call.lastUsefulReturn : Microseconds(0);
    const Microseconds first = std::max({lateFrom, latest / 2, minReturnTime});
    return ReturnTime{first + detail::fractionOf(latest - first, random.unit()), false};
}

} // namespace cornelhead
