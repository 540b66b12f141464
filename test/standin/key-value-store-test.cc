// Compares the store with a simple model over random operations, and tests edge cases.
#include "cornelhead/standin/key-value-store.h"

#include <boost/test/unit_test.hpp>

#include "cornelhead/base/random.h"

namespace cornelhead {

constexpr std::uint64_t seeds = 40;
constexpr int stepsPerSeed = 400;
constexpr std::size_t loggedChanges = 30;

/// Keeps the complete state of the store at each revision.
struct StoreModel
{
    struct Row
    {
        std::string value;
        std::uint64_t modRevision = 0;
        LeaseId lease;
    };
    using State = std::map<std::string, Row>;

    std::vector<State> states{State()};
    std::map<LeaseId, std::int64_t> deadlines;

    std::uint64_t revision() const { return states.size() - 1; }
    std::uint64_t revisionOf(const std::string &key) const
    {
        const auto row = states.back().find(key);
        return row == states.back().end() ? 0 : row->second.modRevision;
    }
    void put(const std::string &key, const std::string &value, const LeaseId &lease)
    {
        states.push_back(states.back());
        states.back()[key] = Row{value, revision(), lease};
    }
    void remove(const std::string &key)
    {
        states.push_back(states.back());
        states.back().erase(key);
    }
    void removeLease(const LeaseId &lease)
    {
        const State before = states.back();
        for (const auto &[key, row] : before) {
            if (row.lease == lease)
                remove(key);
        }
        deadlines.erase(lease);
    }
    void expireLeases(std::int64_t timeMs)
    {
        // The store removes expired leases in the order of their ids.
        const auto all = deadlines;
        for (const auto &[lease, deadline] : all) {
            if (deadline <= timeMs)
                removeLease(lease);
        }
    }
};

struct ModelRun
{
    explicit ModelRun(std::uint64_t seed) : random(seed) { }

    Random random;
    ManualClock clock;
    std::int64_t timeMs = 0;
    KeyValueStore store{{64, 16, loggedChanges}, clock, 7};
    StoreModel model;
    std::vector<LeaseId> leases;

    std::string drawKey()
    {
        return (random.chance(0.5) ? "a/" : "b/") + std::to_string(random.below(5));
    }
    LeaseId drawLease()
    {
        return leases.empty() ? LeaseId("none") : leases[random.below(leases.size())];
    }
    std::uint64_t drawExpected(const std::string &key)
    {
        return random.chance(0.7) ? model.revisionOf(key) : random.below(model.revision() + 2);
    }

    void put()
    {
        const std::string key = drawKey();
        const std::string value(random.below(70), 'v');
        const std::uint64_t expected = drawExpected(key);
        const std::optional<LeaseId> lease
                = random.chance(0.4) ? std::optional(drawLease()) : std::nullopt;
        const auto result = store.put(key, value, ExpectedRevision{ModRevision(expected)}, lease);
        const bool isValid = value.size() <= 64 && (!lease || model.deadlines.contains(*lease))
                && expected == model.revisionOf(key);
        BOOST_REQUIRE_EQUAL(result.has_value(), isValid);
        if (!isValid)
            return;
        model.put(key, value, lease.value_or(LeaseId()));
        BOOST_REQUIRE_EQUAL(result->value(), model.revision());
    }

    void remove()
    {
        const std::string key = drawKey();
        const std::uint64_t expected = drawExpected(key);
        const bool isValid = expected != 0 && expected == model.revisionOf(key);
        BOOST_REQUIRE_EQUAL(store.remove(key, ExpectedRevision{ModRevision(expected)}).has_value(),
                            isValid);
        if (isValid)
            model.remove(key);
    }

    void useLease()
    {
        const LeaseId lease = drawLease();
        const bool isActive = model.deadlines.contains(lease);
        if (random.chance(0.3)) {
            leases.push_back(store.grant(Milliseconds(1000)).value());
            model.deadlines[leases.back()] = timeMs + 1000;
        } else if (random.chance(0.8)) {
            BOOST_REQUIRE_EQUAL(store.keepAlive(lease).has_value(), isActive);
            if (isActive)
                model.deadlines[lease] = timeMs + 1000;
        } else {
            BOOST_REQUIRE_EQUAL(store.revoke(lease).has_value(), isActive);
            model.removeLease(lease);
        }
    }

    void compareChanges()
    {
        const std::uint64_t after = random.below(model.revision() + 2);
        const auto answer = store.changes("a/", ModRevision(after));
        const bool isInLog = after <= model.revision() && after + loggedChanges >= model.revision();
        BOOST_REQUIRE_EQUAL(answer.has_value(), isInLog);
        if (!isInLog)
            return;
        // Applied to the state at `after`, the changes must give the current state.
        std::map<std::string, std::uint64_t> replica;
        for (const auto &[key, row] : model.states[after])
            replica[key] = row.modRevision;
        for (const KeyValue &entry : answer->changed)
            replica[entry.key] = entry.modRevision.value();
        for (const std::string &key : answer->removed)
            replica.erase(key);
        std::erase_if(replica, [](const auto &item) { return item.first.rfind("a/", 0) != 0; });
        std::map<std::string, std::uint64_t> expected;
        for (const KeyValue &entry : store.list("a/").entries)
            expected[entry.key] = entry.modRevision.value();
        BOOST_REQUIRE((replica == expected));
    }

    void compareStates()
    {
        const Listing listing = store.list("");
        BOOST_REQUIRE_EQUAL(listing.storeRevision.value(), model.revision());
        BOOST_REQUIRE_EQUAL(listing.entries.size(), model.states.back().size());
        for (const KeyValue &entry : listing.entries) {
            const StoreModel::Row &row = model.states.back().at(entry.key);
            BOOST_REQUIRE_EQUAL(entry.value, row.value);
            BOOST_REQUIRE_EQUAL(entry.modRevision.value(), row.modRevision);
        }
        BOOST_REQUIRE(store.isConsistent());
    }

    void step()
    {
        const Milliseconds elapsed = random.jitter(Milliseconds(random.chance(0.1) ? 700 : 20));
        clock.advance(elapsed);
        timeMs += elapsed.count();
        model.expireLeases(timeMs);
        const std::uint64_t choice = random.below(10);
        if (choice < 5)
            put();
        else if (choice < 7)
            remove();
        else if (choice < 9)
            useLease();
        compareChanges();
        compareStates();
    }
};

BOOST_AUTO_TEST_SUITE(keyValueStore)

BOOST_AUTO_TEST_CASE(matchesTheModel)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        BOOST_TEST_INFO_SCOPE("seed " << seed);
        ModelRun run(seed);
        for (int step = 0; step < stepsPerSeed; ++step)
            run.step();
        BOOST_TEST(run.model.revision() > loggedChanges);
    }
    BOOST_TEST_MESSAGE("seeds 1 to " << seeds);
}

BOOST_AUTO_TEST_CASE(aPutWithoutALeaseDetachesTheKeyFromItsLease)
{
    ManualClock clock;
    KeyValueStore store({}, clock, 1);
    const LeaseId lease = store.grant(Milliseconds(1000)).value();
    const ModRevision first = store.put("a", "1", ExpectedRevision{}, lease).value();
    store.put("a", "2", ExpectedRevision{first}, std::nullopt).value();
    clock.advance(Milliseconds(1000));
    BOOST_TEST(store.get("a")->value == "2");
    BOOST_TEST((store.put("b", "", ExpectedRevision{}, lease).error().kind == ErrorKind::NotFound));
}

BOOST_AUTO_TEST_CASE(aRestartedStoreRejectsEarlierLeasesAndRevisions)
{
    KeyValueStore before({}, ManualClock(), 1);
    const LeaseId lease = before.grant(Milliseconds(1000)).value();
    KeyValueStore after({}, ManualClock(), 2);
    after.grant(Milliseconds(1000)).value();
    BOOST_TEST(!after.keepAlive(lease).has_value());
    BOOST_TEST((after.changes("", ModRevision(1)).error().kind == ErrorKind::Stale));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
