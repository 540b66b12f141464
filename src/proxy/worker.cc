// Implements the workers.
#include "cornelhead/proxy/worker.h"

#include <poll.h>

#include <algorithm>

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/util.h>

namespace cornelhead::detail {

namespace {

constexpr ev_ssize_t maxHeadBytes = 16 * 1024;
constexpr ev_ssize_t maxBodyBytes = 16 * 1024 * 1024;
constexpr int callerIdleSeconds = 60;
constexpr Milliseconds tickPeriod = Milliseconds(100);
constexpr Milliseconds upstreamIdleLimit = Milliseconds(10'000);
constexpr Milliseconds quietCustomerLimit = Milliseconds(60'000);
constexpr Milliseconds drainPoll = Milliseconds(20);
// Callers that keep connections open get this long to send a last call and be told to close.
constexpr Milliseconds drainQuiet = Milliseconds(300);
constexpr int allowedMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE
        | EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH;

} // namespace

Worker::Worker(NodeState &node, std::uint64_t seed) : state_(node, seed), dispatcher_(state_)
{
    listener_.reset(evhttp_new(state_.loop.base()));
    evhttp *listener = listener_.get();
    evhttp_set_max_headers_size(listener, maxHeadBytes);
    evhttp_set_max_body_size(listener, maxBodyBytes);
    evhttp_set_timeout(listener, callerIdleSeconds);
    evhttp_set_allowed_methods(listener, allowedMethods);
    evhttp_set_default_content_type(listener, nullptr);
    const auto serve = [](evhttp_request *caller, void *arg) {
        static_cast<Worker *>(arg)->dispatcher_.onRequest(caller);
    };
    evhttp_set_gencb(listener, serve, this);
}

Worker::~Worker()
{
    if (thread_.joinable()) {
        state_.loop.stop();
        thread_.join();
    }
    // Calls still open are dropped before the listener frees their callers' requests.
    state_.calls.clear();
    state_.ended.clear();
}

Result<void> Worker::listen(const Address &address, bool isShared)
{
    const int fd = openListenSocket(address.toString().c_str(), isShared);
    if (fd >= 0)
        socket_ = evhttp_accept_socket_with_handle(listener_.get(), fd);
    if (!socket_) {
        return fail(ErrorKind::InvalidSetting, "cannot listen on " + address.toString(),
                    "choose an address of this host that is free");
    }
    return {};
}

void Worker::start()
{
    tick_ = state_.loop.every(tickPeriod, [this] { onTick(); });
    thread_ = std::thread([this] { state_.loop.run(); });
}

void Worker::setView(std::shared_ptr<const RoutingView> view)
{
    state_.loop.post([this, view = std::move(view)] { applyView(view); });
}

void Worker::applyView(std::shared_ptr<const RoutingView> view)
{
    const auto nodes = static_cast<std::uint32_t>(view->endpoints->nodes.size());
    state_.servers.update(*view->endpoints, ConnectionSplit{nodes, state_.node.settings.workers});
    dispatcher_.setView(std::move(view));
}

void Worker::onTick()
{
    state_.dropEnded();
    const TimePoint time = now(SteadyClock());
    state_.pool.closeIdle(time - upstreamIdleLimit);
    {
        const std::lock_guard lock(state_.node.limitsMutex);
        state_.node.limits.forgetQuiet(time - quietCustomerLimit);
    }
    const std::lock_guard lock(state_.node.keysMutex);
    state_.node.keys.tick(presentMoment());
}

void Worker::drain(std::function<void()> done)
{
    state_.loop.post([this, done = std::move(done)] { startDrain(done); });
}

void Worker::startDrain(std::function<void()> done)
{
    state_.isDraining = true;
    drained_ = std::move(done);
    drainStarted_ = now(SteadyClock());
    drainTimer_ = state_.loop.every(drainPoll, [this] { checkDrained(); });
    stopAccepting();
}

void Worker::stopAccepting()
{
    if (!socket_)
        return;
    // A connection that waits to be accepted would be reset, so it is accepted first.
    pollfd entry{evhttp_bound_socket_get_fd(socket_), POLLIN, 0};
    if (poll(&entry, 1, 0) > 0) {
        state_.loop.post([this] { stopAccepting(); });
        return;
    }
    evhttp_del_accept_socket(listener_.get(), std::exchange(socket_, nullptr));
}

void Worker::checkDrained()
{
    const TimePoint quietSince = std::max(drainStarted_, dispatcher_.lastRequest());
    const bool isQuiet = now(SteadyClock()) - quietSince >= drainQuiet;
    if (socket_ || !state_.calls.empty() || !isQuiet)
        return;
    drainTimer_ = Timer();
    if (const auto done = std::exchange(drained_, nullptr))
        done();
}

} // namespace cornelhead::detail
