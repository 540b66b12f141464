// Implements the listener.
#include "cornelhead/proxy/listener.h"

#include <poll.h>

#include <array>
#include <string_view>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/listener.h>

#include "cornelhead/proxy/request-head.h"

namespace cornelhead::detail {

namespace {

constexpr std::size_t maxHeadBytes = 16 * 1024;
constexpr std::size_t maxBodyBytes = 8 * 1024 * 1024;
constexpr int callerIdleTimeoutSeconds = 60;
// Bounds the accepts on stopping, so that a flood of connections cannot keep the socket open.
constexpr int maxStopAttempts = 100;
constexpr int allowedMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE
        | EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH;

constexpr std::string_view tooLargeLine = "HTTP/1.1 413";
constexpr std::string_view continueLine = "HTTP/1.1 100";

// Returns the reason for a response that evhttp generated.
RefusalReason reasonOf(std::string_view statusLine)
{
    return statusLine.substr(0, tooLargeLine.size()) == tooLargeLine ? RefusalReason::TooLarge
                                                                     : RefusalReason::BadRequest;
}

} // namespace

thread_local int Listener::ResponseScope::depth = 0;

Listener::Listener(EventLoop &loop, ProxyCounters &counters,
                   std::function<void(evhttp_request *)> onRequest)
    : loop_(loop), counters_(counters), onRequest_(std::move(onRequest)),
      connections_(loop, maxHeadBytes, maxBodyBytes), handle_(evhttp_new(loop.base()))
{
    evhttp *handle = handle_.get();
    evhttp_set_max_headers_size(handle, static_cast<ev_ssize_t>(maxHeadBytes));
    evhttp_set_max_body_size(handle, static_cast<ev_ssize_t>(maxBodyBytes));
    evhttp_set_timeout(handle, callerIdleTimeoutSeconds);
    evhttp_set_allowed_methods(handle, allowedMethods);
    evhttp_set_default_content_type(handle, nullptr);
    evhttp_set_bevcb(handle, &Listener::createConnection, this);
    const auto serve = [](evhttp_request *request, void *arg) {
        static_cast<Listener *>(arg)->onRequest_(request);
    };
    evhttp_set_gencb(handle, serve, this);
}

Result<void> Listener::listen(const Address &address, bool isShared)
{
    const int fd = openListenSocket(address.toString().c_str(), isShared);
    if (fd >= 0)
        socket_ = evhttp_accept_socket_with_handle(handle_.get(), fd);
    if (!socket_) {
        return fail(ErrorKind::InvalidSetting, "cannot listen on " + address.toString(),
                    "choose a free address of this host");
    }
    evconnlistener_set_error_cb(evhttp_bound_socket_get_listener(socket_),
                                &Listener::onAcceptError);
    return {};
}

void Listener::stopListening()
{
    if (!socket_)
        return;
    // Closing the socket resets the connections in its backlog, so they are accepted first.
    pollfd entry{evhttp_bound_socket_get_fd(socket_), POLLIN, 0};
    if (++stopAttempts_ < maxStopAttempts && poll(&entry, 1, 0) > 0) {
        loop_.post([this] { stopListening(); });
        return;
    }
    evhttp_del_accept_socket(handle_.get(), std::exchange(socket_, nullptr));
}

void Listener::sweep()
{
    connections_.sweep();
    if (socket_)
        evconnlistener_enable(evhttp_bound_socket_get_listener(socket_));
}

void Listener::onAcceptError(evconnlistener *listener, void *)
{
    // Without a pause the event loop would spin until a file descriptor is free.
    evconnlistener_disable(listener);
}

bufferevent *Listener::createConnection(event_base *, void *arg)
{
    auto *listener = static_cast<Listener *>(arg);
    bufferevent *connection = listener->connections_.create();
    evbuffer_add_cb(bufferevent_get_output(connection), &Listener::onOutput, listener);
    return connection;
}

void Listener::onOutput(evbuffer *output, const evbuffer_cb_info *info, void *arg)
{
    if (ResponseScope::isActive() || info->orig_size != 0 || info->n_added == 0)
        return;
    // evhttp has written the status line of its own response and writes the headers next, so
    // headers can be inserted here.
    std::array<char, tooLargeLine.size()> line{};
    evbuffer_copyout(output, line.data(), line.size());
    const std::string_view statusLine(line.data(), line.size());
    if (statusLine == continueLine)
        return;
    const RefusalReason reason = reasonOf(statusLine);
    static_cast<Listener *>(arg)->counters_.refusal(reason, RunStatus::NotRun).add();
    evbuffer_add_printf(output, "%s: %s\r\n%s: %s\r\n", runHeader,
                        runStatusName(RunStatus::NotRun).data(), reasonHeader,
                        refusalInfo(reason).name.data());
}

} // namespace cornelhead::detail
