// One request received on a listening socket, which gets exactly one response.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "cornelhead/base/clock.h"
#include "cornelhead/net/event-loop.h"
#include "cornelhead/proxy/attempt.h"
#include "cornelhead/routing/key-table.h"

struct evhttp_request;

namespace cornelhead::detail {

/// A response that the node makes itself.
struct LocalResponse
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// Responds to one request.  Destroying the exchange before the response closes the connection.
class Exchange
{
public:
    Exchange(EventLoop &loop, evhttp_request *request);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    /// The request, or null after the response.
    evhttp_request *request() const { return request_; }
    /// Runs `onDisconnect` once if the caller closes its connection before the response.
    void watchConnection(std::function<void()> onDisconnect);
    /// Asks the caller to close its connection after the response.
    void closeAfterResponse() { closesAfterResponse_ = true; }
    /// Adds a header to the response, of whatever kind it is.
    void addHeader(const char *name, const std::string &value);
    /// Leaves a header out of a forwarded response.
    void omitHeader(const char *name) { omittedHeaders_.push_back(name); }

    /// Closes the caller's connection without a response.
    void abandon();
    void send(const LocalResponse &response);
    /// Forwards a complete response and moves its body.
    void forward(evhttp_request *response);
    void forward(const StoredResponse &response);

private:
    /// Stops watching the connection and returns the request with the added response headers.
    evhttp_request *release();

    EventLoop &loop_;
    evhttp_request *request_;
    std::function<void()> onDisconnect_;
    std::unique_ptr<event, EventDeleter> closeEvent_;
    std::vector<std::pair<std::string, std::string>> addedHeaders_;
    std::vector<const char *> omittedHeaders_;
    bool closesAfterResponse_ = false;
};

} // namespace cornelhead::detail
