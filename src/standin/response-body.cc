// Renders and checks the answers of stand-in backend servers.
#include "cornelhead/standin/response-body.h"

#include <nlohmann/json.hpp>

namespace cornelhead {
namespace detail {

using nlohmann::json;

std::string paddingOf(std::string_view requestId, std::size_t bytes)
{
    const std::string unit = requestId.empty() ? "-" : std::string(requestId);
    std::string padding;
    padding.reserve(bytes);
    while (padding.size() < bytes)
        padding += unit.substr(0, bytes - padding.size());
    return padding;
}

std::string render(const json &body)
{
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace detail

std::string encodeResponseBody(const ResponseBody &answer, std::size_t bytes)
{
    detail::json body = {{"service", answer.service},     {"version", answer.version},
                         {"server", answer.server},       {"path", answer.path},
                         {"customer", answer.customer},   {"idempotencyKey", answer.idempotencyKey},
                         {"requestId", answer.requestId}, {"padding", ""}};
    if (!answer.next.empty()) {
        const auto next = detail::json::parse(answer.next, nullptr, false);
        body["next"] = next.is_discarded() ? detail::json(answer.next) : next;
    }
    std::string text = detail::render(body);
    if (text.size() >= bytes)
        return text;
    // Request ids need no escapes, so the padding grows the text byte by byte.
    constexpr std::string_view emptyPadding = "\"padding\":\"";
    const std::size_t at = text.find(emptyPadding) + emptyPadding.size();
    return text.insert(at, detail::paddingOf(answer.requestId, bytes - text.size()));
}

bool isExpectedResponse(const ExpectedResponse &expected, std::string_view body)
{
    const auto json = detail::json::parse(body, nullptr, false);
    if (!json.is_object())
        return false;
    const auto is = [&](const char *name, const std::string &value) {
        const auto found = json.find(name);
        return found != json.end() && found->is_string()
                && found->get_ref<const std::string &>() == value;
    };
    if (!is("service", expected.service) || !is("path", expected.path)
        || !is("customer", expected.customer) || !is("idempotencyKey", expected.idempotencyKey)
        || !is("requestId", expected.requestId)) {
        return false;
    }
    const auto padding = json.find("padding");
    if (padding == json.end() || !padding->is_string())
        return false;
    const auto &text = padding->get_ref<const std::string &>();
    const bool hasSize
            = text.empty() ? body.size() >= expected.bytes : body.size() == expected.bytes;
    return hasSize && text == detail::paddingOf(expected.requestId, text.size());
}

} // namespace cornelhead
