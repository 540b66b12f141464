// Encodes and decodes the messages of quotas.
#include "cornelhead/sidecar/quota-messages.h"

#include <nlohmann/json.hpp>

#include "cornelhead/base/untrusted-json.h"
#include "cornelhead/routing/quota-home.h"

namespace cornelhead {
namespace detail {
namespace {

constexpr JsonLimits messageLimits{std::size_t(1024) * 1024, 4};
constexpr std::size_t maxNameBytes = 1024;
constexpr std::uint32_t maxTokens = 1'000'000;
constexpr std::uint32_t maxHosts = 100'000;
constexpr std::int64_t maxWaitMs = 60'000;

tl::unexpected<Error> invalid(const std::string &why)
{
    return fail(ErrorKind::InvalidMessage, "a quota message is invalid: " + why, "");
}

CustomerId readCustomer(const nlohmann::json &value)
{
    auto name = value.get<std::string>();
    if (name.empty() || name.size() > maxNameBytes)
        throw std::out_of_range("the name of a customer is empty or too long");
    return CustomerId(std::move(name));
}

const nlohmann::json &requireRow(const nlohmann::json &row, std::size_t columns)
{
    if (!row.is_array() || row.size() != columns)
        throw std::out_of_range("a row has another number of columns");
    return row;
}

std::uint32_t readTokens(const nlohmann::json &value)
{
    return readInteger<std::uint32_t>(value, 0, maxTokens);
}

QuotaDemand readDemand(const nlohmann::json &value)
{
    constexpr std::size_t columns = 5;
    const nlohmann::json &row = requireRow(value, columns);
    return QuotaDemand{readCustomer(row[0]), readTokens(row[1]), readTokens(row[2]),
                       readTokens(row[3]), readTokens(row[4])};
}

QuotaGrant readGrant(const nlohmann::json &value)
{
    constexpr std::size_t columns = 3;
    const nlohmann::json &row = requireRow(value, columns);
    return QuotaGrant{readCustomer(row[0]), readTokens(row[1]),
                      Milliseconds(readInteger<std::int64_t>(row[2], 0, maxWaitMs))};
}

} // namespace
} // namespace detail

std::string encodeQuotaMessage(const QuotaMessage &message)
{
    const QuotaRequest &request = message.request;
    nlohmann::json demands = nlohmann::json::array();
    for (const QuotaDemand &demand : request.demands) {
        demands.push_back({demand.customer.value(), demand.needed, demand.spare, demand.held,
                           demand.returned});
    }
    const nlohmann::json text{{"group", message.group},       {"node", request.node.toString()},
                              {"counted", request.isCounted}, {"leaving", request.isLeaving},
                              {"hosts", request.fleetSize},   {"demands", std::move(demands)}};
    return text.dump();
}

Result<QuotaMessage> decodeQuotaMessage(std::string_view text)
{
    const Result<nlohmann::json> parsed = parseUntrustedJson(text, detail::messageLimits);
    if (!parsed)
        return tl::unexpected(parsed.error());
    try {
        QuotaMessage message;
        message.group = readInteger<std::uint32_t>(parsed->at("group"), 0, quotaGroupCount - 1);
        Result<Address> node = parseAddress(parsed->at("node").get<std::string>());
        if (!node)
            return detail::invalid(node.error().message);
        message.request.node = std::move(*node);
        message.request.isCounted = parsed->at("counted").get<bool>();
        message.request.isLeaving = parsed->at("leaving").get<bool>();
        message.request.fleetSize
                = readInteger<std::uint32_t>(parsed->at("hosts"), 0, detail::maxHosts);
        const nlohmann::json &demands = parsed->at("demands");
        if (!demands.is_array())
            return detail::invalid("the demands are no list");
        for (const nlohmann::json &demand : demands)
            message.request.demands.push_back(detail::readDemand(demand));
        return message;
    } catch (const std::exception &error) {
        return detail::invalid(error.what());
    }
}

std::string encodeQuotaGrants(const std::vector<QuotaGrant> &grants)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const QuotaGrant &grant : grants)
        rows.push_back({grant.customer.value(), grant.tokens, grant.wait.count()});
    return rows.dump();
}

Result<std::vector<QuotaGrant>> decodeQuotaGrants(std::string_view text)
{
    const Result<nlohmann::json> parsed = parseUntrustedJson(text, detail::messageLimits);
    if (!parsed)
        return tl::unexpected(parsed.error());
    if (!parsed->is_array())
        return detail::invalid("the grants are no list");
    try {
        std::vector<QuotaGrant> grants;
        for (const nlohmann::json &grant : *parsed)
            grants.push_back(detail::readGrant(grant));
        return grants;
    } catch (const std::exception &error) {
        return detail::invalid(error.what());
    }
}

} // namespace cornelhead
