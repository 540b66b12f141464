// Implements received requests.
#include "cornelhead/sidecar/received-request.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <http_parser.h>

namespace cornelhead::detail {

ReceivedRequest::ReceivedRequest() : body(evbuffer_new())
{
    TAILQ_INIT(&headers);
}

ReceivedRequest::~ReceivedRequest()
{
    evhttp_clear_headers(&headers);
}

std::string_view ReceivedRequest::path() const
{
    const std::string_view target = uri;
    if (target.starts_with('/'))
        return target.substr(0, target.find_first_of("?#"));
    http_parser_url parts;
    http_parser_url_init(&parts);
    const bool isValid = http_parser_parse_url(uri.data(), uri.size(), 0, &parts) == 0;
    if (!isValid || (parts.field_set & (1U << UF_PATH)) == 0)
        return {};
    return target.substr(parts.field_data[UF_PATH].off, parts.field_data[UF_PATH].len);
}

bool ReceivedRequest::isTargetValid() const
{
    // Two slashes begin an authority there.
    if (uri.starts_with('/') && !uri.starts_with("//"))
        return true;
    evhttp_uri *parsed = evhttp_uri_parse_with_flags(uri.c_str(), EVHTTP_URI_NONCONFORMANT);
    if (parsed)
        evhttp_uri_free(parsed);
    return parsed != nullptr;
}

} // namespace cornelhead::detail
