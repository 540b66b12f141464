// Renders responses to local callers.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include <event2/http.h>

#include "cornelhead/proxy/evhttp-handles.h"
#include "cornelhead/sidecar/exchange.h"

namespace cornelhead::detail {

/// The head and the body of a response.  The head lacks the fields that only the connection knows,
/// and the empty line behind it.
struct RenderedResponse
{
    std::string head;
    /// Null for a response without a body.
    BufferHandle body;
};

/// What a response depends on in its request.
struct ResponseForm
{
    evhttp_cmd_type method = EVHTTP_REQ_GET;
    /// HTTP/1.0.
    bool isOldVersion = false;
};

using HeaderLines = std::vector<std::pair<std::string, std::string>>;

/// Renders a response of the node itself.
RenderedResponse renderResponse(const LocalResponse &response, const HeaderLines &added,
                                ResponseForm form);

/// Renders a response that another node has sent, and moves its body.
RenderedResponse renderForwardedResponse(evhttp_request *response, const HeaderLines &added,
                                         ResponseForm form);

} // namespace cornelhead::detail
