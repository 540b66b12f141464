// What all clients do while evhttp reads a response.
#pragma once

#include <optional>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include "cornelhead/net/receive-limit.h"

namespace cornelhead::detail {

/// Limits what is read ahead before the final head: evhttp handles one interim response in each
/// turn of the event loop, in which more may arrive.
inline void limitUnreadHeads(bufferevent *events)
{
    bufferevent_setwatermark(events, EV_READ, 0, ReceiveLimit::maxUnreadHeadBytes);
}

/// Returns whether the head is that of an interim response, and drops its headers then: evhttp goes
/// on to the final response, and would add its headers to these.
inline bool dropInterimHead(evhttp_request *response)
{
    constexpr int continueStatus = 100;
    if (evhttp_request_get_response_code(response) != continueStatus)
        return false;
    evhttp_clear_headers(evhttp_request_get_input_headers(response));
    return true;
}

/// Begins to count the body of the final response, which may be read ahead from now on.
inline void startBody(ReceiveLimit &limit, evhttp_request *response, bufferevent *events,
                      std::size_t maxBodyBytes)
{
    const evkeyvalq *headers = evhttp_request_get_input_headers(response);
    limit.startBody(evhttp_find_header(headers, "Transfer-Encoding") != nullptr, maxBodyBytes);
    bufferevent_setwatermark(events, EV_READ, 0, 0);
}

/// Returns whether the body comes in parts, of which evhttp keeps each in an allocation of its own.
inline bool hasBodyOfUnknownLength(evhttp_request *response)
{
    return !evhttp_find_header(evhttp_request_get_input_headers(response), "Content-Length");
}

/// Counts a change of the connection's input buffer.  Returns what there is too much of.
inline std::optional<ReceiveFault> countInput(ReceiveLimit &limit, const evbuffer *input,
                                              const evbuffer_cb_info &change)
{
    limit.addConsumed(change.n_deleted);
    // While evhttp consumes bytes, it may not have handed over the body among them yet.
    return change.n_added > 0 ? limit.fault(evbuffer_get_length(input)) : std::nullopt;
}

} // namespace cornelhead::detail
