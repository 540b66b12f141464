// Tests the event log: complete JSON lines, bounded memory and non-blocking writes.
#include <fcntl.h>
#include <unistd.h>

#include <array>

#include <boost/test/unit_test.hpp>

#include "cornelhead/base/event-log.h"

namespace cornelhead {

BOOST_AUTO_TEST_SUITE(event_log)

BOOST_AUTO_TEST_CASE(lineContainsAllFieldsEscaped)
{
    Metrics metrics;
    EventLog log(metrics);
    log.write(EventKind::Lifecycle, "node", "started",
              {{"text", "a\"b\\c\n"}, {"number", 7}, {"share", 0.25}, {"flag", true}});
    BOOST_REQUIRE(log.queued().size() == 1U);
    const std::string &line = log.queued().front();
    BOOST_TEST(line.find(R"("kind":"lifecycle","part":"node","event":"started")")
               != std::string::npos);
    BOOST_TEST(line.find(R"("text":"a\"b\\c?","number":7,"share":0.25,"flag":true})")
               != std::string::npos);
    BOOST_TEST(line.back() == '\n');
}

BOOST_AUTO_TEST_CASE(successesAreRateLimitedBeforeFailures)
{
    Metrics metrics;
    EventLog log(metrics);
    for (int i = 0; i < 1000; ++i)
        log.write(EventKind::Success, "entry", "served", {});
    const std::size_t successes = log.queued().size();
    BOOST_TEST(successes < 50U);
    for (int i = 0; i < 30; ++i)
        log.write(EventKind::Failure, "entry", "refused", {});
    BOOST_TEST(log.queued().size() >= successes + 30);
}

// The reader of standard output has stopped reading, so the pipe stays full.
BOOST_AUTO_TEST_CASE(fullPipeNeitherBlocksNorGrowsMemory)
{
    std::array<int, 2> ends{};
    BOOST_REQUIRE(::pipe(ends.data()) == 0);
    const int savedStdout = ::dup(STDOUT_FILENO);
    ::dup2(ends[1], STDOUT_FILENO);
    Metrics metrics;
    EventLog log(metrics);
    const std::string longText(2000, 'x');
    for (int i = 0; i < 2000; ++i) {
        for (const EventKind kind :
             {EventKind::Lifecycle, EventKind::StateChange, EventKind::Failure})
            log.write(kind, "entry", "refused", {{"text", longText}});
        log.flush();
    }
    std::size_t bytes = 0;
    for (const std::string &line : log.queued())
        bytes += line.size();
    ::dup2(savedStdout, STDOUT_FILENO);
    for (const int fd : {savedStdout, ends[0], ends[1]})
        ::close(fd);
    BOOST_TEST(bytes <= 256U * 1024U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
