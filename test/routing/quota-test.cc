// Tests that all nodes together keep the quota of a customer, and serve what is within it.
#include <deque>
#include <functional>
#include <memory>

#include <boost/test/unit_test.hpp>

#include "cornelhead/base/random.h"
#include "cornelhead/routing/quota-home.h"
#include "cornelhead/routing/quota-ledger.h"
#include "cornelhead/routing/quota-tokens.h"
#include "support/property.h"

namespace cornelhead {

constexpr Milliseconds quotaStep(10);

/// A fleet that exchanges the messages of quotas, as `QuotaSync` does, over links with faults.
struct QuotaFleet
{
    struct Node
    {
        explicit Node(const Address &own) : home(0, own) { }

        QuotaHome home;
        QuotaTokens tokens;
        QuotaLedger ledger;
        std::deque<TimePoint> waiting;
        TimePoint requestedAt{};
        TimePoint updatedAt{};
        bool isAsking = false;
    };
    struct Delivery
    {
        TimePoint at;
        std::function<void()> run;
    };

    QuotaFleet(std::size_t size, CallQuota customerQuota, std::uint64_t seed)
        : quota(customerQuota), random(seed), nodes(size), side(size, 0), frozenUntil(size)
    {
        for (std::size_t i = 0; i < size; ++i)
            start(i);
    }

    static Address addressOf(std::size_t index)
    {
        return Address{"10.0.0.1", static_cast<std::uint16_t>(index + 1)};
    }
    static std::size_t indexOf(const Address &address) { return address.port - 1U; }
    void start(std::size_t index) { nodes[index] = std::make_shared<Node>(addressOf(index)); }
    void kill(std::size_t index, Milliseconds downTime)
    {
        nodes[index].reset();
        deliver(downTime, [this, index] { start(index); });
    }
    void deliver(Milliseconds delay, std::function<void()> run)
    {
        deliveries.push_back(Delivery{time + delay, std::move(run)});
    }
    bool reaches(std::size_t from, std::size_t to) const
    {
        return nodes[from] && nodes[to] && side[from] == side[to];
    }
    QuotaLedger::FindQuota findQuota() const
    {
        return [this](const CustomerId &) { return quota; };
    }
    std::vector<QuotaNode> listed(std::size_t index) const
    {
        std::vector<QuotaNode> list;
        for (std::size_t i = 0; i < nodes.size(); ++i)
            list.push_back(QuotaNode{addressOf(i), !reaches(index, i) && i != index});
        return list;
    }
    Milliseconds delay()
    {
        return Milliseconds(1)
                + random.jitter(random.chance(slowness) ? Milliseconds(400) : Milliseconds(8));
    }

    void call(std::size_t index)
    {
        if (!nodes[index])
            return;
        called += idealBucket.take(time, quota.ratePerSecond, quota.burst) ? 1 : 0;
        Node &node = *nodes[index];
        const QuotaDecision decision = node.tokens.arrive(customer, time);
        if (decision == QuotaDecision::Admitted)
            admitted.push_back(time);
        if (decision == QuotaDecision::Waiting)
            node.waiting.push_back(time);
    }
    void ask(std::size_t index)
    {
        const std::shared_ptr<Node> node = nodes[index];
        node->isAsking = true;
        node->requestedAt = time;
        const QuotaRequest request{addressOf(index), node->home.isCounted(time), false,
                                   node->tokens.demands(time), 0};
        node->home.recordRequest(time);
        const Address home = node->home.current();
        const std::size_t target = indexOf(home);
        if (nodes[index] && side[index] == side[target] && !nodes[target]) {
            node->home.recordEnd(time);
            node->isAsking = false;
            return;
        }
        const auto isAnswered = std::make_shared<bool>(false);
        const TimePoint sentAt = time;
        deliver(Milliseconds(300), [this, node, isAnswered] {
            if (std::exchange(*isAnswered, true))
                return;
            node->home.recordFailure(time);
            node->isAsking = false;
        });
        if (random.chance(lossRate))
            return;
        // A frozen node reads its messages when it goes on.
        const auto frozen
                = std::max(Milliseconds(0),
                           std::chrono::duration_cast<Milliseconds>(frozenUntil[target] - time));
        deliver(target == index ? Milliseconds(0) : frozen + delay(), [=, this] {
            if (!reaches(index, target))
                return;
            const auto grants
                    = nodes[target]->ledger.grant(request, findQuota(), nodes.size(), time);
            if (random.chance(lossRate))
                return;
            deliver(target == index ? Milliseconds(0) : delay(), [=, this] {
                if (!reaches(index, target) || std::exchange(*isAnswered, true))
                    return;
                node->home.recordAnswer();
                node->isAsking = false;
                node->tokens.apply(grants, sentAt, time);
            });
        });
    }
    void move(std::size_t index)
    {
        Node &node = *nodes[index];
        const Address next = node.home.best();
        const std::size_t old = indexOf(node.home.current());
        if (!reaches(index, indexOf(next))) {
            node.home.recordUnfit(next, time);
        } else if (reaches(index, old)) {
            nodes[old]->ledger.grant(
                    QuotaRequest{addressOf(index), false, true, node.tokens.surrender(time), 0},
                    findQuota(), nodes.size(), time);
            node.home.recordMove(next);
        }
    }
    void advance(std::size_t index)
    {
        Node &node = *nodes[index];
        for (std::size_t left = node.waiting.size(); left > 0; --left) {
            const TimePoint arrivedAt = node.waiting.front();
            node.waiting.pop_front();
            if (time - arrivedAt >= Milliseconds(250)) {
                node.tokens.stopWaiting(customer);
                continue;
            }
            const QuotaDecision decision = node.tokens.decideAgain(customer, time);
            if (decision == QuotaDecision::Admitted)
                admitted.push_back(time);
            if (decision == QuotaDecision::Waiting)
                node.waiting.push_back(arrivedAt);
        }
        if (time - node.updatedAt >= Milliseconds(500)) {
            node.updatedAt = time;
            node.home.update(listed(index), time);
            node.tokens.sweep(time);
            node.ledger.sweep(findQuota(), time);
            if (!node.isAsking && node.home.shouldMove(time))
                move(index);
        }
        const bool isDue = !node.waiting.empty() || time - node.requestedAt >= Milliseconds(600)
                || (node.tokens.isLow() && time - node.requestedAt >= Milliseconds(60));
        if (isDue && !node.isAsking)
            ask(index);
    }
    void step()
    {
        time += quotaStep;
        for (std::size_t i = 0; i < deliveries.size(); ++i) {
            if (deliveries[i].at <= time)
                std::exchange(deliveries[i].run, [] {})();
        }
        std::erase_if(deliveries, [this](const Delivery &each) { return each.at <= time; });
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (nodes[i] && frozenUntil[i] <= time)
                advance(i);
        }
    }
    /// Steps for `duration` with `callsPerSecond` in all, each at the node that `place` chooses.
    void run(Milliseconds duration, double callsPerSecond,
             const std::function<std::size_t()> &place)
    {
        for (const TimePoint end = time + duration; time < end;) {
            step();
            // Poisson arrivals.
            for (int i = 0; i < 100; ++i) {
                if (random.chance(std::min(
                            1.0, callsPerSecond * static_cast<double>(quotaStep.count()) / 1e5)))
                    call(place());
            }
        }
    }
    /// Returns the most calls beyond what a window of five seconds allows; at most 0 if kept.
    double excess() const
    {
        const double allowed = (quota.ratePerSecond * 5 + quota.burst) * 1.1 + 20;
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < admitted.size(); ++last) {
            while (admitted[last] - admitted[first] > Milliseconds(5000))
                ++first;
            most = std::max(most, last - first + 1);
        }
        return static_cast<double>(most) - allowed;
    }
    /// Returns the calls that were admitted since the last count, over those that one bucket for
    /// the whole fleet would have admitted.
    double served()
    {
        const double part = static_cast<double>(admitted.size() - countedBefore)
                / static_cast<double>(std::max<std::size_t>(1, called));
        countedBefore = admitted.size();
        called = 0;
        return part;
    }

    const CustomerId customer{"ash"};
    CallQuota quota;
    Random random;
    TimePoint time{Milliseconds(60'000)};
    std::vector<std::shared_ptr<Node>> nodes;
    // Nodes of different sides cannot reach each other.
    std::vector<int> side;
    std::vector<TimePoint> frozenUntil;
    std::vector<Delivery> deliveries;
    std::vector<TimePoint> admitted;
    TokenBucket idealBucket;
    std::size_t called = 0;
    std::size_t countedBefore = 0;
    double lossRate = 0.0;
    double slowness = 0.0;
};

BOOST_AUTO_TEST_SUITE(quotas)

BOOST_AUTO_TEST_CASE(usualDemandIsServedWhereverItArises)
{
    const auto seed = testSeed(31);
    for (const CallQuota quota :
         {CallQuota{2, 2}, CallQuota{28, 28}, CallQuota{28, 5}, CallQuota{600, 300}}) {
        QuotaFleet fleet(68, quota, seed);
        const auto anywhere = [&] { return static_cast<std::size_t>(fleet.random.below(68)); };
        fleet.run(Milliseconds(3000), 0.1, anywhere);
        fleet.served();
        const double rate = 0.6 * quota.ratePerSecond;
        fleet.run(Milliseconds(120'000), rate, anywhere);
        const double spread = fleet.served();
        fleet.run(Milliseconds(120'000), rate, [] { return 7U; });
        const double oneNode = fleet.served();
        fleet.run(Milliseconds(120'000), rate, [&] {
            return static_cast<std::size_t>(fleet.time.time_since_epoch() / Milliseconds(1000))
                    % 68;
        });
        const double moving = fleet.served();
        BOOST_TEST_MESSAGE("rate " << quota.ratePerSecond << " served " << spread << ", one node "
                                   << oneNode << ", moving " << moving);
        constexpr double least = 0.97;
        BOOST_TEST(spread >= least);
        BOOST_TEST(oneNode >= least);
        BOOST_TEST(moving >= least);
    }
}

BOOST_AUTO_TEST_CASE(demandBeyondTheQuotaIsServedUpToIt)
{
    for (const bool isSpread : {true, false}) {
        QuotaFleet fleet(40, CallQuota{100, 50}, testSeed(32));
        const auto place = [&]() -> std::size_t { return isSpread ? fleet.random.below(40) : 3; };
        fleet.run(Milliseconds(3000), 5, place);
        fleet.run(Milliseconds(20'000), 500, place);
        BOOST_TEST(fleet.excess() <= 0);
        BOOST_TEST(static_cast<double>(fleet.admitted.size()) >= 0.9 * 20 * 100);
    }
}

BOOST_AUTO_TEST_CASE(cutOffNodesServeTheirPart)
{
    QuotaFleet fleet(40, CallQuota{100, 50}, testSeed(33));
    const auto anywhere = [&] { return static_cast<std::size_t>(fleet.random.below(40)); };
    fleet.run(Milliseconds(5000), 60, anywhere);
    for (std::size_t i = 0; i < 10; ++i)
        fleet.side[i] = 1;
    fleet.run(Milliseconds(4000), 60, anywhere);
    fleet.served();
    fleet.run(Milliseconds(10'000), 60, anywhere);
    BOOST_TEST(fleet.served() >= 0.95);
    for (std::size_t i = 0; i < 10; ++i)
        fleet.side[i] = 0;
    fleet.run(Milliseconds(10'000), 500, anywhere);
    BOOST_TEST(fleet.excess() <= 0);
}

BOOST_AUTO_TEST_CASE(quotaIsKeptUnderFaults)
{
    checkProperty(34, 60, [](std::uint32_t seed) {
        Random random(seed);
        const std::size_t size = 3 + random.below(50);
        const double rate = 1.0 + static_cast<double>(random.below(150));
        QuotaFleet fleet(size, CallQuota{rate, rate * 2 * random.unit()}, seed);
        fleet.lossRate = random.chance(0.5) ? 0.1 : 0.0;
        fleet.slowness = random.chance(0.5) ? 0.1 : 0.0;
        const auto anywhere = [&] { return static_cast<std::size_t>(random.below(size)); };
        for (int second = 0; second < 40; ++second) {
            if (random.chance(0.15)) {
                for (std::size_t i = 0; i < size; ++i)
                    fleet.side[i] = random.chance(0.5) ? 0 : static_cast<int>(random.below(3));
            }
            if (random.chance(0.2))
                fleet.side.assign(size, 0);
            if (random.chance(0.3))
                fleet.kill(anywhere(), Milliseconds(200) + random.jitter(Milliseconds(3000)));
            if (random.chance(0.05)) {
                for (std::size_t i = 0; i < size; i += 2)
                    fleet.kill(i, random.jitter(Milliseconds(3000)));
            }
            if (random.chance(0.1))
                fleet.frozenUntil[anywhere()] = fleet.time + random.jitter(Milliseconds(8000));
            fleet.run(Milliseconds(1000), rate * (random.chance(0.3) ? 0.6 : 4), anywhere);
        }
        RC_ASSERT(fleet.excess() <= 0);
    });
}

BOOST_AUTO_TEST_CASE(nodeCountsAtOneHomeAtATime)
{
    QuotaFleet fleet(5, CallQuota{10, 10}, testSeed(36));
    QuotaHome home(0, QuotaFleet::addressOf(100));
    TimePoint time = fleet.time;
    home.update(fleet.listed(0), time);
    BOOST_TEST(home.isCounted(time));
    // One that cannot be reached may still count this node; one that has ended does not.
    for (const bool hasEnded : {true, false}) {
        const Address former = home.current();
        BOOST_REQUIRE((former != QuotaFleet::addressOf(100)));
        home.recordRequest(time);
        time += Milliseconds(300);
        if (hasEnded)
            home.recordEnd(time);
        for (int i = 0; i < 2 && !hasEnded; ++i)
            home.recordFailure(time);
        BOOST_TEST((home.current() != former));
        BOOST_TEST(home.isCounted(time) == hasEnded);
    }
    BOOST_TEST(!home.isCounted(time + quotaContactLife));
    BOOST_TEST(home.isCounted(time + Milliseconds(2000)));
    // A cut link may refuse connections too.
    time += Milliseconds(6000);
    home.recordRequest(time);
    const Address refusing = home.current();
    home.recordRefused(time);
    BOOST_TEST((home.current() != refusing));
    BOOST_TEST(!home.isCounted(time));
    // The next one never counted this node, so it does not put off the time.
    home.recordRequest(time + Milliseconds(600));
    home.recordRefused(time + Milliseconds(600));
    BOOST_TEST(home.isCounted(time + Milliseconds(2000)));
}

BOOST_AUTO_TEST_CASE(homesAreNodesWithWideLinks)
{
    QuotaFleet fleet(20, CallQuota{10, 10}, testSeed(37));
    std::vector<QuotaNode> nodes = fleet.listed(0);
    nodes[11].capacity = 8;
    nodes[12].capacity = 3;
    QuotaHome home(0, QuotaFleet::addressOf(0));
    home.update(nodes, fleet.time);
    BOOST_TEST((home.current() == nodes[11].address));
}

BOOST_AUTO_TEST_CASE(decisionsAreShort)
{
    constexpr std::size_t keyCount = 10'000;
    constexpr int rounds = 200'000;
    std::vector<HostCustomer> customers(keyCount);
    for (std::size_t i = 0; i < keyCount; ++i) {
        customers[i].id = CustomerId("customer-" + std::to_string(i));
        customers[i].keys.emplace_back("key-of-customer-" + std::to_string(i));
        customers[i].quota = CallQuota{10, 10};
    }
    const auto keys = CustomerKeys::build(std::move(customers));
    BOOST_REQUIRE(keys.has_value());
    std::vector<std::string> shown;
    for (std::size_t i = 0; i < keyCount; ++i)
        shown.push_back("key-of-customer-" + std::to_string(i * 7919 % keyCount));
    QuotaTokens tokens;
    std::uint32_t found = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i) {
        const HostCustomer *customer = keys->find(shown[static_cast<std::size_t>(i) % keyCount]);
        found += customer && quotaGroupOf(customer->id.value()) < quotaGroupCount ? 1 : 0;
        tokens.arrive(customer->id, TimePoint(Microseconds(i)));
    }
    const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - begin;
    BOOST_TEST(found == static_cast<std::uint32_t>(rounds));
    BOOST_TEST_MESSAGE("key look-up and quota decision: " << took.count() / rounds << " ns");
}

BOOST_AUTO_TEST_CASE(loweredQuotaBindsAtOnce)
{
    QuotaFleet fleet(20, CallQuota{200, 100}, testSeed(35));
    const auto anywhere = [&] { return static_cast<std::size_t>(fleet.random.below(20)); };
    fleet.run(Milliseconds(6000), 400, anywhere);
    fleet.quota = CallQuota{20, 10};
    fleet.admitted.clear();
    fleet.run(Milliseconds(8000), 400, anywhere);
    BOOST_TEST(fleet.excess() <= 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
