// One request of a local caller, which gets exactly one response.
#pragma once

#include <functional>
#include <string>

#include "cornelhead/sidecar/caller-connection.h"
#include "cornelhead/sidecar/exchange.h"

namespace cornelhead::detail {

/// Responds to one request.  Destroying the exchange before the response closes the connection.
class CallerExchange
{
public:
    explicit CallerExchange(IncomingRequest incoming);
    ~CallerExchange();
    CallerExchange(const CallerExchange &) = delete;
    CallerExchange &operator=(const CallerExchange &) = delete;

    /// The request, which lives as long as the exchange.
    const ReceivedRequest &request() const { return *request_->received; }
    /// Runs `onDisconnect` once if the connection ends before the response.
    void watchConnection(std::function<void()> onDisconnect);
    /// Ends the connection after the response.
    void closeAfterResponse() { request_->closesConnection = true; }
    /// Adds a header to the response, of whatever kind it is.
    void addHeader(const char *name, const std::string &value);
    /// Leaves a header out of a forwarded response.
    void omitHeader(const char *name) { omittedHeaders_.push_back(name); }

    /// Closes the caller's connection without a response.
    void abandon();
    void send(const LocalResponse &response);
    /// Forwards a complete response and moves its body.
    void forward(evhttp_request *response);

private:
    void respond(RenderedResponse response);

    // Null after the response.
    std::shared_ptr<CallerConnection> connection_;
    std::shared_ptr<PendingRequest> request_;
    HeaderLines addedHeaders_;
    std::vector<const char *> omittedHeaders_;
};

} // namespace cornelhead::detail
