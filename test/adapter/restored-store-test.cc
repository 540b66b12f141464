// Tests a fleet whose key-value store comes back from an older copy: what was written since is
// lost, and its revisions and lease ids are given out again.
#include "adapter/sidecar-fleet.h"

namespace cornelhead {

struct RestoredFleet : SidecarFleet
{
    RestoredFleet()
    {
        configureRoute("00000005", "first");
        for (int i = 0; i < 4; ++i)
            add("bookings", "b" + std::to_string(i));
        settle();
    }
    /// Changes a key that concerns no node, until the store is at this revision.
    void writeUpTo(std::uint64_t revision)
    {
        while (store.store.revision().value() < revision)
            store.write("other/key", "value");
    }
    std::uint64_t revision() const { return store.store.revision().value(); }
    /// From now on the store refuses every call.
    void loseStore()
    {
        store.refuseWith = 503;
        loop.runFor(Milliseconds(1500));
    }
};

BOOST_FIXTURE_TEST_SUITE(restored_store, RestoredFleet)

// CONFIG: the change after the restore was in force nowhere, as its revision had been given out
// before.
BOOST_AUTO_TEST_CASE(configurationWrittenAfterTheStoreWasRestoredIsInForce)
{
    std::uint64_t version = 10;
    // Where the revision of the change lies, relative to the highest that the nodes have seen.
    for (const int distance : {-50, 0, 50}) {
        const UsersStore::Copy copy = store.copy();
        writeUpTo(revision() + 200);
        configureRoute("000000" + std::to_string(++version), "lost");
        waitForRoute("/lost/1");
        loop.runFor(Milliseconds(1000));
        const std::uint64_t seen = revision();
        loseStore();
        store.restore(copy);
        store.refuseWith.reset();
        // The operator writes the lost change again.
        configureRoute("000000" + std::to_string(version), "lost");
        loop.runFor(Milliseconds(1500));
        writeUpTo(seen + distance - 1);
        configureRoute("000000" + std::to_string(++version), "next");
        BOOST_REQUIRE(revision() == seen + distance);
        waitForRoute("/next/1");
    }
}

// The restore may be so short that no call fails, and the store's revisions soon exceed those that
// the nodes have seen.
BOOST_AUTO_TEST_CASE(restoreBetweenTwoCallsIsNoticed)
{
    const UsersStore::Copy copy = store.copy();
    configureRoute("00000007", "lost");
    waitForRoute("/lost/1");
    const std::uint64_t seen = revision();
    loop.runFor(Milliseconds(1000));
    store.restore(copy);
    configureRoute("00000009", "next");
    writeUpTo(seen + 10);
    waitForRoute("/next/1");
}

// The store holds an older configuration until the operator writes the lost one again.
BOOST_AUTO_TEST_CASE(lostConfigurationStaysInForce)
{
    const UsersStore::Copy copy = store.copy();
    configureRoute("00000007", "second");
    waitForRoute("/second/1");
    store.restore(copy);
    for (int i = 0; i < 20; ++i) {
        loop.runFor(Milliseconds(100));
        for (SidecarHost &host : hosts)
            BOOST_TEST(call(host.settings.outbound, requestTo("/second/1")).status == 200);
    }
}

// Each listing of an unchanged store found changes that were passed over, so it was listed again.
BOOST_AUTO_TEST_CASE(quietStoreIsNotListedAgainAfterItsRestore)
{
    const UsersStore::Copy copy = store.copy();
    writeUpTo(revision() + 200);
    configureRoute("00000007", "lost");
    waitForRoute("/lost/1");
    store.restore(copy);
    loop.runFor(Milliseconds(3000));
    store.callCounts.clear();
    loop.runFor(Milliseconds(3000));
    BOOST_TEST(store.callCounts["/kv-range"] == 0U);
    BOOST_TEST(store.callCounts["/kv-watch"] <= 2U);
}

// A host kept the lease of another alive, as both had been given the same id.
BOOST_AUTO_TEST_CASE(hostsPublishTheirEntriesUnderNewLeasesAfterARestore)
{
    const UsersStore::Copy copy = store.copy();
    const SidecarHost &first = add("bookings", "b4");
    settle();
    store.restore(copy);
    // The store gives this host the lease id that it had given to the first one.
    SidecarHost &second = add("bookings", "b5");
    settle();
    second.sidecar.reset();
    const std::string prefix = "cornelhead/hosts/";
    waitUntil([&] { return !store.read(prefix + second.settings.inbound.toString()); });
    BOOST_TEST(store.read(prefix + first.settings.inbound.toString()).has_value());
    loop.runFor(Milliseconds(2000));
    BOOST_TEST(store.read(prefix + first.settings.inbound.toString()).has_value());
}

// The copy is from before any host had published its entry.
BOOST_FIXTURE_TEST_CASE(callsAreServedWhileTheStoreListsNoHost, SidecarFleet)
{
    const UsersStore::Copy copy = store.copy();
    configure("00000005", usersRoute("first", "/first/", "idempotent", "bookings"));
    for (int i = 0; i < 4; ++i)
        add("bookings", "b" + std::to_string(i));
    settle();
    store.restore(copy);
    configure("00000005", usersRoute("first", "/first/", "idempotent", "bookings"));
    for (int i = 0; i < 50; ++i) {
        loop.runFor(Milliseconds(100));
        const SidecarHost &host = hosts[static_cast<std::size_t>(i) % hosts.size()];
        BOOST_TEST(call(host.settings.outbound, requestTo("/first/1")).status == 200);
    }
    settle();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
