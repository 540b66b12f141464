// Implements the rendering of responses.
#include "cornelhead/sidecar/rendered-response.h"

#include <array>
#include <ctime>

#include <event2/buffer.h>
#include <event2/http.h>
#include <http_parser.h>

#include "cornelhead/proxy/request-head.h"

namespace cornelhead::detail {

namespace {

constexpr int noContent = 204;
constexpr int notModified = 304;
// Enough for the head of most responses.
constexpr std::size_t usualHeadBytes = 512;

std::string beginHead(int status, const char *phrase, ResponseForm form)
{
    std::string head;
    head.reserve(usualHeadBytes);
    head.append(form.isOldVersion ? "HTTP/1.0 " : "HTTP/1.1 ").append(std::to_string(status));
    return head.append(" ").append(phrase ? phrase : "").append("\r\n");
}

void addField(std::string &head, std::string_view name, std::string_view value)
{
    head.append(name).append(": ").append(value).append("\r\n");
}

void addFields(std::string &head, const HeaderLines &fields)
{
    for (const auto &[name, value] : fields)
        addField(head, name, value);
}

void addDate(std::string &head)
{
    const std::time_t seconds = std::time(nullptr);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    const std::size_t size
            = std::strftime(text.data(), text.size(), "%a, %d %b %Y %H:%M:%S GMT", &parts);
    addField(head, "Date", {text.data(), size});
}

} // namespace

RenderedResponse renderResponse(const LocalResponse &response, const HeaderLines &added,
                                ResponseForm form)
{
    RenderedResponse rendered;
    rendered.head = beginHead(response.status,
                              http_status_str(static_cast<http_status>(response.status)), form);
    addFields(rendered.head, added);
    addFields(rendered.head, response.headers);
    addDate(rendered.head);
    addField(rendered.head, "Content-Length", std::to_string(response.body.size()));
    if (form.method != EVHTTP_REQ_HEAD && !response.body.empty()) {
        rendered.body.reset(evbuffer_new());
        evbuffer_add(rendered.body.get(), response.body.data(), response.body.size());
    }
    return rendered;
}

RenderedResponse renderForwardedResponse(evhttp_request *response, const HeaderLines &added,
                                         ResponseForm form)
{
    const int status = evhttp_request_get_response_code(response);
    const evkeyvalq *received = evhttp_request_get_input_headers(response);
    evbuffer *body = evhttp_request_get_input_buffer(response);
    const std::size_t size = evbuffer_get_length(body);
    RenderedResponse rendered;
    rendered.head = beginHead(status, evhttp_request_get_response_code_line(response), form);
    addFields(rendered.head, added);
    appendEndToEndHeaders(received, rendered.head);
    if (!evhttp_find_header(received, "Date"))
        addDate(rendered.head);
    // The response to HEAD states the length of a body that is not in the buffer.
    const char *length = evhttp_find_header(received, "Content-Length");
    const bool hasBody
            = form.method != EVHTTP_REQ_HEAD && status != noContent && status != notModified;
    if (length && size == 0)
        addField(rendered.head, "Content-Length", length);
    else if (hasBody)
        addField(rendered.head, "Content-Length", std::to_string(size));
    if (hasBody && size > 0) {
        rendered.body.reset(evbuffer_new());
        evbuffer_add_buffer(rendered.body.get(), body);
    }
    return rendered;
}

} // namespace cornelhead::detail
