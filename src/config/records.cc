// Encodes and decodes single records and whole declarations as lines of JSON.
#include "cornelhead/config/records.h"

#include <algorithm>
#include <array>
#include <exception>
#include <optional>

#include <nlohmann/json.hpp>

#include "config/names.h"
#include "cornelhead/config/manifest.h"

namespace cornelhead {
namespace detail {

using Json = nlohmann::json;

// The first line of the encoded declarations; identifies the format version.
constexpr std::string_view formatHeader = R"({"format":1})";

constexpr std::array<std::string_view, 3> priorityNames = {"high", "normal", "low"};
constexpr std::array<std::string_view, 2> idempotencyNames = {"idempotent", "keyed"};

template <std::size_t Size>
std::size_t indexOf(const std::array<std::string_view, Size> &names, const std::string &name)
{
    for (std::size_t i = 0; i < Size; ++i) {
        if (names[i] == name)
            return i;
    }
    throw std::out_of_range("unknown value '" + name + "'");
}

template <typename IdType>
Json namesOf(const std::vector<IdType> &ids)
{
    Json names = Json::array();
    for (const IdType &id : ids)
        names.push_back(id.value());
    return names;
}

template <typename IdType>
std::vector<IdType> idsOf(const Json &names)
{
    std::vector<IdType> ids;
    for (const Json &name : names)
        ids.emplace_back(name.get<std::string>());
    return ids;
}

// Encoding may precede validation, which rejects names that are not UTF-8.  Such bytes are
// replaced, as the JSON library would otherwise throw.
std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::uint32_t readUint32(const Json &json)
{
    if (!json.is_number_unsigned() || json.get<std::uint64_t>() > UINT32_MAX)
        throw std::out_of_range("a number is not an unsigned 32-bit integer");
    return json.get<std::uint32_t>();
}

Milliseconds readMilliseconds(const Json &json)
{
    return Milliseconds(readUint32(json));
}

Service readService(const Json &json)
{
    return Service{ServiceId(json.at("service").get<std::string>()),
                   VersionId(json.at("initialVersion").get<std::string>())};
}

Route readRoute(const Json &json)
{
    Route route;
    route.id = RouteId(json.at("route").get<std::string>());
    route.service = ServiceId(json.at("of").get<std::string>());
    route.pathPrefix = json.at("pathPrefix").get<std::string>();
    route.priority = static_cast<CallPriority>(
            indexOf(priorityNames, json.at("priority").get<std::string>()));
    route.idempotency = static_cast<Idempotency>(
            indexOf(idempotencyNames, json.at("idempotency").get<std::string>()));
    route.timeout = readMilliseconds(json.at("timeoutMs"));
    return route;
}

Plan readPlan(const Json &json)
{
    Plan plan;
    plan.id = PlanId(json.at("plan").get<std::string>());
    plan.services = idsOf<ServiceId>(json.at("services"));
    plan.routes = idsOf<RouteId>(json.at("routes"));
    plan.ratePerSecond = readUint32(json.at("rate"));
    plan.burst = readUint32(json.at("burst"));
    plan.concurrency = readUint32(json.at("concurrency"));
    return plan;
}

Customer readCustomer(const Json &json)
{
    return Customer{CustomerId(json.at("customer").get<std::string>()),
                    PlanId(json.at("on").get<std::string>())};
}

// The fixed parts of a customer's line.  Customers are by far the most records; those with valid
// names are encoded and decoded without the JSON library.
constexpr std::string_view customerBegin = R"({"customer":")";
constexpr std::string_view customerMiddle = R"(","on":")";
constexpr std::string_view customerEnd = R"("})";

std::string plainCustomerLine(std::string_view id, std::string_view plan)
{
    std::string line;
    line.reserve(customerBegin.size() + id.size() + customerMiddle.size() + plan.size()
                 + customerEnd.size());
    line.append(customerBegin).append(id).append(customerMiddle);
    return line.append(plan).append(customerEnd);
}

// Returns nothing unless the line has the form that plainCustomerLine() produces.
std::optional<Customer> readPlainCustomer(std::string_view line)
{
    if (!line.starts_with(customerBegin) || !line.ends_with(customerEnd))
        return std::nullopt;
    line.remove_prefix(customerBegin.size());
    const std::size_t idEnd = line.find('"');
    const std::string_view id = line.substr(0, idEnd);
    line.remove_prefix(id.size());
    if (line.size() < customerMiddle.size() + customerEnd.size()
        || !line.starts_with(customerMiddle))
        return std::nullopt;
    line.remove_prefix(customerMiddle.size());
    line.remove_suffix(customerEnd.size());
    if (!isName(id) || !isName(line))
        return std::nullopt;
    return Customer{CustomerId(std::string(id)), PlanId(std::string(line))};
}

template <typename Record>
RecordKey append(std::vector<Record> &records, Record record, RecordKind kind)
{
    RecordKey key{kind, record.id.value()};
    records.push_back(std::move(record));
    return key;
}

bool isOrdered(const Plan &plan)
{
    return std::is_sorted(plan.services.begin(), plan.services.end())
            && std::is_sorted(plan.routes.begin(), plan.routes.end());
}

// Throws out_of_range or an exception of the JSON library.
RecordKey readRecord(const Json &json, Declarations &declarations)
{
    if (json.contains("customer"))
        return append(declarations.customers, readCustomer(json), RecordKind::Customer);
    if (json.contains("plan"))
        return append(declarations.plans, readPlan(json), RecordKind::Plan);
    if (json.contains("route"))
        return append(declarations.routes, readRoute(json), RecordKind::Route);
    if (json.contains("service"))
        return append(declarations.services, readService(json), RecordKind::Service);
    throw std::out_of_range("unknown kind of record");
}

std::string encodeLast(const Declarations &declarations, RecordKind kind)
{
    switch (kind) {
    case RecordKind::Service:
        return encodeRecord(declarations.services.back());
    case RecordKind::Route:
        return encodeRecord(declarations.routes.back());
    case RecordKind::Plan:
        return encodeRecord(declarations.plans.back());
    case RecordKind::Customer:
        return encodeRecord(declarations.customers.back());
    }
    return {};
}

tl::unexpected<Error> malformedRecord(const std::string &reason)
{
    return fail(ErrorKind::InvalidMessage, "malformed configuration record: " + reason,
                "apply the declarations again with the cornelheadctl of the nodes' release");
}

template <typename Record>
void appendLines(std::string &text, const std::vector<Record> &records)
{
    for (const Record &record : records) {
        text += encodeRecord(record);
        text += '\n';
    }
}

} // namespace detail

std::string encodeRecord(const Service &service)
{
    return detail::dump(
            {{"service", service.id.value()}, {"initialVersion", service.initialVersion.value()}});
}

std::string encodeRecord(const Route &route)
{
    return detail::dump(
            {{"route", route.id.value()},
             {"of", route.service.value()},
             {"pathPrefix", route.pathPrefix},
             {"priority", detail::priorityNames.at(static_cast<std::size_t>(route.priority))},
             {"idempotency",
              detail::idempotencyNames.at(static_cast<std::size_t>(route.idempotency))},
             {"timeoutMs", route.timeout.count()}});
}

std::string encodeRecord(const Plan &plan)
{
    return detail::dump({{"plan", plan.id.value()},
                         {"services", detail::namesOf(plan.services)},
                         {"routes", detail::namesOf(plan.routes)},
                         {"rate", plan.ratePerSecond},
                         {"burst", plan.burst},
                         {"concurrency", plan.concurrency}});
}

std::string encodeRecord(const Customer &customer)
{
    const std::string &id = customer.id.value();
    const std::string &plan = customer.plan.value();
    if (detail::isName(id) && detail::isName(plan))
        return detail::plainCustomerLine(id, plan);
    return detail::dump({{"customer", customer.id.value()}, {"on", customer.plan.value()}});
}

Result<RecordKey> appendRecord(std::string_view line, Declarations &declarations)
{
    if (std::optional<Customer> customer = detail::readPlainCustomer(line))
        return detail::append(declarations.customers, std::move(*customer), RecordKind::Customer);
    Declarations read;
    try {
        const RecordKey key = detail::readRecord(detail::Json::parse(line), read);
        // Only the canonical form is accepted, so that equal contents have equal digests.
        const bool isOrdered = std::all_of(read.plans.begin(), read.plans.end(), detail::isOrdered);
        if (!isOrdered || detail::encodeLast(read, key.kind) != line)
            return detail::malformedRecord("the record is not in canonical form");
        std::move(read.services.begin(), read.services.end(),
                  std::back_inserter(declarations.services));
        std::move(read.routes.begin(), read.routes.end(), std::back_inserter(declarations.routes));
        std::move(read.plans.begin(), read.plans.end(), std::back_inserter(declarations.plans));
        std::move(read.customers.begin(), read.customers.end(),
                  std::back_inserter(declarations.customers));
        return key;
    } catch (const std::exception &error) {
        return detail::malformedRecord(error.what());
    }
}

std::string encodeDeclarations(const Declarations &declarations)
{
    if (!isCanonicalOrder(declarations))
        return encodeDeclarations(canonicalOrder(declarations));
    std::string text(detail::formatHeader);
    text += '\n';
    detail::appendLines(text, declarations.services);
    detail::appendLines(text, declarations.routes);
    detail::appendLines(text, declarations.plans);
    detail::appendLines(text, declarations.customers);
    return text;
}

Result<Declarations> decodeDeclarations(std::string_view bytes)
{
    Declarations declarations;
    std::optional<RecordKey> previous;
    bool isFirst = true;
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        if (end == std::string_view::npos)
            return detail::malformedRecord("the last line is truncated");
        const std::string_view line = bytes.substr(0, end);
        bytes.remove_prefix(end + 1);
        if (std::exchange(isFirst, false)) {
            if (line != detail::formatHeader)
                return detail::malformedRecord("unknown format");
            continue;
        }
        Result<RecordKey> key = appendRecord(line, declarations);
        if (!key)
            return tl::unexpected<Error>(key.error());
        if (previous && *key <= *previous)
            return detail::malformedRecord("the records are not in canonical order");
        previous = std::move(*key);
    }
    if (isFirst)
        return detail::malformedRecord("the input is empty");
    return declarations;
}

} // namespace cornelhead
