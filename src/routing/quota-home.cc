// Implements the choice of homes.
#include "cornelhead/routing/quota-home.h"

#include <algorithm>

#include "cornelhead/base/digest.h"
#include "cornelhead/routing/quota-ledger.h"

namespace cornelhead {
namespace detail {
namespace {

constexpr std::uint32_t maxFailures = 2;
constexpr Milliseconds avoidTime(4000);
/// Nodes with at least the greatest capacity over this may be homes.
constexpr std::uint32_t capacityDivisor = 2;
/// A home that has just started gets the directory and its first requests within this time.
constexpr Milliseconds settleTime(3000);
/// A request usually reaches the home within this time.  One that a cut or a frozen home holds up
/// counts its node once more for `quotaContactLife`, which the allowed excess covers.
constexpr Milliseconds maxRequestAge(500);

} // namespace
} // namespace detail

std::uint32_t quotaGroupOf(std::string_view customer)
{
    return static_cast<std::uint32_t>(rendezvousWeight("quota", customer) % quotaGroupCount);
}

QuotaHome::QuotaHome(std::uint32_t group, Address own)
    : key_("quota " + std::to_string(group)), own_(std::move(own)), current_(own_), best_(own_)
{ }

void QuotaHome::update(const std::vector<QuotaNode> &nodes, TimePoint now)
{
    nodes_ = nodes;
    std::erase_if(avoidedUntil_, [now](const auto &entry) { return entry.second <= now; });
    best_ = bestOf(nodes);
    const bool isCurrentListed = current_ == own_
            || std::any_of(nodes.begin(), nodes.end(),
                           [this](const QuotaNode &node) { return node.address == current_; });
    // Before the first request no home counts this node.
    const bool isLost = !isCurrentListed || avoidedUntil_.contains(current_);
    if (!requestedAt_ || isLost) {
        // A home that was asked without being allowed to count this node does not count it.
        if (requestedAt_ && !avoidedUntil_.contains(current_) && isCounted(now))
            formerRequestAt_ = requestedAt_;
        current_ = best_;
        failures_ = 0;
    }
    if (best_ == current_)
        betterSince_.reset();
    else if (!betterSince_)
        betterSince_ = now;
}

Address QuotaHome::bestOf(const std::vector<QuotaNode> &nodes) const
{
    std::uint32_t widest = 0;
    for (const QuotaNode &node : nodes)
        widest = std::max(widest, isFit(node) ? node.capacity : 0);
    Address best = own_;
    std::uint64_t bestWeight = 0;
    for (const QuotaNode &node : nodes) {
        if (!isFit(node) || node.capacity < widest / detail::capacityDivisor)
            continue;
        const std::uint64_t weight = rendezvousWeight(key_, node.address.toString());
        if (weight < bestWeight)
            continue;
        bestWeight = weight;
        best = node.address;
    }
    return best;
}

bool QuotaHome::isFit(const QuotaNode &node) const
{
    return !node.isSuspect && !avoidedUntil_.contains(node.address);
}

bool QuotaHome::shouldMove(TimePoint now) const
{
    return betterSince_ && now - *betterSince_ >= detail::settleTime;
}

bool QuotaHome::isCounted(TimePoint now) const
{
    return !formerRequestAt_ || now - *formerRequestAt_ >= quotaContactLife + detail::maxRequestAge;
}

void QuotaHome::recordFailure(TimePoint now)
{
    if (current_ == own_ || ++failures_ < detail::maxFailures)
        return;
    if (isCounted(now))
        formerRequestAt_ = requestedAt_;
    avoid(current_, now);
}

void QuotaHome::recordRefused(TimePoint now)
{
    if (current_ == own_)
        return;
    if (isCounted(now))
        formerRequestAt_ = requestedAt_;
    avoid(current_, now);
}

void QuotaHome::recordEnd(TimePoint now)
{
    if (current_ != own_)
        avoid(current_, now);
}

void QuotaHome::recordUnfit(const Address &node, TimePoint now)
{
    avoid(node, now);
}

void QuotaHome::recordMove(const Address &next)
{
    current_ = next;
    betterSince_.reset();
    failures_ = 0;
}

void QuotaHome::avoid(const Address &node, TimePoint now)
{
    avoidedUntil_[node] = now + detail::avoidTime;
    update(std::vector<QuotaNode>(nodes_), now);
}

} // namespace cornelhead
