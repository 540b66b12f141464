// Joins ownership and memory of keys.
#include "cornelhead/routing/home-keys.h"

namespace cornelhead {
namespace detail {
namespace {

RefusalReason reasonFor(Ownership ownership)
{
    switch (ownership) {
    case Ownership::Young:
        return RefusalReason::HomeYoung;
    case Ownership::Expired:
        return RefusalReason::KeyExpired;
    case Ownership::NotOwner:
    case Ownership::Owner:
        break;
    }
    return RefusalReason::HomeMoved;
}

} // namespace
} // namespace detail

void HomeKeys::observe(const std::map<NodeId, NodeInfo> &nodes, std::int64_t wallMs)
{
    ownership_.observe(nodes, wallMs);
}

void HomeKeys::tick(Moment moment)
{
    ownership_.tick(moment.time, moment.wallMs);
    memory_.expire(moment.time);
}

KeyVerdict HomeKeys::begin(const KeyedCall &call, Moment moment)
{
    const auto owned = ownership_.check(call.key, call.birthMs, moment.time, moment.wallMs);
    // What is remembered stays true, whoever is the home now.
    if (owned == Ownership::Owner || memory_.recall(call.key))
        return memory_.begin(call.key, call.request);
    return Refusal{detail::reasonFor(owned), RunProof::Unknown};
}

KeyVerdict HomeKeys::refuse(const KeyedCall &call, RefusalReason reason, Moment moment)
{
    if (auto remembered = memory_.recall(call.key))
        return *remembered;
    const auto owned = ownership_.check(call.key, call.birthMs, moment.time, moment.wallMs);
    const bool isProved = owned == Ownership::Owner;
    return Refusal{reason, isProved ? RunProof::NotRun : RunProof::Unknown};
}

} // namespace cornelhead
