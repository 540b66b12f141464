// Tests the limits of what a client reads.
#include <boost/test/unit_test.hpp>

#include "cornelhead/net/receive-limit.h"
#include "support/property.h"

namespace cornelhead::detail {

BOOST_AUTO_TEST_SUITE(receive_limit)

BOOST_AUTO_TEST_CASE(headsAreLimitedTogether)
{
    ReceiveLimit limit;
    for (std::size_t bytes = 0; bytes < ReceiveLimit::maxHeadBytes; bytes += 25) {
        BOOST_TEST(!limit.fault(0));
        limit.addConsumed(25);
    }
    BOOST_TEST((limit.fault(0) == ReceiveFault::Heads));
}

BOOST_AUTO_TEST_CASE(unreadBytesAreLimitedByTheBody)
{
    constexpr std::size_t maxBody = 1'000'000;
    ReceiveLimit limit;
    limit.addConsumed(500);
    limit.startBody(true, maxBody);
    BOOST_TEST(!limit.fault(maxBody));
    BOOST_TEST((limit.fault(maxBody + ReceiveLimit::maxUnreadHeadBytes + 1) == ReceiveFault::Body));
}

// Chunks of any size are allowed, but not chunk sizes and extensions without chunks.
BOOST_AUTO_TEST_CASE(framingIsLimitedByTheBody)
{
    checkProperty(42, 100, [] {
        const auto chunk = *rc::gen::inRange<std::size_t>(1, 64);
        const auto count = *rc::gen::inRange<std::size_t>(1, 5'000);
        ReceiveLimit limit;
        limit.addConsumed(500);
        limit.startBody(true, 8'000'000);
        for (std::size_t i = 0; i < count; ++i) {
            limit.addConsumed(chunk + 6);
            limit.addBody(chunk);
            RC_ASSERT(!limit.fault(0));
        }
        limit.addConsumed(64 * 1024 + 16 * count * chunk);
        RC_ASSERT(limit.fault(0) == ReceiveFault::Framing);
    });
}

BOOST_AUTO_TEST_CASE(bodyWithoutChunksHasNoFraming)
{
    ReceiveLimit limit;
    limit.startBody(false, 8'000'000);
    // A body of known length is consumed at once, before it is handed over.
    limit.addConsumed(8'000'000);
    BOOST_TEST(!limit.fault(0));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead::detail
