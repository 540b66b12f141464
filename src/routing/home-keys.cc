// Implements the at-most-once execution of keyed calls.
#include "cornelhead/routing/home-keys.h"

#include <set>

#include "cornelhead/base/check.h"

namespace cornelhead {
namespace detail {
namespace {

RefusalReason reasonFor(Ownership ownership)
{
    switch (ownership) {
    case Ownership::NewOwner:
        return RefusalReason::HomeYoung;
    case Ownership::Expired:
        return RefusalReason::KeyExpired;
    case Ownership::NotOwner:
    case Ownership::Owner:
        break;
    }
    return RefusalReason::HomeMoved;
}

std::set<NodeId> idsOf(const std::vector<NodeInfo> &nodes)
{
    std::set<NodeId> ids;
    for (const NodeInfo &node : nodes)
        ids.insert(node.id);
    return ids;
}

} // namespace
} // namespace detail

void HomeKeys::observe(const std::map<NodeId, NodeInfo> &nodes, std::int64_t wallMs)
{
    ownership_.observe(nodes, wallMs);
}

void HomeKeys::confirm(Moment moment)
{
    ownership_.confirm(moment.time, moment.wallMs);
}

void HomeKeys::tick(Moment moment)
{
    ownership_.tick(moment.time, moment.wallMs);
    table_.expire(moment.time);
}

KeyHome HomeKeys::homeOf(const CallKey &key) const
{
    return ownership_.homeOf(key, isRetiring_ ? self_ : NodeId());
}

void HomeKeys::markLeaving(const NodeId &node, Moment moment)
{
    ownership_.tick(moment.time, moment.wallMs);
    if (node != self_)
        ownership_.markLeaving(node, moment.wallMs);
}

KeyHome HomeKeys::homeWithout(const NodeId &leaving, const CallKey &key) const
{
    return ownership_.homeOf(key, leaving);
}

KeyDecision HomeKeys::begin(const KeyedCall &call, Moment moment)
{
    const auto ownership = ownership_.check(call.key, call.createdAtMs, moment.time, moment.wallMs);
    // An entry stays valid even if another node is the home now.
    if (table_.lookup(call.key))
        return table_.begin(call.key, call.request);
    if (isRetiring_) {
        const bool isKnownNotRun = ownership == Ownership::Owner && !isRetired_;
        return Refusal{RefusalReason::HomeLeaving,
                       isKnownNotRun ? RunStatus::NotRun : RunStatus::Unknown};
    }
    if (ownership == Ownership::Owner)
        return table_.begin(call.key, call.request);
    return Refusal{detail::reasonFor(ownership), RunStatus::Unknown};
}

std::optional<NodeInfo> HomeKeys::predecessorOf(const KeyedCall &call, Moment moment)
{
    const auto ownership = ownership_.check(call.key, call.createdAtMs, moment.time, moment.wallMs);
    if (ownership != Ownership::NewOwner || isRetiring_ || table_.lookup(call.key))
        return std::nullopt;
    return ownership_.predecessorOf(call.key);
}

KeyDecision HomeKeys::beginReleased(const KeyedCall &call, Moment moment)
{
    const auto ownership = ownership_.check(call.key, call.createdAtMs, moment.time, moment.wallMs);
    const bool isHome = ownership == Ownership::Owner || ownership == Ownership::NewOwner;
    if (isRetiring_ || !isHome)
        return begin(call, moment);
    return table_.begin(call.key, call.request);
}

Release HomeKeys::release(const KeyedCall &call, const NodeId &successor, Moment moment)
{
    if (table_.isReleasedTo(call.key, successor))
        return Release::Granted;
    if (table_.lookup(call.key))
        return Release::AlreadyUsed;
    const auto ownership = ownership_.checkWithout(successor, call.key, call.createdAtMs,
                                                   moment.time, moment.wallMs);
    if (ownership != Ownership::Owner || isRetired_ || table_.size() >= table_.limits().keys)
        return Release::Refused;
    table_.release(call.key, successor, moment.time);
    return Release::Granted;
}

std::vector<NodeInfo> HomeKeys::successors() const
{
    std::vector<NodeInfo> others = ownership_.members();
    std::erase_if(others, [&](const NodeInfo &node) { return node.id == self_; });
    return others;
}

Retirement HomeKeys::retirementFor(const NodeId &recipient)
{
    CORNELHEAD_CHECK(isRetiring_ && isIdle());
    isRetired_ = true;
    Retirement retirement;
    retirement.node = self_;
    for (const NodeInfo &node : successors())
        retirement.members.push_back(node.id);
    for (const FinishedKey &finished : table_.finishedKeys(recipient)) {
        const KeyHome home = ownership_.homeOf(finished.key, self_);
        if (home.node && home.node->id == recipient)
            retirement.keys.push_back(finished);
    }
    return retirement;
}

bool HomeKeys::areSuccessors(const std::vector<NodeId> &members) const
{
    return detail::idsOf(successors()) == std::set<NodeId>(members.begin(), members.end());
}

bool HomeKeys::takeOver(const Retirement &retirement, Moment moment)
{
    if (isRetired_)
        return false;
    for (const FinishedKey &finished : retirement.keys)
        table_.importKey(finished, moment.time);
    return true;
}

bool HomeKeys::confirmRetired(const NodeId &node, const std::vector<NodeId> &members, Moment moment)
{
    markLeaving(node, moment);
    std::set<NodeId> present = detail::idsOf(ownership_.members());
    present.erase(node);
    if (present != std::set<NodeId>(members.begin(), members.end()))
        return false;
    ownership_.retire(node);
    return true;
}

KeyDecision HomeKeys::refuse(const KeyedCall &call, RefusalReason reason, Moment moment)
{
    if (auto stored = table_.lookup(call.key))
        return *stored;
    const auto ownership = ownership_.check(call.key, call.createdAtMs, moment.time, moment.wallMs);
    // After the handover another node may have run a call with the key.
    const bool isKnownNotRun = ownership == Ownership::Owner && !isRetired_;
    return Refusal{reason, isKnownNotRun ? RunStatus::NotRun : RunStatus::Unknown};
}

} // namespace cornelhead
