// Runs the asynchronous platform client on its own event loop until each call completes.
#include "cornelhead/ctl/platform-operations.h"

#include <algorithm>
#include <utility>

#include "cornelhead/base/metrics.h"
#include "cornelhead/base/random.h"
#include "cornelhead/net/event-loop.h"

namespace cornelhead {
namespace detail {

constexpr Milliseconds callTimeout(2000);
constexpr Milliseconds initialBackoff(50);
constexpr Milliseconds maxBackoff(1000);

bool isSafeToRetry(const Error &error)
{
    return error.kind == ErrorKind::Unavailable || error.kind == ErrorKind::RateLimited;
}

} // namespace detail

struct PlatformSession::Impl
{
    Impl(std::vector<Address> addresses, Milliseconds callRetryTimeout)
        : client(loop, std::move(addresses), std::min(detail::callTimeout, callRetryTimeout),
                 metrics),
          retryTimeout(callRetryTimeout)
    { }

    template <typename T, typename StartCall>
    Result<T> callOnce(StartCall startCall)
    {
        std::optional<Result<T>> outcome;
        startCall([&](Result<T> result) {
            outcome.emplace(std::move(result));
            loop.stop();
        });
        while (!outcome)
            loop.run();
        return std::move(*outcome);
    }

    // Backs off with full jitter between attempts, so that many callers do not retry in step.
    template <typename T, typename StartCall>
    Result<T> callWithRetries(StartCall startCall)
    {
        const TimePoint deadline = now(clock) + retryTimeout;
        Milliseconds backoff = detail::initialBackoff;
        Result<T> result = callOnce<T>(startCall);
        while (!result && detail::isSafeToRetry(result.error()) && now(clock) < deadline) {
            loop.runFor(random.jitter(backoff));
            backoff = std::min(2 * backoff, detail::maxBackoff);
            result = callOnce<T>(startCall);
        }
        return result;
    }

    EventLoop loop;
    Metrics metrics;
    PlatformClient client;
    Milliseconds retryTimeout;
    Clock clock = SteadyClock();
    Random random{randomSeed()};
};

PlatformSession::PlatformSession(std::vector<Address> addresses, Milliseconds retryTimeout)
    : impl_(std::make_unique<Impl>(std::move(addresses), retryTimeout))
{ }

PlatformSession::~PlatformSession() = default;

PlatformOperations PlatformSession::operations()
{
    Impl &impl = *impl_;
    PlatformOperations operations;
    operations.get = [&impl](const std::string &key) {
        return impl.callWithRetries<std::optional<KeyValue>>(
                [&](auto done) { impl.client.get(key, std::move(done)); });
    };
    operations.list = [&impl](const std::string &prefix) {
        return impl.callWithRetries<Listing>(
                [&](auto done) { impl.client.list(prefix, std::move(done)); });
    };
    operations.put
            = [&impl](const std::string &key, const std::string &value, ExpectedRevision expected) {
                  return impl.callWithRetries<ModRevision>([&](auto done) {
                      impl.client.put(key, value, expected, std::nullopt, std::move(done));
                  });
              };
    operations.remove = [&impl](const std::string &key, ExpectedRevision expected) {
        return impl.callWithRetries<void>(
                [&](auto done) { impl.client.remove(key, expected, std::move(done)); });
    };
    return operations;
}

} // namespace cornelhead
