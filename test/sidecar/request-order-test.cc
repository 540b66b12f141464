// Tests which requests of one connection run side by side.
#include <deque>

#include "cornelhead/sidecar/request-order.h"
#include "support/property.h"

namespace cornelhead::detail {

BOOST_AUTO_TEST_SUITE(request_order)

BOOST_AUTO_TEST_CASE(exclusiveRequestsRunAloneAndEveryRequestStarts)
{
    checkProperty(20260702, 300, [] {
        std::deque<bool> waiting = *rc::gen::arbitrary<std::deque<bool>>();
        std::vector<RequestKind> running;
        RequestOrder order;
        while (!waiting.empty() || !running.empty()) {
            const auto next = waiting.empty() || waiting.front() ? RequestKind::Safe
                                                                 : RequestKind::Exclusive;
            if (!waiting.empty() && order.mayStart(next)) {
                waiting.pop_front();
                order.start(next);
                running.push_back(next);
            } else {
                RC_ASSERT(!running.empty());
                running.erase(running.begin()
                              + *rc::gen::inRange<std::ptrdiff_t>(
                                      0, static_cast<std::ptrdiff_t>(running.size())));
                order.end();
            }
            const bool isAlone = running.size() < 2
                    || std::count(running.begin(), running.end(), RequestKind::Exclusive) == 0;
            RC_ASSERT(isAlone);
            RC_ASSERT(order.isRunning() == !running.empty());
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead::detail
