// Handles the node's admin requests.
#include "cornelhead/node/admin-server.h"

#include <nlohmann/json.hpp>

#include "cornelhead/node/local-servers.h"

namespace cornelhead {
namespace detail {

constexpr std::size_t maxAdminBodyBytes = 64 * 1024;

HttpServerLimits adminLimits()
{
    HttpServerLimits limits;
    limits.bodyBytes = maxAdminBodyBytes;
    return limits;
}

} // namespace detail

AdminServer::AdminServer(EventLoop &loop, Metrics &metrics, AdminHandlers handlers)
    : server_(loop, detail::adminLimits()), metrics_(&metrics), handlers_(std::move(handlers)),
      badRequests_(metrics.counter("cornelhead_admin_bad_requests_total"))
{
    server_.setHandler([this](const HttpRequest &request, const Responder &responder) {
        responder.send(handleRequest(request));
    });
}

Result<void> AdminServer::listen(const Address &address)
{
    return server_.listen(address);
}

HttpResponse AdminServer::handleRequest(const HttpRequest &request)
{
    if (request.method == HttpMethod::Get && request.path == "/metrics")
        return HttpResponse{
                200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_->render()};
    if (request.method == HttpMethod::Get && request.path == "/status")
        return jsonResponse(200, handlers_.status());
    if (request.method == HttpMethod::Post && request.path == "/v1/announce")
        return handleAnnounce(request.body);
    if (request.method == HttpMethod::Post && request.path == "/v1/withdraw")
        return handleWithdraw(request.body);
    return errorResponse(
            404,
            Error{ErrorKind::NotFound, "no such endpoint: " + request.path,
                  "use GET /metrics, GET /status, POST /v1/announce or POST /v1/withdraw"});
}

HttpResponse AdminServer::handleAnnounce(const std::string &body)
{
    const Result<Endpoint> endpoint = readAnnouncement(body);
    if (!endpoint)
        return errorResponse(400, endpoint.error());
    handlers_.onAnnounce(*endpoint);
    return jsonResponse(200, "{}");
}

HttpResponse AdminServer::handleWithdraw(const std::string &body)
{
    const Result<ServerId> server = readWithdrawal(body);
    if (!server)
        return errorResponse(400, server.error());
    handlers_.onWithdraw(*server);
    return jsonResponse(200, "{}");
}

HttpResponse AdminServer::errorResponse(int status, const Error &error)
{
    badRequests_.add();
    const nlohmann::json json = {{"error",
                                  {{"kind", errorKindName(error.kind)},
                                   {"message", error.message},
                                   {"remedy", error.remedy}}}};
    return jsonResponse(status,
                        json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace cornelhead
