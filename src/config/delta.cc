// Computes, applies and encodes differences between configurations.
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

tl::unexpected<Error> badDelta(const std::string &why)
{
    return fail(ErrorKind::InvalidMessage, "the delta cannot be used: " + why,
                "ask for the whole configuration");
}

// Both lists are in the order of their ids.
template <typename Record>
void compare(const std::vector<Record> &base, const std::vector<Record> &target, RecordKind kind,
             Delta &delta)
{
    auto old = base.begin();
    for (const Record &record : target) {
        for (; old != base.end() && old->id < record.id; ++old)
            delta.removed.push_back({kind, old->id.value()});
        const bool isKnown = old != base.end() && old->id == record.id;
        if (!isKnown || *old != record)
            delta.changed.push_back(encodeRecord(record));
        if (isKnown)
            ++old;
    }
    for (; old != base.end(); ++old)
        delta.removed.push_back({kind, old->id.value()});
}

// Merges sorted lists; a changed record takes the place of the one with its id.
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
    RecordKey last;
    for (const std::string &line : delta.changed) {
        Result<RecordKey> key = appendRecord(line, changed);
        if (!key)
            return tl::unexpected<Error>(key.error());
        if (*key <= last)
            return badDelta("its records are not in order");
        last = std::move(*key);
    }
    return changed;
}

Json toJson(const RecordKey &key)
{
    return Json::array({kindNames.at(static_cast<std::size_t>(key.kind)), key.id});
}

// Throws what the JSON library throws.
RecordKey readKey(const Json &json)
{
    const std::string name = json.at(0).get<std::string>();
    for (std::size_t i = 0; i < kindNames.size(); ++i) {
        if (kindNames[i] == name)
            return {static_cast<RecordKind>(i), json.at(1).get<std::string>()};
    }
    throw std::out_of_range("the kind of record is not known");
}

Delta readDelta(const Json &json)
{
    Delta delta;
    delta.baseDigest = Digest(json.at("base").get<std::string>());
    delta.targetDigest = Digest(json.at("target").get<std::string>());
    delta.changed = json.at("changed").get<std::vector<std::string>>();
    for (const Json &key : json.at("removed"))
        delta.removed.push_back(readKey(key));
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
                    "ask for the whole configuration");
    }
    Result<Declarations> changed = detail::readChanged(delta);
    if (!changed)
        return tl::unexpected<Error>(changed.error());
    const std::set<RecordKey> removed(delta.removed.begin(), delta.removed.end());
    const Declarations &old = base.declarations();
    Declarations target;
    target.services = detail::merge(old.services, std::move(changed->services), RecordKind::Service,
                                    removed);
    target.routes
            = detail::merge(old.routes, std::move(changed->routes), RecordKind::Route, removed);
    target.plans = detail::merge(old.plans, std::move(changed->plans), RecordKind::Plan, removed);
    target.customers = detail::merge(old.customers, std::move(changed->customers),
                                     RecordKind::Customer, removed);
    auto built = Snapshot::build(revision, std::move(target));
    if (!built)
        return detail::badDelta(built.error().message);
    if ((*built)->digest() != delta.targetDigest)
        return detail::badDelta("it does not give its target " + delta.targetDigest.value());
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
        return detail::badDelta(error.what());
    }
}

} // namespace cornelhead
