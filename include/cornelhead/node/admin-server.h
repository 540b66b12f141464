// The node's admin HTTP server: metrics, status and announcements of local backend servers.
#pragma once

#include <functional>
#include <string>

#include "cornelhead/base/metrics.h"
#include "cornelhead/membership/endpoint.h"
#include "cornelhead/net/http.h"

namespace cornelhead {

struct AdminHandlers
{
    std::function<void(const Endpoint &)> onAnnounce;
    std::function<void(const ServerId &)> onWithdraw;
    /// Returns the JSON body of `/status`.
    std::function<std::string()> status;
};

/// Serves `/metrics`, `/status`, `/v1/announce` and `/v1/withdraw`.
class AdminServer
{
public:
    AdminServer(EventLoop &loop, Metrics &metrics, AdminHandlers handlers);

    Result<void> listen(const Address &address);

private:
    HttpResponse handleRequest(const HttpRequest &request);
    HttpResponse handleAnnounce(const std::string &body);
    HttpResponse handleWithdraw(const std::string &body);
    HttpResponse errorResponse(int status, const Error &error);

    HttpServer server_;
    Metrics *metrics_;
    AdminHandlers handlers_;
    Counter &badRequests_;
};

} // namespace cornelhead
