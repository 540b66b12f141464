// Strong types for names and numbers, so that a service can never be passed where a plan is meant.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace cornelhead {

/// Names one thing of the kind that `Tag` stands for.
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

/// Counts or numbers one thing of the kind that `Tag` stands for.
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
/// Names one run of one backend server: a restart takes a new id.
using ServerId = Id<struct ServerTag>;
/// Names one run of one node: a restart takes a new id.
using NodeId = Id<struct NodeTag>;
/// Names one edit by an operator, so that a lost answer can be resolved by reading.
using EditId = Id<struct EditTag>;
/// Names content by its 128-bit xxHash in hexadecimal.
using Digest = Id<struct DigestTag>;

/// Orders accepted configurations; 0 means that none is known.
using Revision = Number<struct RevisionTag>;
/// Orders the writes of one key at the platform; 0 means that the key does not exist.
using ModRevision = Number<struct ModRevisionTag>;

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
