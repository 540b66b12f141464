// Tests that readers of a change journal see the same state as readers of the service.
#include <boost/test/unit_test.hpp>

#include "cornelhead/base/random.h"
#include "cornelhead/platform/change-journal.h"
#include "support/property.h"

namespace cornelhead {

KeyValue makeEntry(const std::string &key, const std::string &value, std::uint64_t revision)
{
    return KeyValue{key, value, ModRevision(revision)};
}

BOOST_AUTO_TEST_SUITE(change_journal)

BOOST_AUTO_TEST_CASE(readerOlderThanTheFirstListingGetsASnapshot)
{
    ChangeJournal journal;
    journal.apply({{makeEntry("a", "1", 4), makeEntry("b", "1", 7)}, {}, ModRevision(9), true});
    const WatchResponse snapshot = journal.changesSince(ModRevision(8));
    BOOST_TEST(snapshot.isSnapshot);
    BOOST_TEST(snapshot.changed.size() == 2U);
    BOOST_TEST(snapshot.storeRevision.value() == 9U);
    const WatchResponse unchanged = journal.changesSince(ModRevision(9));
    BOOST_TEST(!unchanged.isSnapshot);
    BOOST_TEST(unchanged.changed.empty());
}

BOOST_AUTO_TEST_CASE(removalsAreReturnedOnceToEachReader)
{
    ChangeJournal journal;
    journal.apply({{makeEntry("a", "1", 4), makeEntry("b", "1", 7)}, {}, ModRevision(9), true});
    journal.apply({{}, {"a"}, ModRevision(11), false});
    BOOST_TEST(journal.hasChangesSince(ModRevision(9)));
    BOOST_REQUIRE(journal.changesSince(ModRevision(9)).removed.size() == 1U);
    BOOST_TEST(journal.changesSince(ModRevision(11)).removed.empty());
    BOOST_TEST(!journal.hasChangesSince(ModRevision(11)));
}

BOOST_AUTO_TEST_CASE(snapshotReportsMissingKeysAsRemoved)
{
    ChangeJournal journal;
    journal.apply({{makeEntry("a", "1", 4), makeEntry("b", "1", 7)}, {}, ModRevision(9), true});
    journal.apply({{makeEntry("b", "2", 15)}, {}, ModRevision(20), true});
    const WatchResponse changes = journal.changesSince(ModRevision(9));
    BOOST_TEST(!changes.isSnapshot);
    BOOST_REQUIRE(changes.removed.size() == 1U);
    BOOST_TEST(changes.removed.front() == "a");
    BOOST_TEST(changes.changed.front().value == "2");
}

// A reader that has followed another journal with a newer revision must not go back.
BOOST_AUTO_TEST_CASE(readerAheadOfTheJournalGetsNoChanges)
{
    ChangeJournal journal;
    journal.apply({{makeEntry("a", "1", 4)}, {}, ModRevision(9), true});
    const WatchResponse unchanged = journal.changesSince(ModRevision(30));
    BOOST_TEST(unchanged.changed.empty());
    BOOST_TEST(!unchanged.isSnapshot);
    BOOST_TEST(unchanged.storeRevision.value() == 30U);
}

BOOST_AUTO_TEST_CASE(occasionalReaderMatchesTheStore)
{
    Random random{testSeed(23)};
    ChangeJournal journal;
    std::map<std::string, std::string> store;
    std::map<std::string, std::string> reader;
    ModRevision after;
    std::uint64_t revision = 1;
    journal.apply({{}, {}, ModRevision(revision), true});
    for (int i = 0; i < 20'000; ++i) {
        const std::string key = "k" + std::to_string(random.below(40));
        ++revision;
        if (random.chance(0.4)) {
            store.erase(key);
            journal.apply({{}, {key}, ModRevision(revision), false});
        } else {
            store[key] = std::to_string(revision);
            journal.apply(
                    {{makeEntry(key, store[key], revision)}, {}, ModRevision(revision), false});
        }
        if (!random.chance(0.004))
            continue;
        const WatchResponse response = journal.changesSince(after);
        after = response.storeRevision;
        if (response.isSnapshot)
            reader.clear();
        for (const KeyValue &entry : response.changed)
            reader[entry.key] = entry.value;
        for (const std::string &removed : response.removed)
            reader.erase(removed);
        BOOST_REQUIRE(reader == store);
    }
}

// CONFIG: a store that came back from a copy gave out its revisions again, and what was written
// under them was passed over as old.
BOOST_AUTO_TEST_CASE(entriesOfALaterEraAreNewer)
{
    const auto revision = [](std::uint64_t era, std::uint64_t number) {
        return inEra(StoreEra(era), ModRevision(number));
    };
    ChangeJournal journal;
    journal.apply({{KeyValue{"a", "1", revision(1, 4)}, KeyValue{"b", "2", revision(1, 90)}},
                   {},
                   revision(1, 90),
                   true});
    journal.apply({{KeyValue{"a", "1", revision(2, 4)}}, {}, revision(2, 50), true});
    const WatchResponse restored = journal.changesSince(revision(1, 90));
    BOOST_TEST(restored.changed.size() == 1U);
    BOOST_REQUIRE(restored.removed.size() == 1U);
    BOOST_TEST(restored.removed.front() == "b");
    BOOST_TEST((restored.storeRevision == revision(2, 50)));
    journal.apply({{KeyValue{"a", "3", revision(2, 51)}}, {}, revision(2, 51), false});
    BOOST_TEST(journal.changesSince(revision(2, 50)).changed.front().value == "3");
    BOOST_TEST(journal.changesSince(revision(1, 4000)).changed.front().value == "3");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
