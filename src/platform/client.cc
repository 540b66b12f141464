// Calls the platform over HTTP and turns every outcome into a typed result.
#include "cornelhead/platform/client.h"

#include <utility>

#include "cornelhead/platform/wire.h"

namespace cornelhead {
namespace detail {

using nlohmann::json;

/// Added to the time of a watch, so that the server's empty answer arrives in time.
constexpr Milliseconds watchGrace(2000);

HttpRequest readRequestTo(const std::string &pathAndQuery)
{
    return HttpRequest{HttpMethod::Get, pathAndQuery, {}, {}, {}};
}

HttpRequest writeRequestTo(const std::string &path, const json &body)
{
    return HttpRequest{HttpMethod::Post,
                       path,
                       {},
                       {{"Content-Type", "application/json"}},
                       body.dump(-1, ' ', false, json::error_handler_t::strict)};
}

Error unreadableAnswer()
{
    return Error{ErrorKind::Unknown, "the platform's answer cannot be read",
                 "read the state before sending again"};
}

/// Applies `read` to the JSON of a successful answer.
template <typename T, typename Read>
Result<T> readAnswer(const Result<HttpResponse> &answer, Read read)
{
    if (!answer)
        return tl::unexpected(answer.error());
    try {
        return read(json::parse(answer->body));
    } catch (const json::exception &) {
        return tl::unexpected(unreadableAnswer());
    }
}

Result<void> readDone(const Result<HttpResponse> &answer)
{
    if (!answer)
        return tl::unexpected(answer.error());
    return {};
}

std::optional<KeyValue> readFound(const json &json)
{
    if (!json.at("found").get<bool>())
        return std::nullopt;
    return readKeyValue(json);
}

Error notText(const std::string &key)
{
    return Error{ErrorKind::InvalidMessage, "the value of " + key + " is not UTF-8 text",
                 "encode the value as text"};
}

bool isSuccess(const HttpResponse &response)
{
    return response.status >= 200 && response.status < 300;
}

} // namespace detail

struct PlatformClient::Call
{
    std::string operation;
    bool isWrite = false;
    HttpRequest request;
    Milliseconds timeout{};
    ReadAnswer callback;
};

PlatformClient::PlatformClient(EventLoop &loop, std::vector<Address> addresses,
                               Milliseconds timeout, Metrics &metrics)
    : loop_(&loop), http_(loop), addresses_(std::move(addresses)), timeout_(timeout),
      metrics_(&metrics)
{ }

void PlatformClient::start(const std::shared_ptr<Call> &call)
{
    if (!dataCentre_.empty())
        call->request.headers[detail::dataCentreHeader] = dataCentre_.value();
    send(call, addresses_.size());
}

void PlatformClient::send(const std::shared_ptr<Call> &call, std::size_t attempts)
{
    const Address to = addresses_[current_ % addresses_.size()];
    http_.send(to, call->request, call->timeout,
               [this, call, attempts](Result<HttpResponse> answer) {
                   if (!answer)
                       ++current_;
                   if (!answer && answer.error().kind == ErrorKind::Unavailable && attempts > 1)
                       send(call, attempts - 1);
                   else
                       finish(*call, std::move(answer));
               });
}

void PlatformClient::finish(const Call &call, Result<HttpResponse> answer)
{
    if (answer && !detail::isSuccess(*answer))
        answer = tl::unexpected(detail::readError(*answer));
    // A read has no effect, so it may be repeated whatever happened to it.
    if (!answer && answer.error().kind == ErrorKind::Unknown && !call.isWrite)
        answer.error().kind = ErrorKind::Unavailable;
    const std::string result(answer ? "ok" : errorKindName(answer.error().kind));
    metrics_->counter("cornelhead_platform_calls_total",
                      {{"operation", call.operation}, {"result", result}})
            .add();
    call.callback(std::move(answer));
}

void PlatformClient::get(const std::string &key, Callback<std::optional<KeyValue>> callback)
{
    start(std::make_shared<Call>(Call{
            "get", false, detail::readRequestTo("/v1/get?key=" + escapeUri(key)), timeout_,
            [callback = std::move(callback)](const Result<HttpResponse> &answer) {
                callback(detail::readAnswer<std::optional<KeyValue>>(answer, detail::readFound));
            }}));
}

void PlatformClient::list(const std::string &prefix, Callback<Listing> callback)
{
    start(std::make_shared<Call>(
            Call{"list", false, detail::readRequestTo("/v1/list?prefix=" + escapeUri(prefix)),
                 timeout_, [callback = std::move(callback)](const Result<HttpResponse> &answer) {
                     callback(detail::readAnswer<Listing>(answer, detail::readListing));
                 }}));
}

void PlatformClient::put(const std::string &key, const std::string &value, Expected expected,
                         const std::optional<LeaseId> &lease, Callback<ModRevision> callback)
{
    nlohmann::json body
            = {{"key", key}, {"value", value}, {"expected", expected.modRevision.value()}};
    if (lease)
        body["lease"] = lease->value();
    HttpRequest request;
    try {
        request = detail::writeRequestTo("/v1/put", body);
    } catch (const nlohmann::json::type_error &) {
        loop_->post([callback = std::move(callback), key] {
            callback(tl::unexpected(detail::notText(key)));
        });
        return;
    }
    const auto readRevision = [](const nlohmann::json &json) {
        return ModRevision(json.at("modRevision").get<std::uint64_t>());
    };
    start(std::make_shared<Call>(Call{
            "put", true, std::move(request), timeout_,
            [callback = std::move(callback), readRevision](const Result<HttpResponse> &answer) {
                callback(detail::readAnswer<ModRevision>(answer, readRevision));
            }}));
}

void PlatformClient::remove(const std::string &key, Expected expected, Callback<void> callback)
{
    const nlohmann::json body = {{"key", key}, {"expected", expected.modRevision.value()}};
    start(std::make_shared<Call>(
            Call{"remove", true, detail::writeRequestTo("/v1/remove", body), timeout_,
                 [callback = std::move(callback)](const Result<HttpResponse> &answer) {
                     callback(detail::readDone(answer));
                 }}));
}

void PlatformClient::watch(const std::string &prefix, ModRevision after, Milliseconds wait,
                           Callback<WatchAnswer> callback)
{
    const std::string path = "/v1/watch?prefix=" + escapeUri(prefix)
            + "&after=" + std::to_string(after.value()) + "&wait=" + std::to_string(wait.count());
    const auto listWhole = [this, prefix](const Callback<WatchAnswer> &done) {
        list(prefix, [done](Result<Listing> listing) {
            if (!listing)
                done(tl::unexpected(listing.error()));
            else
                done(WatchAnswer{std::move(listing->entries), {}, listing->storeRevision, true});
        });
    };
    start(std::make_shared<Call>(
            Call{"watch", false, detail::readRequestTo(path), wait + detail::watchGrace + timeout_,
                 [callback = std::move(callback), listWhole](const Result<HttpResponse> &answer) {
                     if (!answer && answer.error().kind == ErrorKind::Stale)
                         listWhole(callback);
                     else
                         callback(detail::readAnswer<WatchAnswer>(answer, detail::readWatchAnswer));
                 }}));
}

void PlatformClient::grantLease(Milliseconds ttl, Callback<LeaseId> callback)
{
    const auto readLease = [](const nlohmann::json &json) {
        return LeaseId(json.at("lease").get<std::string>());
    };
    start(std::make_shared<Call>(
            Call{"grant", true, detail::writeRequestTo("/v1/lease/grant", {{"ttlMs", ttl.count()}}),
                 timeout_,
                 [callback = std::move(callback), readLease](const Result<HttpResponse> &answer) {
                     callback(detail::readAnswer<LeaseId>(answer, readLease));
                 }}));
}

void PlatformClient::keepAlive(const LeaseId &lease, Callback<void> callback)
{
    start(std::make_shared<Call>(
            Call{"keep-alive", true,
                 detail::writeRequestTo("/v1/lease/keep-alive", {{"lease", lease.value()}}),
                 timeout_, [callback = std::move(callback)](const Result<HttpResponse> &answer) {
                     callback(detail::readDone(answer));
                 }}));
}

void PlatformClient::revoke(const LeaseId &lease, Callback<void> callback)
{
    start(std::make_shared<Call>(Call{
            "revoke", true, detail::writeRequestTo("/v1/lease/revoke", {{"lease", lease.value()}}),
            timeout_, [callback = std::move(callback)](const Result<HttpResponse> &answer) {
                callback(detail::readDone(answer));
            }}));
}

} // namespace cornelhead
