// Strong types for identifiers and revisions, so that they cannot be mixed up, such as a service
// passed for a plan.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace cornelhead {

/// A string identifier; ids with different tags are different types.
///
///     ServiceId service("bookings");
template <typename Tag>
class Id
{
public:
    Id() = default;
    explicit Id(std::string value) : value_(std::move(value)) { }

    const std::string &value() const { return value_; }
    bool empty() const { return value_.empty(); }

    friend auto operator<=>(const Id &, const Id &) = default;

private:
    std::string value_;
};

/// An unsigned number; numbers with different tags are different types.
template <typename Tag>
class Number
{
public:
    constexpr Number() = default;
    constexpr explicit Number(std::uint64_t value) : value_(value) { }

    constexpr std::uint64_t value() const { return value_; }
    constexpr Number next() const { return Number(value_ + 1); }

    friend constexpr auto operator<=>(const Number &, const Number &) = default;

private:
    std::uint64_t value_ = 0;
};

using ServiceId = Id<struct ServiceTag>;
using RouteId = Id<struct RouteTag>;
using PlanId = Id<struct PlanTag>;
using CustomerId = Id<struct CustomerTag>;
using VersionId = Id<struct VersionTag>;
using DataCentreId = Id<struct DataCentreTag>;
/// Identifies one run of a backend server; a restarted server has a new id.
using ServerId = Id<struct ServerTag>;
/// Identifies one run of a node; a restarted node has a new id.
using NodeId = Id<struct NodeTag>;
/// Identifies one edit by an operator; after a lost response, the operator's tool finds out by
/// reading whether the edit took effect.
using EditId = Id<struct EditTag>;
/// The 128-bit xxHash of some content in hexadecimal.
using Digest = Id<struct DigestTag>;

/// The revision of an accepted configuration, in increasing order; 0 means none.
using Revision = Number<struct RevisionTag>;
/// A revision of the key-value store: a key's is that of its last write, 0 if the key does not
/// exist.
using ModRevision = Number<struct ModRevisionTag>;
/// Counts how often the key-value store came back from an older copy of itself.
using StoreEra = Number<struct StoreEraTag>;

} // namespace cornelhead

template <typename Tag>
struct std::hash<cornelhead::Id<Tag>>
{
    std::size_t operator()(const cornelhead::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};

template <typename Tag>
struct std::hash<cornelhead::Number<Tag>>
{
    std::size_t operator()(const cornelhead::Number<Tag> &number) const noexcept
    {
        return std::hash<std::uint64_t>()(number.value());
    }
};
