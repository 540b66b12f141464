// Routes by host name and path prefix, with traffic split by weight: the configuration of nodes
// that stand on both sides of a call.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/error.h"
#include "cornelhead/base/ids.h"

namespace cornelhead {

/// One service that a route may choose, with its part of the calls.
struct RouteTarget
{
    ServiceId service;
    /// Relative to the sum over the route's targets.
    std::uint32_t weight = 1;
};

/// Calls to one host name below one path prefix.
struct HostRoute
{
    RouteId id;
    std::string host;
    /// Begins and ends with '/'.
    std::string pathPrefix;
    /// May run more than once.
    bool isIdempotent = false;
    /// The longest time that a call may be kept waiting.
    Milliseconds timeout{};
    /// An answer within it is worth its whole credit.
    Milliseconds objective{};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Servers that one call may be sent to.
    std::uint32_t attempts = 1;
    /// Never empty; the sum of weights is above 0.
    std::vector<RouteTarget> targets;
};

/// A service that routes may name.
struct HostService
{
    ServiceId id;
    std::string healthPath;
    /// Connections that each of its servers accepts from all callers together.
    std::uint32_t connections = 1;
};

/// What callers may send.
struct CallerLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 8 * 1024 * 1024;
    /// How long a caller's connection may stay idle.
    Milliseconds idleTimeout = Milliseconds(60000);
};

/// The parts of a route table before they are checked.
struct RouteDeclarations
{
    std::vector<HostRoute> routes;
    std::vector<HostService> services;
    CallerLimits limits;
};

/// A checked configuration at one revision.  Built whole or not at all.
class RouteTable
{
public:
    /// Fails with `InvalidDeclaration` for a route without a host, prefix, target or weight, for a
    /// service that is not declared, and for two routes of one host and prefix.
    static Result<std::shared_ptr<const RouteTable>> build(Revision revision,
                                                           RouteDeclarations declarations);

    Revision revision() const { return revision_; }
    const CallerLimits &limits() const { return declarations_.limits; }
    std::size_t size() const { return declarations_.routes.size(); }
    /// Returns the route of `host` with the longest prefix that begins `path`, or null.
    const HostRoute *match(std::string_view host, std::string_view path) const;
    /// Returns null for a service that is not declared.
    const HostService *findService(const ServiceId &id) const;

private:
    RouteTable() = default;
    Result<void> index();

    Revision revision_;
    // Never changes after `build`; the maps point into it.
    RouteDeclarations declarations_;
    std::unordered_map<ServiceId, const HostService *> services_;
    // By lower-case host name, and there by prefix.
    std::unordered_map<std::string, std::unordered_map<std::string_view, const HostRoute *>> hosts_;
};

} // namespace cornelhead
