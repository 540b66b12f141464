// A request of a local caller, as it was received.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <sys/queue.h>

#include <event2/keyvalq_struct.h>

#include "cornelhead/proxy/evhttp-handles.h"
#include "cornelhead/proxy/request-view.h"

namespace cornelhead::detail {

struct ReceivedRequest
{
    ReceivedRequest();
    ~ReceivedRequest();
    ReceivedRequest(const ReceivedRequest &) = delete;
    ReceivedRequest &operator=(const ReceivedRequest &) = delete;

    RequestView view() const { return {method, uri.c_str(), &headers, body.get()}; }
    /// The path of the target, without the query; empty if the target has none.
    std::string_view path() const;
    /// Returns whether the next node, which reads requests by evhttp, can parse the target.
    bool isTargetValid() const;

    evhttp_cmd_type method = EVHTTP_REQ_GET;
    /// The target as the caller sent it.
    std::string uri;
    evkeyvalq headers{};
    // Never null.
    BufferHandle body;
    /// What the head takes in memory.
    std::size_t headBytes = 0;
    /// The request has a response of HTTP/1.0.
    bool isOldVersion = false;
    /// The caller goes on with the connection after the response.
    bool keepsConnection = true;
};

} // namespace cornelhead::detail
