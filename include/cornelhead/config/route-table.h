// Routes by host name and path prefix with weighted traffic splits: the configuration of sidecar
// nodes, which handle both the outbound and the inbound side of a call.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/error.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/config/customer-keys.h"

namespace cornelhead {

/// One destination of a route's traffic split.
struct RouteTarget
{
    ServiceId service;
    /// Relative to the sum over the route's targets.
    std::uint32_t weight = 1;
};

/// A route for calls to one host name and path prefix.
struct HostRoute
{
    RouteId id;
    std::string host;
    /// Starts and ends with '/'.
    std::string pathPrefix;
    /// Whether a call may run more than once.
    bool isIdempotent = false;
    /// Maximum duration of a call, including all attempts.
    Milliseconds timeout{};
    /// Latency up to which a response counts as fully useful.
    Milliseconds objective{};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Maximum number of servers that one call is sent to.
    std::uint32_t attempts = 1;
    /// Callers need no key, though the table has customers.
    bool isPublic = false;
    /// Not empty after the checks of `RouteTable::build`; the sum of the weights is above 0.
    std::vector<RouteTarget> targets;
};

/// A service that routes can refer to.
struct HostService
{
    ServiceId id;
    std::string healthPath;
    /// Maximum number of connections per server from all callers together.
    std::uint32_t connections = 1;
};

/// Limits for the requests and connections of callers.
struct CallerLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 8 * 1024 * 1024;
    /// How long a caller's connection may stay idle.
    Milliseconds idleTimeout = Milliseconds(60000);
};

/// The unchecked contents of a route table.
struct RouteDeclarations
{
    std::vector<HostRoute> routes;
    std::vector<HostService> services;
    CallerLimits limits;
    /// Nothing if callers need no keys.
    std::optional<std::vector<HostCustomer>> customers;
};

/// An immutable, checked configuration at one revision.
class RouteTable
{
public:
    /// Fails with `InvalidDeclaration` for a route without a host, prefix, target or weight, for a
    /// service that is not declared, for two routes of one host and prefix, and for customers that
    /// `CustomerKeys::build` rejects.
    static Result<std::shared_ptr<const RouteTable>> build(Revision revision,
                                                           RouteDeclarations declarations);

    Revision revision() const { return revision_; }
    const CallerLimits &limits() const { return declarations_.limits; }
    std::size_t size() const { return declarations_.routes.size(); }
    const std::vector<HostRoute> &routes() const { return declarations_.routes; }
    const std::vector<HostService> &services() const { return declarations_.services; }
    /// Returns the route of `host` with the longest prefix that matches `path`, or null.  A port in
    /// `host` is ignored.
    const HostRoute *match(std::string_view host, std::string_view path) const;
    /// Returns null for a service that is not declared.
    const HostService *findService(const ServiceId &id) const;
    /// Returns null if callers need no keys.
    const CustomerKeys *customers() const { return customers_ ? &*customers_ : nullptr; }

private:
    RouteTable() = default;
    Result<void> index();

    Revision revision_;
    // Not modified after `build`; the maps point into it.
    RouteDeclarations declarations_;
    std::optional<CustomerKeys> customers_;
    std::unordered_map<ServiceId, const HostService *> services_;
    // Routes by lower-case host name, then by prefix.
    std::unordered_map<std::string, std::unordered_map<std::string_view, const HostRoute *>> hosts_;
};

} // namespace cornelhead
