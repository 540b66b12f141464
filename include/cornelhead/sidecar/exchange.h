// One request on a listening socket of the node, which gets exactly one answer.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "cornelhead/base/clock.h"
#include "cornelhead/net/event-loop.h"
#include "cornelhead/proxy/attempt.h"
#include "cornelhead/routing/key-memory.h"

struct evhttp_request;

namespace cornelhead::detail {

/// An answer that the node makes itself.
struct LocalResponse
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// Answers one request.  Dropping it unanswered closes the caller's connection.
class Exchange
{
public:
    Exchange(EventLoop &loop, evhttp_request *request);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    /// The request, or null once it is answered.
    evhttp_request *request() const { return request_; }
    /// Runs `onGone` once if the caller closes its connection before the answer.
    void watch(std::function<void()> onGone);
    /// Asks the caller to close its connection after the answer.
    void closeAfterResponse() { closesAfterResponse_ = true; }
    /// Adds a header to whatever answer comes.
    void addHeader(const char *name, const std::string &value);
    /// Leaves a header out of the answer that is passed on.
    void omitHeader(const char *name) { omittedHeaders_.push_back(name); }

    /// Closes the caller's connection without an answer.
    void abandon();
    void send(const LocalResponse &answer);
    /// Passes on a whole answer and moves its body.
    void pass(evhttp_request *answer);
    void pass(const RememberedAnswer &answer);

private:
    evhttp_request *take();

    EventLoop &loop_;
    evhttp_request *request_;
    std::function<void()> onDisconnect_;
    std::unique_ptr<event, EventDeleter> closeEvent_;
    std::vector<std::pair<std::string, std::string>> addedHeaders_;
    std::vector<const char *> omittedHeaders_;
    bool closesAfterResponse_ = false;
};

} // namespace cornelhead::detail
