// Implements key ownership.
#include "cornelhead/routing/key-ownership.h"

#include <algorithm>
#include <cctype>
#include <charconv>

#include "cornelhead/base/digest.h"

namespace cornelhead {
namespace detail {
namespace {

constexpr std::size_t maxEpochs = 64;
constexpr Milliseconds lastSeenUpdatePeriod = Milliseconds(100);

// Returns the candidate with the greatest weight; null if there is none.
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
constexpr std::size_t uuidVersionOffset = 14;
constexpr int hexBase = 16;

bool isUuid7(std::string_view text)
{
    if (text.size() != uuidLength || text[uuidVersionOffset] != '7')
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
    std::int64_t createdAt = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), createdAt, detail::hexBase);
    return createdAt;
}

KeyOwnership::KeyOwnership(NodeInfo self, std::vector<DataCentreId> dataCentres,
                           OwnershipLimits limits)
    : self_(std::move(self)), limits_(limits), dataCentres_(dataCentres.begin(), dataCentres.end())
{
    setNodes({});
    updateLastSeen(self_.startedAtMs);
    startEpoch(self_.startedAtMs);
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
    presentAddresses_.clear();
    for (const NodeInfo &node : nodes_[self_.dataCentre]) {
        presentAddresses_.insert(node.proxy);
        knownNodes_[node.id] = node;
    }
}

void KeyOwnership::updateLastSeen(std::int64_t wallMs)
{
    for (const Address &address : presentAddresses_)
        lastSeenMs_[address] = wallMs;
    std::erase_if(lastSeenMs_, [&](const auto &entry) {
        return entry.second + limits_.memberRetention.count() < wallMs;
    });
}

bool KeyOwnership::seesMajority() const
{
    if (2 * presentAddresses_.size() != lastSeenMs_.size())
        return 2 * presentAddresses_.size() > lastSeenMs_.size();
    // A tie goes to the half that contains the smallest address.
    return presentAddresses_.contains(lastSeenMs_.begin()->first);
}

void KeyOwnership::startEpoch(std::int64_t wallMs)
{
    Epoch epoch;
    epoch.startMs = wallMs;
    epoch.dataCentres = dataCentres_;
    for (const NodeInfo &node : nodes_[self_.dataCentre])
        epoch.members.push_back(node.id);
    std::sort(epoch.members.begin(), epoch.members.end());
    epoch.hasMajority = seesMajority();
    epochs_.push_back(std::move(epoch));
    if (epochs_.size() > detail::maxEpochs)
        epochs_.pop_front();
}

void KeyOwnership::observe(const std::map<NodeId, NodeInfo> &nodes, std::int64_t wallMs)
{
    setNodes(nodes);
    startEpochIfChanged(wallMs);
}

void KeyOwnership::markLeaving(const NodeId &node, std::int64_t wallMs)
{
    if (!leaving_.insert(node).second)
        return;
    // A leaving node runs no more keyed calls, so it does not count against the majority of the
    // remaining nodes.
    const auto found = knownNodes_.find(node);
    if (found != knownNodes_.end()) {
        presentAddresses_.erase(found->second.proxy);
        lastSeenMs_.erase(found->second.proxy);
    }
    std::erase_if(nodes_[self_.dataCentre],
                  [&](const NodeInfo &member) { return member.id == node; });
    startEpochIfChanged(wallMs);
}

void KeyOwnership::startEpochIfChanged(std::int64_t wallMs)
{
    updateLastSeen(wallMs);
    startEpoch(wallMs);
    if (epochs_.size() < 2)
        return;
    const Epoch &last = epochs_.back();
    const Epoch &previous = epochs_[epochs_.size() - 2];
    const bool isSame = last.dataCentres == previous.dataCentres && last.members == previous.members
            && last.hasMajority == previous.hasMajority;
    if (isSame)
        epochs_.pop_back();
}

void KeyOwnership::tick(TimePoint time, std::int64_t wallMs)
{
    const bool wasPaused = !lastTick_ || time - *lastTick_ > limits_.maxPause;
    const bool isDue = !lastTick_ || time - *lastTick_ >= detail::lastSeenUpdatePeriod;
    if (!isDue)
        return;
    lastTick_ = time;
    updateLastSeen(wallMs);
    // Other nodes may have become the home during a pause, so earlier epochs prove nothing.  The
    // time between the start of the process and its first tick may contain a pause, too.
    if (wasPaused)
        epochs_.clear();
    if (wasPaused || epochs_.back().hasMajority != seesMajority())
        startEpoch(wallMs);
}

bool KeyOwnership::isStale(TimePoint time) const
{
    return confirmedAt_ && time - *confirmedAt_ > limits_.maxDisagreement;
}

void KeyOwnership::confirm(TimePoint time, std::int64_t wallMs)
{
    // Other nodes may have become the home while this node received no changes.
    if (isStale(time)) {
        epochs_.clear();
        startEpoch(wallMs);
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
        if (isMember(node.id, leaving))
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
        if (isMember(node.id, NodeId()))
            present.push_back(node);
    }
    return present;
}

const NodeId *KeyOwnership::ownerIn(const Epoch &epoch, const CallKey &key,
                                    const NodeId &without) const
{
    if (!epoch.hasMajority)
        return nullptr;
    const auto *dataCentre
            = detail::rendezvous(key, epoch.dataCentres, detail::idText<DataCentreTag>);
    if (!dataCentre || *dataCentre != self_.dataCentre)
        return nullptr;
    std::vector<const NodeId *> candidates;
    for (const NodeId &member : epoch.members) {
        if (isMember(member, without))
            candidates.push_back(&member);
    }
    const auto *best
            = detail::rendezvous(key, candidates, [](const NodeId *node) -> const std::string & {
                  return node->value();
              });
    return best ? *best : nullptr;
}

bool KeyOwnership::isOwnedIn(const Epoch &epoch, const CallKey &key, const NodeId &without) const
{
    const NodeId *owner = ownerIn(epoch, key, without);
    return owner && *owner == self_.id;
}

std::optional<NodeInfo> KeyOwnership::predecessorOf(const CallKey &key) const
{
    const NodeId *owner = nullptr;
    for (auto epoch = epochs_.rbegin(); epoch != epochs_.rend(); ++epoch) {
        owner = ownerIn(*epoch, key, NodeId());
        if (!owner || *owner != self_.id)
            break;
    }
    // A node that was the home in all its epochs asks the node that would be the home without it.
    if (owner && *owner == self_.id)
        owner = ownerIn(epochs_.back(), key, self_.id);
    if (!owner)
        return std::nullopt;
    const auto found = knownNodes_.find(*owner);
    return found == knownNodes_.end() ? std::nullopt : std::optional<NodeInfo>(found->second);
}

std::optional<std::int64_t> KeyOwnership::plausibleCreation(std::optional<std::int64_t> createdAtMs,
                                                            std::int64_t wallMs) const
{
    // A creation time in the future is unusable, unless clock skew explains it.
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
    if (!isOwnedIn(epochs_.back(), key, successor))
        return epochs_.back().hasMajority ? Ownership::NotOwner : Ownership::NewOwner;
    const auto createdAt = plausibleCreation(createdAtMs, wallMs);
    const std::int64_t oldestMs = wallMs - limits_.retention.count();
    if (createdAt && *createdAt < oldestMs)
        return Ownership::Expired;
    const Milliseconds margin = limits_.maxDisagreement + limits_.maxClockSkew;
    const std::int64_t latestStartMs = createdAt.value_or(oldestMs) - margin.count();
    for (auto epoch = epochs_.rbegin(); epoch != epochs_.rend(); ++epoch) {
        if (!isOwnedIn(*epoch, key, successor))
            return Ownership::NewOwner;
        if (epoch->startMs <= latestStartMs)
            return Ownership::Owner;
    }
    return Ownership::NewOwner;
}

} // namespace cornelhead
