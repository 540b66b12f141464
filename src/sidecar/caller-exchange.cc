// Implements the exchanges of local callers.
#include "cornelhead/sidecar/caller-exchange.h"

#include "cornelhead/proxy/message-head.h"

namespace cornelhead::detail {

CallerExchange::CallerExchange(IncomingRequest incoming)
    : connection_(std::move(incoming.connection)), request_(std::move(incoming.request))
{ }

CallerExchange::~CallerExchange()
{
    abandon();
}

void CallerExchange::watchConnection(std::function<void()> onDisconnect)
{
    request_->onDisconnect = std::move(onDisconnect);
}

void CallerExchange::addHeader(const char *name, const std::string &value)
{
    addedHeaders_.emplace_back(name, value);
}

void CallerExchange::abandon()
{
    const auto connection = std::exchange(connection_, nullptr);
    request_->onDisconnect = nullptr;
    if (connection && !request_->isDetached)
        connection->close();
}

void CallerExchange::send(const LocalResponse &response)
{
    respond(renderResponse(response, addedHeaders_, {request().method, request().isOldVersion}));
}

void CallerExchange::forward(evhttp_request *response)
{
    evkeyvalq *headers = evhttp_request_get_input_headers(response);
    for (const char *name : omittedHeaders_)
        removeHeader(headers, name);
    respond(renderForwardedResponse(response, addedHeaders_,
                                    {request().method, request().isOldVersion}));
}

void CallerExchange::respond(RenderedResponse response)
{
    if (const auto connection = std::exchange(connection_, nullptr))
        connection->respond(*request_, std::move(response));
}

} // namespace cornelhead::detail
