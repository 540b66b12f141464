// Implements the writing of responses.
#include "cornelhead/proxy/response.h"

#include <sys/queue.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <nlohmann/json.hpp>

#include "cornelhead/proxy/evhttp-handles.h"
#include "cornelhead/proxy/request-head.h"

namespace cornelhead::detail {

namespace {

std::string renderRefusal(const Refusal &refusal)
{
    const RefusalInfo &info = refusalInfo(refusal.reason);
    const nlohmann::json body = {{"error",
                                  {{"reason", info.name},
                                   {"run", runStatusName(refusal.run)},
                                   {"message", info.message},
                                   {"remedy", info.remedy}}}};
    return body.dump();
}

} // namespace

RefusalBodies::RefusalBodies()
{
    for (std::size_t i = 0; i < refusalReasonCount; ++i) {
        for (const RunStatus run : {RunStatus::NotRun, RunStatus::Unknown}) {
            const Refusal refusal{static_cast<RefusalReason>(i), run};
            bodies_[i][static_cast<std::size_t>(run)] = renderRefusal(refusal);
        }
    }
}

const std::string &RefusalBodies::body(const Refusal &refusal) const
{
    return bodies_[static_cast<std::size_t>(refusal.reason)][static_cast<std::size_t>(refusal.run)];
}

namespace {

void addConnectionClose(evkeyvalq *headers, AfterResponse after)
{
    if (after == AfterResponse::Close)
        evhttp_add_header(headers, "Connection", "close");
}

} // namespace

void sendRefusal(evhttp_request *caller, const Refusal &refusal, const RefusalBodies &bodies,
                 AfterResponse after)
{
    const RefusalInfo &info = refusalInfo(refusal.reason);
    evkeyvalq *headers = evhttp_request_get_output_headers(caller);
    evhttp_add_header(headers, "Content-Type", "application/json");
    evhttp_add_header(headers, runHeader, runStatusName(refusal.run).data());
    evhttp_add_header(headers, reasonHeader, info.name.data());
    addConnectionClose(headers, after);
    const std::string &text = bodies.body(refusal);
    const BufferHandle body(evbuffer_new());
    // The bodies live as long as the proxy, so no copy is needed.
    evbuffer_add_reference(body.get(), text.data(), text.size(), nullptr, nullptr);
    evhttp_send_reply(caller, info.status, nullptr, body.get());
}

namespace {

void copyResponseHead(evhttp_request *caller, evhttp_request *response, AfterResponse after)
{
    evkeyvalq *headers = evhttp_request_get_output_headers(caller);
    const evkeyvalq *received = evhttp_request_get_input_headers(response);
    copyEndToEndHeaders(received, headers);
    addConnectionClose(headers, after);
    // The response to HEAD and a streamed response state the length of a body that is not in the
    // buffer.
    const char *length = evhttp_find_header(received, "Content-Length");
    if (length && evbuffer_get_length(evhttp_request_get_input_buffer(response)) == 0)
        evhttp_add_header(headers, "Content-Length", length);
}

} // namespace

void sendResponse(evhttp_request *caller, evhttp_request *response, AfterResponse after)
{
    copyResponseHead(caller, response, after);
    evhttp_send_reply(caller, evhttp_request_get_response_code(response),
                      evhttp_request_get_response_code_line(response),
                      evhttp_request_get_input_buffer(response));
}

void sendStoredResponse(evhttp_request *caller, const StoredResponse &response, AfterResponse after)
{
    evkeyvalq *headers = evhttp_request_get_output_headers(caller);
    for (const HeaderField &field : response.headers)
        evhttp_add_header(headers, field.name.c_str(), field.value.c_str());
    addConnectionClose(headers, after);
    const BufferHandle body(evbuffer_new());
    evbuffer_add(body.get(), response.body.data(), response.body.size());
    evhttp_send_reply(caller, response.status, response.phrase.c_str(), body.get());
}

StoredResponse copyResponse(evhttp_request *response)
{
    StoredResponse copy;
    copy.status = evhttp_request_get_response_code(response);
    const char *phrase = evhttp_request_get_response_code_line(response);
    copy.phrase = phrase ? phrase : "";
    evkeyvalq endToEnd{};
    TAILQ_INIT(&endToEnd);
    copyEndToEndHeaders(evhttp_request_get_input_headers(response), &endToEnd);
    for (const evkeyval *entry = endToEnd.tqh_first; entry; entry = entry->next.tqe_next)
        copy.headers.push_back(HeaderField{entry->key, entry->value});
    evhttp_clear_headers(&endToEnd);
    evbuffer *body = evhttp_request_get_input_buffer(response);
    copy.body.resize(evbuffer_get_length(body));
    evbuffer_copyout(body, copy.body.data(), copy.body.size());
    return copy;
}

void startResponse(evhttp_request *caller, evhttp_request *response, AfterResponse after)
{
    copyResponseHead(caller, response, after);
    evhttp_send_reply_start(caller, evhttp_request_get_response_code(response),
                            evhttp_request_get_response_code_line(response));
}

void abortResponse(evhttp_request *caller)
{
    evhttp_connection *connection = evhttp_request_get_connection(caller);
    if (connection) {
        // Closed before the last chunk is written, so that the caller sees an incomplete response.
        shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)), SHUT_RDWR);
    }
    evhttp_send_reply_end(caller);
}

} // namespace cornelhead::detail
