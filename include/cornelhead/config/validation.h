// Validates declarations before a proxy applies them.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "cornelhead/base/clock.h"
#include "cornelhead/config/declarations.h"

namespace cornelhead {

/// Limits on what an operator may declare.
struct DeclarationLimits
{
    static constexpr std::size_t nameBytes = 63;
    static constexpr std::size_t pathPrefixBytes = 255;
    static constexpr std::size_t services = 2'000;
    static constexpr std::size_t routes = 20'000;
    static constexpr std::size_t plans = 2'000;
    static constexpr std::size_t customers = 200'000;
    /// Maximum number of services, and of routes, in one plan; keeps a plan's record smaller than a
    /// chunk.
    static constexpr std::size_t namesPerPlan = 1'000;
    /// Maximum of a plan's calls per second, and of its burst.
    static constexpr std::uint32_t rate = 1'000'000;
    static constexpr std::uint32_t concurrency = 100'000;
    static constexpr Milliseconds minTimeout = Milliseconds(10);
    static constexpr Milliseconds maxTimeout = Milliseconds(300'000);
};

enum class RecordKind { Service, Route, Plan, Customer };

/// Identifies a record by its position in the list of its kind.
struct RecordPosition
{
    RecordKind kind = RecordKind::Service;
    std::size_t index = 0;

    friend auto operator<=>(const RecordPosition &, const RecordPosition &) = default;
};

/// One violated rule.
struct DeclarationFault
{
    RecordPosition record;
    /// The key in the operators' files, such as "rate" or "services".
    std::string field;
    /// Index of the item if `field` is a list.
    std::size_t item = 0;
    std::string message;
    std::string remedy;
};

/// Returns all faults of `declarations`: dangling references, duplicates, values out of range.
std::vector<DeclarationFault> findFaults(const Declarations &declarations);

/// Returns whether records and their lists are in the order that `canonicalOrder` produces.
bool isCanonicalOrder(const Declarations &declarations);
/// Sorts records and their lists by name, so that declarations with the same content compare equal.
Declarations canonicalOrder(Declarations declarations);

} // namespace cornelhead
