// Implements the home of quotas.
#include "cornelhead/routing/quota-ledger.h"

#include <algorithm>
#include <cmath>

namespace cornelhead {
namespace detail {
namespace {

constexpr double microsecondsPerSecond = 1e6;
constexpr Milliseconds fleetPeriod(30'000);
/// An account without requests for this long is forgotten; its bucket has been full for most of it.
constexpr Milliseconds accountLife(30'000);
constexpr Milliseconds maxWait(5000);
constexpr Milliseconds minWait(50);
constexpr Milliseconds unknownWait(500);
/// Unused tokens at nodes may add calls to a window.  They stay below the excess that is allowed:
/// a tenth of the calls of five seconds, and twenty.  The rest is for tokens on their way.
constexpr double excessWindowSeconds = 5.0;
constexpr double spareOfWindow = 0.08;
constexpr double spareCalls = 12.0;
constexpr double keptTokens = 4.0;
constexpr double keptSeconds = 0.5;
constexpr double keptDivisor = 2.0;
/// Calls that are not there yet get tokens only from the upper part of a bucket.
constexpr double keptForWaitingCalls = 0.3;

double secondsBetween(TimePoint from, TimePoint to)
{
    return static_cast<double>((to - from).count()) / microsecondsPerSecond;
}

} // namespace
} // namespace detail

std::vector<QuotaGrant> QuotaLedger::grant(const QuotaRequest &request, const FindQuota &findQuota,
                                           std::size_t fleetSize, TimePoint now)
{
    observeFleet(std::max<std::size_t>(fleetSize, request.fleetSize), now);
    if (request.isLeaving)
        contacts_.erase(request.node);
    else if (request.isCounted)
        contacts_[request.node] = now;
    updatePart(findQuota, now);
    std::vector<QuotaGrant> grants;
    grants.reserve(request.demands.size());
    for (const QuotaDemand &demand : request.demands)
        grants.push_back(grantOne(request.node, demand, findQuota(demand.customer), now));
    return grants;
}

void QuotaLedger::observeFleet(std::size_t size, TimePoint now)
{
    if (now - fleetPeriodAt_ > detail::fleetPeriod) {
        formerFleetSize_ = std::exchange(fleetSize_, 0);
        fleetPeriodAt_ = now;
    }
    fleetSize_ = std::max({fleetSize_, size, std::size_t(1)});
}

void QuotaLedger::updatePart(const FindQuota &findQuota, TimePoint now)
{
    std::erase_if(contacts_,
                  [now](const auto &contact) { return now - contact.second > quotaContactLife; });
    const double nodes = static_cast<double>(std::max(fleetSize_, formerFleetSize_));
    const double part
            = nodes > 0.0 ? std::min(1.0, static_cast<double>(contacts_.size()) / nodes) : 0.0;
    if (part == part_)
        return;
    for (auto &[customer, account] : accounts_)
        refill(account, findQuota(customer), now);
    part_ = part;
    partSetAt_ = now;
}

void QuotaLedger::refill(Account &account, const CallQuota &quota, TimePoint now) const
{
    account.bucket.refill(now, quota.ratePerSecond * part_, quota.burst * part_);
}

QuotaGrant QuotaLedger::grantOne(const Address &node, const QuotaDemand &demand,
                                 const CallQuota &quota, TimePoint now)
{
    // The configuration that declares the customer may not have arrived here yet.
    if (!quota.isLimited())
        return QuotaGrant{demand.customer, 0,
                          demand.needed > 0 ? detail::unknownWait : Milliseconds()};
    const auto [entry, isNew] = accounts_.try_emplace(demand.customer);
    Account &account = entry->second;
    // Nobody asked before, so what the bucket earned since the part was set is still there.
    if (isNew)
        account.bucket = TokenBucket::emptyAt(partSetAt_);
    account.usedAt = now;
    account.bucket.putBack(demand.returned);
    refill(account, quota, now);
    QuotaGrant grant{demand.customer, account.bucket.takeUpTo(demand.needed), {}};
    Held &held = account.held[node];
    held = Held{demand.held, now + quotaTokenLife};
    if (grant.tokens < demand.needed) {
        grant.wait = waitFor(account, quota, demand.needed - grant.tokens, now);
        return grant;
    }
    const double kept = detail::keptForWaitingCalls * std::max(1.0, quota.burst * part_);
    const double above = std::max(0.0, account.bucket.tokens() - kept);
    const std::uint32_t room = std::min(
            {demand.spare, static_cast<std::uint32_t>(above), spareRoom(account, quota, now)});
    const std::uint32_t spare = account.bucket.takeUpTo(room);
    held.tokens += spare;
    grant.tokens += spare;
    return grant;
}

std::uint32_t QuotaLedger::spareRoom(Account &account, const CallQuota &quota, TimePoint now) const
{
    std::erase_if(account.held, [now](const auto &entry) { return entry.second.expiresAt < now; });
    double held = 0.0;
    for (const auto &[node, tokens] : account.held)
        held += tokens.tokens;
    const double mostBeyond = detail::spareCalls
            + detail::spareOfWindow
                    * (detail::excessWindowSeconds * quota.ratePerSecond + quota.burst);
    // Most tokens stay here, where the next call of any node finds them.
    const double mostKept
            = (quota.burst + detail::keptSeconds * quota.ratePerSecond - detail::keptTokens)
            / detail::keptDivisor;
    const double most = part_ * std::min(mostBeyond, mostKept);
    return static_cast<std::uint32_t>(std::max(0.0, most - held));
}

Milliseconds QuotaLedger::waitFor(Account &account, const CallQuota &quota, std::uint32_t calls,
                                  TimePoint now) const
{
    const double rate = quota.ratePerSecond * part_;
    if (rate <= 0.0)
        return detail::unknownWait;
    account.awaited = std::max(
            0.0, account.awaited - rate * detail::secondsBetween(account.awaitedAt, now));
    account.awaitedAt = now;
    const double missing = 1.0 + account.awaited - account.bucket.tokens();
    account.awaited = std::min(account.awaited + calls, rate * 5.0);
    const double seconds = std::max(0.0, missing) / rate;
    return std::clamp(Milliseconds(static_cast<std::int64_t>(std::min(seconds, 10.0) * 1000.0)),
                      detail::minWait, detail::maxWait);
}

void QuotaLedger::sweep(const FindQuota &findQuota, TimePoint now)
{
    updatePart(findQuota, now);
    std::erase_if(accounts_, [now](const auto &entry) {
        return now - entry.second.usedAt > detail::accountLife;
    });
}

} // namespace cornelhead
