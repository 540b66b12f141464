// What is forwarded of a received request, whoever has read it.
#pragma once

#include <event2/http.h>

struct evbuffer;
struct evkeyvalq;

namespace cornelhead::detail {

/// Refers to the parts of a request, which must live longer.
struct RequestView
{
    RequestView(evhttp_cmd_type command, const char *target, const evkeyvalq *fields,
                evbuffer *content)
        : method(command), uri(target), headers(fields), body(content)
    { }
    /// A request that evhttp has read, or a response that it has received.
    RequestView(evhttp_request *request) // NOLINT(google-explicit-constructor)
        : RequestView(evhttp_request_get_command(request), evhttp_request_get_uri(request),
                      evhttp_request_get_input_headers(request),
                      evhttp_request_get_input_buffer(request))
    { }

    evhttp_cmd_type method;
    const char *uri;
    const evkeyvalq *headers;
    evbuffer *body;
};

} // namespace cornelhead::detail
