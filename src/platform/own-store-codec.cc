// Implements the project's own spelling of the key-value service.
#include "cornelhead/platform/own-store-codec.h"

#include "cornelhead/platform/wire.h"

namespace cornelhead {
namespace detail {

using nlohmann::json;

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

bool isSuccess(const HttpResponse &response)
{
    return response.status >= 200 && response.status < 300;
}

/// Applies `read` to the JSON of a successful answer.
template <typename T, typename Read>
Result<T> readAnswer(const HttpResponse &answer, Read read)
{
    if (!isSuccess(answer))
        return tl::unexpected(readError(answer));
    try {
        return read(json::parse(answer.body));
    } catch (const json::exception &) {
        return tl::unexpected(unreadableAnswer());
    }
}

std::optional<KeyValue> readFound(const json &json)
{
    if (!json.at("found").get<bool>())
        return std::nullopt;
    return readKeyValue(json);
}

} // namespace detail

HttpRequest OwnStoreCodec::get(const std::string &key) const
{
    return detail::readRequestTo("/v1/get?key=" + escapeUri(key));
}

// This service answers with all keys at once.
HttpRequest OwnStoreCodec::list(const std::string &prefix, const std::string &) const
{
    return detail::readRequestTo("/v1/list?prefix=" + escapeUri(prefix));
}

HttpRequest OwnStoreCodec::watch(const std::string &prefix, ModRevision after,
                                 Milliseconds wait) const
{
    return detail::readRequestTo("/v1/watch?prefix=" + escapeUri(prefix)
                                 + "&after=" + std::to_string(after.value())
                                 + "&wait=" + std::to_string(wait.count()));
}

Result<HttpRequest> OwnStoreCodec::put(const std::string &key, const std::string &value,
                                       const std::optional<Expected> &expected,
                                       const std::optional<LeaseId> &lease) const
{
    nlohmann::json body = {{"key", key}, {"value", value}};
    if (expected)
        body["expected"] = expected->modRevision.value();
    if (lease)
        body["lease"] = lease->value();
    try {
        return detail::writeRequestTo("/v1/put", body);
    } catch (const nlohmann::json::type_error &) {
        return fail(ErrorKind::InvalidMessage, "the value of " + key + " is not UTF-8 text",
                    "encode the value as text");
    }
}

HttpRequest OwnStoreCodec::remove(const std::string &key, Expected expected) const
{
    return detail::writeRequestTo("/v1/remove",
                                  {{"key", key}, {"expected", expected.modRevision.value()}});
}

HttpRequest OwnStoreCodec::grantLease(Milliseconds ttl) const
{
    return detail::writeRequestTo("/v1/lease/grant", {{"ttlMs", ttl.count()}});
}

HttpRequest OwnStoreCodec::keepAlive(const LeaseId &lease) const
{
    return detail::writeRequestTo("/v1/lease/keep-alive", {{"lease", lease.value()}});
}

HttpRequest OwnStoreCodec::revoke(const LeaseId &lease) const
{
    return detail::writeRequestTo("/v1/lease/revoke", {{"lease", lease.value()}});
}

Result<std::optional<KeyValue>> OwnStoreCodec::readGet(const HttpResponse &answer) const
{
    return detail::readAnswer<std::optional<KeyValue>>(answer, detail::readFound);
}

Result<ListingPage> OwnStoreCodec::readList(const HttpResponse &answer) const
{
    return detail::readAnswer<ListingPage>(answer, [](const nlohmann::json &json) {
        return ListingPage{detail::readListing(json), false};
    });
}

Result<WatchAnswer> OwnStoreCodec::readWatch(const HttpResponse &answer) const
{
    return detail::readAnswer<WatchAnswer>(answer, detail::readWatchAnswer);
}

Result<ModRevision> OwnStoreCodec::readPut(const HttpResponse &answer) const
{
    return detail::readAnswer<ModRevision>(answer, [](const nlohmann::json &json) {
        return ModRevision(json.at("modRevision").get<std::uint64_t>());
    });
}

Result<LeaseId> OwnStoreCodec::readLease(const HttpResponse &answer) const
{
    return detail::readAnswer<LeaseId>(answer, [](const nlohmann::json &json) {
        return LeaseId(json.at("lease").get<std::string>());
    });
}

Result<void> OwnStoreCodec::readDone(const HttpResponse &answer) const
{
    if (!detail::isSuccess(answer))
        return tl::unexpected(detail::readError(answer));
    return {};
}

} // namespace cornelhead
