// Encodes and decodes the JSON messages of the default wire format.
#include "cornelhead/platform/wire.h"

#include <array>
#include <charconv>

namespace cornelhead::detail {

using nlohmann::json;

struct KindStatus
{
    ErrorKind kind;
    int status;
};

constexpr std::array<KindStatus, 7> kindStatuses = {{
        {ErrorKind::InvalidMessage, 400},
        {ErrorKind::NotFound, 404},
        {ErrorKind::Conflict, 409},
        {ErrorKind::Stale, 410},
        {ErrorKind::TooLarge, 413},
        {ErrorKind::RateLimited, 429},
        {ErrorKind::Unavailable, 503},
}};

std::optional<StoreEra> readEraHeader(const HttpResponse &response, const std::string &name)
{
    const auto header = response.headers.find(name);
    if (header == response.headers.end())
        return std::nullopt;
    const std::string &text = header->second;
    std::uint32_t era = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), era);
    const bool isNumber = error == std::errc() && end == text.data() + text.size();
    return isNumber && StoreEra(era) <= maxStoreEra ? std::optional(StoreEra(era)) : std::nullopt;
}

int statusOf(ErrorKind kind)
{
    for (const KindStatus &entry : kindStatuses) {
        if (entry.kind == kind)
            return entry.status;
    }
    return 500;
}

HttpResponse errorResponse(const Error &error)
{
    const json body = {{"error",
                        {{"kind", errorKindName(error.kind)},
                         {"message", error.message},
                         {"remedy", error.remedy}}}};
    return jsonResponse(statusOf(error.kind),
                        body.dump(-1, ' ', false, json::error_handler_t::replace));
}

ErrorKind kindOf(std::string_view name)
{
    for (const KindStatus &entry : kindStatuses) {
        if (errorKindName(entry.kind) == name)
            return entry.kind;
    }
    return ErrorKind::Unknown;
}

Error readError(const HttpResponse &response)
{
    const json body = json::parse(response.body, nullptr, false);
    if (body.is_object() && body.contains("error") && body["error"].is_object()) {
        const json &error = body["error"];
        if (error.contains("kind") && error["kind"].is_string()) {
            return Error{kindOf(error["kind"].get<std::string>()), error.value("message", ""),
                         error.value("remedy", "")};
        }
    }
    return Error{ErrorKind::Unknown,
                 "the platform responded with status " + std::to_string(response.status),
                 "check whether the request took effect before you retry"};
}

json toJson(const KeyValue &entry)
{
    return {{"key", entry.key}, {"value", entry.value}, {"modRevision", entry.modRevision.value()}};
}

json entriesToJson(const std::vector<KeyValue> &entries)
{
    json list = json::array();
    for (const KeyValue &entry : entries)
        list.push_back(toJson(entry));
    return list;
}

json toJson(const Listing &listing)
{
    return {{"entries", entriesToJson(listing.entries)},
            {"storeRevision", listing.storeRevision.value()}};
}

json toJson(const WatchResponse &response)
{
    return {{"changed", entriesToJson(response.changed)},
            {"removed", response.removed},
            {"storeRevision", response.storeRevision.value()},
            {"isWhole", response.isSnapshot}};
}

KeyValue readKeyValue(const json &json)
{
    return KeyValue{json.at("key").get<std::string>(), json.at("value").get<std::string>(),
                    ModRevision(json.at("modRevision").get<std::uint64_t>())};
}

std::vector<KeyValue> readEntries(const json &list)
{
    std::vector<KeyValue> entries;
    for (const json &entry : list)
        entries.push_back(readKeyValue(entry));
    return entries;
}

Listing readListing(const json &json)
{
    return Listing{readEntries(json.at("entries")),
                   ModRevision(json.at("storeRevision").get<std::uint64_t>())};
}

WatchResponse readWatchResponse(const json &json)
{
    return WatchResponse{readEntries(json.at("changed")),
                         json.at("removed").get<std::vector<std::string>>(),
                         ModRevision(json.at("storeRevision").get<std::uint64_t>()),
                         json.value("isWhole", false)};
}

} // namespace cornelhead::detail
