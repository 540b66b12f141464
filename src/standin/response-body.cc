// Renders and checks the response bodies of simulated backend servers.
#include "cornelhead/standin/response-body.h"

#include <nlohmann/json.hpp>

namespace cornelhead {
namespace detail {

using nlohmann::json;

std::string makePadding(std::string_view requestId, std::size_t bytes)
{
    const std::string pattern = requestId.empty() ? "-" : std::string(requestId);
    std::string padding;
    padding.reserve(bytes);
    while (padding.size() < bytes)
        padding += pattern.substr(0, bytes - padding.size());
    return padding;
}

std::string render(const json &body)
{
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace detail

std::string encodeResponseBody(const ResponseBody &body, std::size_t bytes)
{
    detail::json json = {{"service", body.service},     {"version", body.version},
                         {"server", body.server},       {"path", body.path},
                         {"customer", body.customer},   {"idempotencyKey", body.idempotencyKey},
                         {"requestId", body.requestId}, {"padding", ""}};
    if (!body.next.empty()) {
        const auto next = detail::json::parse(body.next, nullptr, false);
        json["next"] = next.is_discarded() ? detail::json(body.next) : next;
    }
    std::string text = detail::render(json);
    if (text.size() >= bytes)
        return text;
    // Request ids need no JSON escapes, so each byte of padding adds one byte to the text.
    constexpr std::string_view emptyPadding = "\"padding\":\"";
    const std::size_t position = text.find(emptyPadding) + emptyPadding.size();
    return text.insert(position, detail::makePadding(body.requestId, bytes - text.size()));
}

bool isExpectedResponse(const ExpectedResponse &expected, std::string_view body)
{
    const auto json = detail::json::parse(body, nullptr, false);
    if (!json.is_object())
        return false;
    const auto hasField = [&](const char *name, const std::string &value) {
        const auto found = json.find(name);
        return found != json.end() && found->is_string()
                && found->get_ref<const std::string &>() == value;
    };
    if (!hasField("service", expected.service) || !hasField("path", expected.path)
        || !hasField("customer", expected.customer)
        || !hasField("idempotencyKey", expected.idempotencyKey)
        || !hasField("requestId", expected.requestId)) {
        return false;
    }
    const auto padding = json.find("padding");
    if (padding == json.end() || !padding->is_string())
        return false;
    const auto &text = padding->get_ref<const std::string &>();
    const bool hasExpectedSize
            = text.empty() ? body.size() >= expected.bytes : body.size() == expected.bytes;
    return hasExpectedSize && text == detail::makePadding(expected.requestId, text.size());
}

} // namespace cornelhead
