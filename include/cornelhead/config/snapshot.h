// One complete, immutable configuration, with the lookups that routing needs.
#pragma once

#include <memory>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "cornelhead/base/error.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/config/declarations.h"

namespace cornelhead {

/// An immutable, validated configuration at one revision.
///
///     Result<std::shared_ptr<const Snapshot>> snapshot
///             = Snapshot::build(Revision(7), std::move(declarations));
class Snapshot
{
public:
    /// Validates and indexes `declarations`.  Fails with `InvalidDeclaration` for a dangling
    /// reference, a duplicate or a value out of range.
    static Result<std::shared_ptr<const Snapshot>> build(Revision revision,
                                                         Declarations declarations);

    Revision revision() const { return revision_; }
    /// The digest of the canonical form; equal declarations have equal digests.
    const Digest &digest() const { return digest_; }
    const Declarations &declarations() const { return declarations_; }

    /// The `find` functions and `matchRoute` return null if nothing is found.
    const Customer *findCustomer(const CustomerId &id) const;
    const Plan *findPlan(const PlanId &id) const;
    const Service *findService(const ServiceId &id) const;
    const Route *findRoute(const RouteId &id) const;
    /// Returns the route of `service` with the longest prefix that matches whole segments of
    /// `path`; `path` may include a query.
    const Route *matchRoute(const ServiceId &service, std::string_view path) const;
    /// Returns whether customers on `plan` may use `route`.
    bool allows(const Plan &plan, const Route &route) const;

private:
    Snapshot() = default;
    void index();

    Revision revision_;
    Digest digest_;
    // Not modified after `build`; the maps point into it.  The canonical order allows binary search
    // for customers, which are by far the most records and thus have no index.
    Declarations declarations_;
    std::unordered_map<PlanId, const Plan *> plans_;
    std::unordered_map<ServiceId, const Service *> services_;
    std::unordered_map<RouteId, const Route *> routes_;
    // Longest prefix first.
    std::unordered_map<ServiceId, std::vector<const Route *>> routesOfService_;
    std::unordered_map<PlanId, std::unordered_set<RouteId>> allowed_;
};

} // namespace cornelhead
