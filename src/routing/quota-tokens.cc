// Implements the tokens of one node.
#include "cornelhead/routing/quota-tokens.h"

#include <algorithm>
#include <cmath>

namespace cornelhead {
namespace detail {
namespace {

constexpr double microsecondsPerSecond = 1e6;
constexpr double smoothingSeconds = 1.5;
/// Tokens are kept for the calls of this time.
constexpr double spareSeconds = 0.7;
/// A customer with fewer calls per second gets no spare token.
constexpr double minSpareRate = 0.1;
constexpr double maxSpare = 1000.0;
/// Below this part of its spare tokens the node asks again.
constexpr std::uint32_t lowDivisor = 4;
constexpr std::uint32_t minLowTarget = 3;
/// How long calls are refused without asking the home.
constexpr Milliseconds minRefusal(20);
constexpr Milliseconds maxRefusal(200);
constexpr Milliseconds minRetryAfter(50);
constexpr Milliseconds maxRetryAfter(5000);
constexpr Milliseconds entryLife(10'000);

} // namespace
} // namespace detail

std::uint32_t QuotaTokens::Entry::held() const
{
    std::uint32_t sum = 0;
    for (const Batch &batch : batches)
        sum += batch.tokens;
    return sum;
}

void QuotaTokens::Entry::expire(TimePoint now)
{
    std::erase_if(batches, [this, now](const Batch &batch) {
        if (batch.expiresAt > now && batch.tokens > 0)
            return false;
        returned += batch.tokens;
        return true;
    });
}

bool QuotaTokens::Entry::take(TimePoint now)
{
    expire(now);
    if (batches.empty())
        return false;
    --batches.front().tokens;
    return true;
}

double QuotaTokens::Entry::callRateAt(TimePoint now) const
{
    const double seconds
            = static_cast<double>((now - calledAt).count()) / detail::microsecondsPerSecond;
    return callRate * std::exp(-seconds / detail::smoothingSeconds);
}

std::uint32_t QuotaTokens::Entry::spareTarget(TimePoint now) const
{
    const double rate = callRateAt(now);
    if (rate < detail::minSpareRate)
        return 0;
    return static_cast<std::uint32_t>(
            std::ceil(std::min(rate * detail::spareSeconds, detail::maxSpare)));
}

QuotaDecision QuotaTokens::arrive(const CustomerId &customer, TimePoint now)
{
    Entry &entry = entries_[customer];
    entry.callRate = entry.callRateAt(now) + 1.0 / detail::smoothingSeconds;
    entry.calledAt = now;
    if (entry.take(now)) {
        const std::uint32_t target = entry.spareTarget(now);
        if (target >= detail::minLowTarget && entry.held() <= target / detail::lowDivisor)
            isLow_ = true;
        return QuotaDecision::Admitted;
    }
    if (now < entry.refusesUntil) {
        ++entry.refused;
        return QuotaDecision::Refused;
    }
    ++entry.waiting;
    return QuotaDecision::Waiting;
}

QuotaDecision QuotaTokens::decideAgain(const CustomerId &customer, TimePoint now)
{
    Entry &entry = entries_[customer];
    const bool isAdmitted = entry.take(now);
    if (!isAdmitted && now >= entry.refusesUntil)
        return QuotaDecision::Waiting;
    stopWaiting(customer);
    return isAdmitted ? QuotaDecision::Admitted : QuotaDecision::Refused;
}

void QuotaTokens::stopWaiting(const CustomerId &customer)
{
    Entry &entry = entries_[customer];
    entry.waiting -= std::min(entry.waiting, 1U);
}

void QuotaTokens::putBack(const CustomerId &customer, TimePoint now)
{
    Entry &entry = entries_[customer];
    entry.expire(now);
    // The token may be old, so it may not be kept for longer.
    ++entry.returned;
}

std::vector<QuotaDemand> QuotaTokens::demands(TimePoint now)
{
    std::vector<QuotaDemand> demands;
    for (auto &[customer, entry] : entries_) {
        entry.expire(now);
        const std::uint32_t target = entry.spareTarget(now);
        const std::uint32_t held = entry.held();
        QuotaDemand demand{customer, entry.waiting + std::min(entry.refused, target),
                           target - std::min(target, held), held, entry.returned};
        entry.refused = 0;
        entry.returned = 0;
        if (demand.needed + demand.spare + demand.held + demand.returned > 0)
            demands.push_back(std::move(demand));
    }
    isLow_ = false;
    return demands;
}

std::vector<QuotaDemand> QuotaTokens::surrender(TimePoint now)
{
    for (auto &[customer, entry] : entries_) {
        for (Batch &batch : entry.batches)
            batch.expiresAt = now;
    }
    std::vector<QuotaDemand> demands;
    for (auto &[customer, entry] : entries_) {
        entry.expire(now);
        if (entry.returned > 0)
            demands.push_back(QuotaDemand{customer, 0, 0, 0, std::exchange(entry.returned, 0)});
    }
    return demands;
}

void QuotaTokens::apply(const std::vector<QuotaGrant> &grants, TimePoint sentAt, TimePoint now)
{
    for (const QuotaGrant &grant : grants) {
        const auto found = entries_.find(grant.customer);
        if (found == entries_.end())
            continue;
        Entry &entry = found->second;
        if (grant.tokens > 0)
            entry.batches.push_back(Batch{grant.tokens, sentAt + quotaTokenLife});
        if (grant.wait > Milliseconds(0)) {
            entry.refusesUntil
                    = now + std::clamp(grant.wait, detail::minRefusal, detail::maxRefusal);
            entry.comeBackAt = now + grant.wait;
        }
    }
}

Milliseconds QuotaTokens::retryAfter(const CustomerId &customer, TimePoint now) const
{
    const auto found = entries_.find(customer);
    if (found == entries_.end())
        return detail::minRetryAfter;
    return std::clamp(std::chrono::duration_cast<Milliseconds>(found->second.comeBackAt - now),
                      detail::minRetryAfter, detail::maxRetryAfter);
}

void QuotaTokens::sweep(TimePoint now)
{
    for (auto &[customer, entry] : entries_)
        entry.expire(now);
    std::erase_if(entries_, [now](const auto &entry) {
        return entry.second.waiting == 0 && entry.second.returned == 0
                && entry.second.batches.empty() && now - entry.second.calledAt > detail::entryLife;
    });
}

std::size_t QuotaTokens::held() const
{
    std::size_t sum = 0;
    for (const auto &[customer, entry] : entries_)
        sum += entry.held();
    return sum;
}

} // namespace cornelhead
