// Computes, applies and encodes deltas between configurations.
#include "cornelhead/config/delta.h"

#include <array>
#include <exception>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include "cornelhead/base/digest.h"
#include "cornelhead/config/manifest.h"

namespace cornelhead {
namespace detail {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 4> kindNames = {"service", "route", "plan", "customer"};

tl::unexpected<Error> invalidDelta(const std::string &reason)
{
    return fail(ErrorKind::InvalidMessage, "invalid delta: " + reason,
                "request the full configuration");
}

// Requires both lists to be sorted by id.
template <typename Record>
void compare(const std::vector<Record> &base, const std::vector<Record> &target, RecordKind kind,
             Delta &delta)
{
    auto baseRecord = base.begin();
    for (const Record &record : target) {
        for (; baseRecord != base.end() && baseRecord->id < record.id; ++baseRecord)
            delta.removed.push_back({kind, baseRecord->id.value()});
        const bool isInBase = baseRecord != base.end() && baseRecord->id == record.id;
        if (!isInBase || *baseRecord != record)
            delta.changed.push_back(encodeRecord(record));
        if (isInBase)
            ++baseRecord;
    }
    for (; baseRecord != base.end(); ++baseRecord)
        delta.removed.push_back({kind, baseRecord->id.value()});
}

// Merges sorted lists; a changed record replaces the base record with the same id.
template <typename Record>
std::vector<Record> merge(const std::vector<Record> &base, std::vector<Record> changed,
                          RecordKind kind, const std::set<RecordKey> &removed)
{
    std::vector<Record> merged;
    merged.reserve(base.size() + changed.size());
    auto next = changed.begin();
    for (const Record &record : base) {
        for (; next != changed.end() && next->id < record.id; ++next)
            merged.push_back(std::move(*next));
        if (next != changed.end() && next->id == record.id)
            merged.push_back(std::move(*next++));
        else if (!removed.contains({kind, record.id.value()}))
            merged.push_back(record);
    }
    std::move(next, changed.end(), std::back_inserter(merged));
    return merged;
}

Result<Declarations> readChanged(const Delta &delta)
{
    Declarations changed;
    RecordKey previous;
    for (const std::string &line : delta.changed) {
        Result<RecordKey> key = appendRecord(line, changed);
        if (!key)
            return tl::unexpected<Error>(key.error());
        if (*key <= previous)
            return invalidDelta("the records are not in canonical order");
        previous = std::move(*key);
    }
    return changed;
}

Json toJson(const RecordKey &key)
{
    return Json::array({kindNames.at(static_cast<std::size_t>(key.kind)), key.id});
}

// Throws out_of_range or an exception of the JSON library.
RecordKey readRecordKey(const Json &json)
{
    const std::string name = json.at(0).get<std::string>();
    for (std::size_t i = 0; i < kindNames.size(); ++i) {
        if (kindNames[i] == name)
            return {static_cast<RecordKind>(i), json.at(1).get<std::string>()};
    }
    throw std::out_of_range("unknown kind of record");
}

Delta readDelta(const Json &json)
{
    Delta delta;
    delta.baseDigest = Digest(json.at("base").get<std::string>());
    delta.targetDigest = Digest(json.at("target").get<std::string>());
    delta.changed = json.at("changed").get<std::vector<std::string>>();
    for (const Json &key : json.at("removed"))
        delta.removed.push_back(readRecordKey(key));
    return delta;
}

} // namespace detail

Delta makeDelta(const Declarations &base, const Declarations &target)
{
    Delta delta;
    delta.baseDigest = digestOf(encodeDeclarations(base));
    delta.targetDigest = digestOf(encodeDeclarations(target));
    detail::compare(base.services, target.services, RecordKind::Service, delta);
    detail::compare(base.routes, target.routes, RecordKind::Route, delta);
    detail::compare(base.plans, target.plans, RecordKind::Plan, delta);
    detail::compare(base.customers, target.customers, RecordKind::Customer, delta);
    return delta;
}

Result<std::shared_ptr<const Snapshot>> applyDelta(const Snapshot &base, const Delta &delta,
                                                   Revision revision)
{
    if (base.digest() != delta.baseDigest) {
        return fail(ErrorKind::Stale,
                    "the delta is for base " + delta.baseDigest.value() + ", not for "
                            + base.digest().value(),
                    "request the full configuration");
    }
    Result<Declarations> changed = detail::readChanged(delta);
    if (!changed)
        return tl::unexpected<Error>(changed.error());
    const std::set<RecordKey> removed(delta.removed.begin(), delta.removed.end());
    const Declarations &baseDeclarations = base.declarations();
    Declarations target;
    target.services = detail::merge(baseDeclarations.services, std::move(changed->services),
                                    RecordKind::Service, removed);
    target.routes = detail::merge(baseDeclarations.routes, std::move(changed->routes),
                                  RecordKind::Route, removed);
    target.plans = detail::merge(baseDeclarations.plans, std::move(changed->plans),
                                 RecordKind::Plan, removed);
    target.customers = detail::merge(baseDeclarations.customers, std::move(changed->customers),
                                     RecordKind::Customer, removed);
    auto built = Snapshot::build(revision, std::move(target));
    if (!built)
        return detail::invalidDelta(built.error().message);
    if ((*built)->digest() != delta.targetDigest)
        return detail::invalidDelta("the result does not have the target digest "
                                    + delta.targetDigest.value());
    return built;
}

std::string encodeDelta(const Delta &delta)
{
    detail::Json removed = detail::Json::array();
    for (const RecordKey &key : delta.removed)
        removed.push_back(detail::toJson(key));
    const detail::Json json = {{"base", delta.baseDigest.value()},
                               {"target", delta.targetDigest.value()},
                               {"changed", delta.changed},
                               {"removed", std::move(removed)}};
    return json.dump(-1, ' ', false, detail::Json::error_handler_t::replace);
}

Result<Delta> decodeDelta(std::string_view bytes)
{
    try {
        return detail::readDelta(detail::Json::parse(bytes));
    } catch (const std::exception &error) {
        return detail::invalidDelta(error.what());
    }
}

} // namespace cornelhead
