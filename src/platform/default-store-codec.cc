// Implements the default wire format of the key-value service.
#include "cornelhead/platform/default-store-codec.h"

#include "cornelhead/platform/wire.h"

namespace cornelhead {
namespace detail {

using nlohmann::json;

HttpRequest getRequest(const std::string &pathAndQuery)
{
    return HttpRequest{HttpMethod::Get, pathAndQuery, {}, {}, {}};
}

HttpRequest postRequest(const std::string &path, const json &body)
{
    return HttpRequest{HttpMethod::Post,
                       path,
                       {},
                       {{"Content-Type", "application/json"}},
                       body.dump(-1, ' ', false, json::error_handler_t::strict)};
}

Error malformedResponse()
{
    return Error{ErrorKind::Unknown, "the platform's response is malformed",
                 "check whether the request took effect before you retry"};
}

bool isSuccess(const HttpResponse &response)
{
    return response.status >= 200 && response.status < 300;
}

/// Decodes the JSON body of a successful response with `read`.
template <typename T, typename Read>
Result<T> readResponse(const HttpResponse &response, Read read)
{
    if (!isSuccess(response))
        return tl::unexpected(readError(response));
    try {
        return read(json::parse(response.body));
    } catch (const json::exception &) {
        return tl::unexpected(malformedResponse());
    }
}

std::optional<KeyValue> readOptionalKeyValue(const json &json)
{
    if (!json.at("found").get<bool>())
        return std::nullopt;
    return readKeyValue(json);
}

} // namespace detail

std::optional<StoreEra> DefaultStoreCodec::readEra(const HttpResponse &response) const
{
    return detail::readEraHeader(response, detail::storeEraHeader);
}

HttpRequest DefaultStoreCodec::get(const std::string &key) const
{
    return detail::getRequest("/v1/get?key=" + escapeUri(key));
}

// This service has no pagination: one response has all keys.
// All listings of this store are current.
HttpRequest DefaultStoreCodec::list(const std::string &prefix, const std::string &, Freshness) const
{
    return detail::getRequest("/v1/list?prefix=" + escapeUri(prefix));
}

HttpRequest DefaultStoreCodec::watch(const std::string &prefix, ModRevision after,
                                     Milliseconds wait) const
{
    return detail::getRequest("/v1/watch?prefix=" + escapeUri(prefix)
                              + "&after=" + std::to_string(after.value())
                              + "&wait=" + std::to_string(wait.count()));
}

Result<HttpRequest> DefaultStoreCodec::put(const std::string &key, const std::string &value,
                                           const std::optional<ExpectedRevision> &expected,
                                           const std::optional<LeaseId> &lease) const
{
    nlohmann::json body = {{"key", key}, {"value", value}};
    if (expected)
        body["expected"] = expected->modRevision.value();
    if (lease)
        body["lease"] = lease->value();
    try {
        return detail::postRequest("/v1/put", body);
    } catch (const nlohmann::json::type_error &) {
        return fail(ErrorKind::InvalidMessage, "the value of " + key + " is not UTF-8 text",
                    "encode the value as text");
    }
}

HttpRequest DefaultStoreCodec::remove(const std::string &key, ExpectedRevision expected) const
{
    return detail::postRequest("/v1/remove",
                               {{"key", key}, {"expected", expected.modRevision.value()}});
}

HttpRequest DefaultStoreCodec::grantLease(Milliseconds ttl) const
{
    return detail::postRequest("/v1/lease/grant", {{"ttlMs", ttl.count()}});
}

HttpRequest DefaultStoreCodec::keepAlive(const LeaseId &lease) const
{
    return detail::postRequest("/v1/lease/keep-alive", {{"lease", lease.value()}});
}

HttpRequest DefaultStoreCodec::revoke(const LeaseId &lease) const
{
    return detail::postRequest("/v1/lease/revoke", {{"lease", lease.value()}});
}

Result<std::optional<KeyValue>> DefaultStoreCodec::readGet(const HttpResponse &response) const
{
    return detail::readResponse<std::optional<KeyValue>>(response, detail::readOptionalKeyValue);
}

Result<ListingPage> DefaultStoreCodec::readList(const HttpResponse &response) const
{
    return detail::readResponse<ListingPage>(response, [](const nlohmann::json &json) {
        return ListingPage{detail::readListing(json), false};
    });
}

Result<WatchResponse> DefaultStoreCodec::readWatch(const HttpResponse &response) const
{
    return detail::readResponse<WatchResponse>(response, detail::readWatchResponse);
}

Result<ModRevision> DefaultStoreCodec::readPut(const HttpResponse &response) const
{
    return detail::readResponse<ModRevision>(response, [](const nlohmann::json &json) {
        return ModRevision(json.at("modRevision").get<std::uint64_t>());
    });
}

Result<LeaseId> DefaultStoreCodec::readLease(const HttpResponse &response) const
{
    return detail::readResponse<LeaseId>(response, [](const nlohmann::json &json) {
        return LeaseId(json.at("lease").get<std::string>());
    });
}

Result<void> DefaultStoreCodec::readResult(const HttpResponse &response) const
{
    if (!detail::isSuccess(response))
        return tl::unexpected(detail::readError(response));
    return {};
}

} // namespace cornelhead
