// Implements the homes of keys.
#include "cornelhead/routing/key-ownership.h"

#include <algorithm>
#include <cctype>
#include <charconv>

#include "cornelhead/base/digest.h"

namespace cornelhead {
namespace detail {
namespace {

constexpr std::size_t maxEras = 64;
constexpr Milliseconds seenPeriod = Milliseconds(100);

// Returns the candidate with the greatest weight, or null.
template <typename Range, typename NameOf>
auto rendezvous(const CallKey &key, const Range &candidates, const NameOf &nameOf)
        -> decltype(&*candidates.begin())
{
    decltype(&*candidates.begin()) best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const auto &candidate : candidates) {
        const std::uint64_t weight = rendezvousWeight(key.value(), nameOf(candidate));
        if (best && weight <= bestWeight)
            continue;
        best = &candidate;
        bestWeight = weight;
    }
    return best;
}

template <typename Tag>
const std::string &idText(const Id<Tag> &id)
{
    return id.value();
}

constexpr std::size_t uuidLength = 36;
constexpr std::size_t uuidVersionAt = 14;
constexpr int hexBase = 16;

bool isUuid7(std::string_view text)
{
    if (text.size() != uuidLength || text[uuidVersionAt] != '7')
        return false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool isDash = i == 8 || i == 13 || i == 18 || i == 23;
        const bool isHex = std::isxdigit(static_cast<unsigned char>(text[i])) != 0;
        if (isDash ? text[i] != '-' : !isHex)
            return false;
    }
    return true;
}

} // namespace
} // namespace detail

std::optional<std::int64_t> keyCreatedAtMs(std::string_view idempotencyKey)
{
    if (!detail::isUuid7(idempotencyKey))
        return std::nullopt;
    std::string digits(idempotencyKey.substr(0, 8));
    digits += idempotencyKey.substr(9, 4);
    std::int64_t birth = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), birth, detail::hexBase);
    return birth;
}

KeyOwnership::KeyOwnership(NodeInfo self, std::vector<DataCentreId> dataCentres,
                           OwnershipLimits limits)
    : self_(std::move(self)), limits_(limits), dataCentres_(dataCentres.begin(), dataCentres.end())
{
    setNodes({});
    updateSeen(self_.startedAtMs);
    startEra(self_.startedAtMs);
}

void KeyOwnership::setNodes(const std::map<NodeId, NodeInfo> &nodes)
{
    nodes_.clear();
    nodes_[self_.dataCentre].push_back(self_);
    for (const auto &[id, node] : nodes) {
        if (id != self_.id && !leaving_.contains(id))
            nodes_[node.dataCentre].push_back(node);
    }
    for (const auto &[dataCentre, members] : nodes_)
        dataCentres_.insert(dataCentre);
    present_.clear();
    for (const NodeInfo &node : nodes_[self_.dataCentre]) {
        present_.insert(node.proxy);
        known_[node.id] = node;
    }
}

void KeyOwnership::updateSeen(std::int64_t wallMs)
{
    for (const Address &address : present_)
        seenAt_[address] = wallMs;
    std::erase_if(seenAt_, [&](const auto &entry) {
        return entry.second + limits_.memberRetention.count() < wallMs;
    });
}

bool KeyOwnership::seesMajority() const
{
    if (2 * present_.size() != seenAt_.size())
        return 2 * present_.size() > seenAt_.size();
    // Of two equal halves, the one with the smallest address goes on.
    return present_.contains(seenAt_.begin()->first);
}

void KeyOwnership::startEra(std::int64_t wallMs)
{
    Era era;
    era.fromMs = wallMs;
    era.dataCentres = dataCentres_;
    for (const NodeInfo &node : nodes_[self_.dataCentre])
        era.members.push_back(node.id);
    std::sort(era.members.begin(), era.members.end());
    era.hasMajority = seesMajority();
    eras_.push_back(std::move(era));
    if (eras_.size() > detail::maxEras)
        eras_.pop_front();
}

void KeyOwnership::observe(const std::map<NodeId, NodeInfo> &nodes, std::int64_t wallMs)
{
    setNodes(nodes);
    startEraIfChanged(wallMs);
}

void KeyOwnership::markLeaving(const NodeId &node, std::int64_t wallMs)
{
    if (!leaving_.insert(node).second)
        return;
    // It runs no key any more, so it does not count against the majority of those that stay.
    const auto known = known_.find(node);
    if (known != known_.end()) {
        present_.erase(known->second.proxy);
        seenAt_.erase(known->second.proxy);
    }
    std::erase_if(nodes_[self_.dataCentre],
                  [&](const NodeInfo &member) { return member.id == node; });
    startEraIfChanged(wallMs);
}

void KeyOwnership::startEraIfChanged(std::int64_t wallMs)
{
    updateSeen(wallMs);
    startEra(wallMs);
    if (eras_.size() < 2)
        return;
    const Era &last = eras_.back();
    const Era &before = eras_[eras_.size() - 2];
    const bool isSame = last.dataCentres == before.dataCentres && last.members == before.members
            && last.hasMajority == before.hasMajority;
    if (isSame)
        eras_.pop_back();
}

void KeyOwnership::tick(TimePoint time, std::int64_t wallMs)
{
    const bool wasPaused = !lastTick_ || time - *lastTick_ > limits_.maxPause;
    const bool isDue = !lastTick_ || time - *lastTick_ >= detail::seenPeriod;
    if (!isDue)
        return;
    lastTick_ = time;
    updateSeen(wallMs);
    // Others may have taken over during a pause, so nothing from before it counts.  The time
    // between the start of the process and its first tick may hold a pause as well.
    if (wasPaused)
        eras_.clear();
    if (wasPaused || eras_.back().hasMajority != seesMajority())
        startEra(wallMs);
}

bool KeyOwnership::isStale(TimePoint time) const
{
    return confirmedAt_ && time - *confirmedAt_ > limits_.maxDisagreement;
}

void KeyOwnership::confirm(TimePoint time, std::int64_t wallMs)
{
    // Others may have taken over while this node was not told.
    if (isStale(time)) {
        eras_.clear();
        startEra(wallMs);
    }
    confirmedAt_ = time;
}

KeyHome KeyOwnership::homeOf(const CallKey &key, const NodeId &leaving) const
{
    KeyHome home;
    home.dataCentre = *detail::rendezvous(key, dataCentres_, detail::idText<DataCentreTag>);
    const auto members = nodes_.find(home.dataCentre);
    if (members == nodes_.end())
        return home;
    std::vector<const NodeInfo *> candidates;
    for (const NodeInfo &node : members->second) {
        if (isCounted(node.id, leaving))
            candidates.push_back(&node);
    }
    const auto *best
            = detail::rendezvous(key, candidates, [](const NodeInfo *node) -> const std::string & {
                  return node->id.value();
              });
    home.node = best ? *best : nullptr;
    return home;
}

std::vector<NodeInfo> KeyOwnership::members() const
{
    std::vector<NodeInfo> present;
    for (const NodeInfo &node : nodes_.at(self_.dataCentre)) {
        if (isCounted(node.id, NodeId()))
            present.push_back(node);
    }
    return present;
}

const NodeId *KeyOwnership::ownerIn(const Era &era, const CallKey &key, const NodeId &without) const
{
    if (!era.hasMajority)
        return nullptr;
    const auto *dataCentre
            = detail::rendezvous(key, era.dataCentres, detail::idText<DataCentreTag>);
    if (!dataCentre || *dataCentre != self_.dataCentre)
        return nullptr;
    std::vector<const NodeId *> candidates;
    for (const NodeId &member : era.members) {
        if (isCounted(member, without))
            candidates.push_back(&member);
    }
    const auto *best
            = detail::rendezvous(key, candidates, [](const NodeId *node) -> const std::string & {
                  return node->value();
              });
    return best ? *best : nullptr;
}

bool KeyOwnership::ownedIn(const Era &era, const CallKey &key, const NodeId &without) const
{
    const NodeId *owner = ownerIn(era, key, without);
    return owner && *owner == self_.id;
}

std::optional<NodeInfo> KeyOwnership::predecessorOf(const CallKey &key) const
{
    const NodeId *owner = nullptr;
    for (auto era = eras_.rbegin(); era != eras_.rend(); ++era) {
        owner = ownerIn(*era, key, NodeId());
        if (!owner || *owner != self_.id)
            break;
    }
    // A node that was the home in all eras it saw asks whoever would be it otherwise.
    if (owner && *owner == self_.id)
        owner = ownerIn(eras_.back(), key, self_.id);
    if (!owner)
        return std::nullopt;
    const auto found = known_.find(*owner);
    return found == known_.end() ? std::nullopt : std::optional<NodeInfo>(found->second);
}

std::optional<std::int64_t> KeyOwnership::usableBirth(std::optional<std::int64_t> createdAtMs,
                                                      std::int64_t wallMs) const
{
    // A birth in the future says nothing, but for a clock that is a little fast.
    if (createdAtMs && *createdAtMs > wallMs + limits_.maxClockSkew.count())
        return std::nullopt;
    return createdAtMs;
}

Ownership KeyOwnership::check(const CallKey &key, std::optional<std::int64_t> createdAtMs,
                              TimePoint time, std::int64_t wallMs)
{
    return checkWithout(NodeId(), key, createdAtMs, time, wallMs);
}

Ownership KeyOwnership::checkWithout(const NodeId &successor, const CallKey &key,
                                     std::optional<std::int64_t> createdAtMs, TimePoint time,
                                     std::int64_t wallMs)
{
    tick(time, wallMs);
    if (isStale(time))
        return Ownership::NewOwner;
    if (!ownedIn(eras_.back(), key, successor))
        return eras_.back().hasMajority ? Ownership::NotOwner : Ownership::NewOwner;
    const auto birth = usableBirth(createdAtMs, wallMs);
    const std::int64_t oldest = wallMs - limits_.retention.count();
    if (birth && *birth < oldest)
        return Ownership::Expired;
    const Milliseconds margin = limits_.maxDisagreement + limits_.maxClockSkew;
    const std::int64_t needed = birth.value_or(oldest) - margin.count();
    for (auto era = eras_.rbegin(); era != eras_.rend(); ++era) {
        if (!ownedIn(*era, key, successor))
            return Ownership::NewOwner;
        if (era->fromMs <= needed)
            return Ownership::Owner;
    }
    return Ownership::NewOwner;
}

} // namespace cornelhead
