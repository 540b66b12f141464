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

std::optional<std::int64_t> keyBirth(std::string_view idempotencyKey)
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
        if (id != self_.id)
            nodes_[node.dataCentre].push_back(node);
    }
    for (const auto &[dataCentre, members] : nodes_)
        dataCentres_.insert(dataCentre);
    present_.clear();
    for (const NodeInfo &node : nodes_[self_.dataCentre])
        present_.insert(node.proxy);
}

void KeyOwnership::updateSeen(std::int64_t wallMs)
{
    for (const Address &address : present_)
        seenAt_[address] = wallMs;
    std::erase_if(seenAt_, [&](const auto &entry) {
        return entry.second + limits_.memberMemory.count() < wallMs;
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
        era.members.push_back(node);
    std::sort(era.members.begin(), era.members.end(),
              [](const NodeInfo &left, const NodeInfo &right) { return left.id < right.id; });
    era.hasMajority = seesMajority();
    eras_.push_back(std::move(era));
    if (eras_.size() > detail::maxEras)
        eras_.pop_front();
}

void KeyOwnership::observe(const std::map<NodeId, NodeInfo> &nodes, std::int64_t wallMs)
{
    setNodes(nodes);
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
    const bool wasPaused = hasTicked_ && time - lastTick_ > limits_.longestPause;
    const bool isDue = !hasTicked_ || time - lastTick_ >= detail::seenPeriod;
    if (!isDue)
        return;
    hasTicked_ = true;
    lastTick_ = time;
    updateSeen(wallMs);
    // Others may have taken over during a pause, so nothing from before it counts.
    if (wasPaused)
        eras_.clear();
    if (wasPaused || eras_.back().hasMajority != seesMajority())
        startEra(wallMs);
}

bool KeyOwnership::isStale(TimePoint time) const
{
    return confirmedAt_ && time - *confirmedAt_ > limits_.disagreement;
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

std::int64_t KeyOwnership::effectiveBirth(std::optional<std::int64_t> birthMs,
                                          std::int64_t wallMs) const
{
    return usableBirth(birthMs, wallMs).value_or(wallMs - limits_.retention.count());
}

const NodeInfo *KeyOwnership::chooseMember(const CallKey &key, const std::vector<NodeInfo> &members,
                                           std::int64_t bornMs) const
{
    // A node that started in a split data centre does not know who is missing, so nodes that have
    // seen the others for long enough go first.
    for (const Milliseconds age : {limits_.memberMemory, margin()}) {
        std::vector<const NodeInfo *> eligible;
        for (const NodeInfo &node : members) {
            if (node.startedAtMs + age.count() <= bornMs)
                eligible.push_back(&node);
        }
        const auto *best = detail::rendezvous(
                key, eligible,
                [](const NodeInfo *node) -> const std::string & { return node->id.value(); });
        if (best)
            return *best;
    }
    return nullptr;
}

KeyHome KeyOwnership::homeOf(const CallKey &key, std::optional<std::int64_t> birthMs,
                             std::int64_t wallMs) const
{
    KeyHome home;
    home.dataCentre = *detail::rendezvous(key, dataCentres_, detail::idText<DataCentreTag>);
    const auto members = nodes_.find(home.dataCentre);
    if (members == nodes_.end())
        return home;
    home.node = chooseMember(key, members->second, effectiveBirth(birthMs, wallMs));
    // Where all are too young, any of them gives the truthful refusal.
    if (!home.node)
        home.node = &members->second.front();
    return home;
}

bool KeyOwnership::ownedIn(const Era &era, const CallKey &key, std::int64_t bornMs) const
{
    if (!era.hasMajority)
        return false;
    const auto *dataCentre
            = detail::rendezvous(key, era.dataCentres, detail::idText<DataCentreTag>);
    const NodeInfo *node = chooseMember(key, era.members, bornMs);
    return dataCentre && node && *dataCentre == self_.dataCentre && node->id == self_.id;
}

std::optional<std::int64_t> KeyOwnership::usableBirth(std::optional<std::int64_t> birthMs,
                                                      std::int64_t wallMs) const
{
    // A birth in the future says nothing, but for a clock that is a little fast.
    if (birthMs && *birthMs > wallMs + limits_.clockSkew.count())
        return std::nullopt;
    return birthMs;
}

Ownership KeyOwnership::check(const CallKey &key, std::optional<std::int64_t> birthMs,
                              TimePoint time, std::int64_t wallMs)
{
    tick(time, wallMs);
    const std::int64_t born = effectiveBirth(birthMs, wallMs);
    if (born < wallMs - limits_.retention.count())
        return Ownership::Expired;
    const bool isTooYoung = self_.startedAtMs + margin().count() > born;
    if (isStale(time) || isTooYoung || !eras_.back().hasMajority)
        return Ownership::Young;
    if (!ownedIn(eras_.back(), key, born))
        return Ownership::NotOwner;
    for (auto era = eras_.rbegin(); era != eras_.rend(); ++era) {
        if (!ownedIn(*era, key, born))
            return Ownership::Young;
        if (era->fromMs <= born - margin().count())
            return Ownership::Owner;
    }
    return Ownership::Young;
}

} // namespace cornelhead
