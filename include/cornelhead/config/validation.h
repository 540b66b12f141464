// The rules that declarations must keep before any proxy may act on them.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "cornelhead/base/clock.h"
#include "cornelhead/config/declarations.h"

namespace cornelhead {

/// Bounds of what an operator may declare.
struct DeclarationLimits
{
    static constexpr std::size_t nameBytes = 63;
    static constexpr std::size_t pathPrefixBytes = 255;
    static constexpr std::size_t services = 2'000;
    static constexpr std::size_t routes = 20'000;
    static constexpr std::size_t plans = 2'000;
    static constexpr std::size_t customers = 200'000;
    /// Services, and likewise routes, named by one plan; keeps a plan's record below a chunk.
    static constexpr std::size_t namesPerPlan = 1'000;
    /// Calls a second, and likewise calls that may come at once.
    static constexpr std::uint32_t rate = 1'000'000;
    static constexpr std::uint32_t concurrency = 100'000;
    static constexpr Milliseconds minTimeout = Milliseconds(10);
    static constexpr Milliseconds maxTimeout = Milliseconds(300'000);
};

enum class RecordKind { Service, Route, Plan, Customer };

/// Names one record by its position in the list of its kind.
struct RecordPosition
{
    RecordKind kind = RecordKind::Service;
    std::size_t index = 0;

    friend auto operator<=>(const RecordPosition &, const RecordPosition &) = default;
};

/// One broken rule.
struct DeclarationFault
{
    RecordPosition record;
    /// The key as in the operators' files, such as "rate" or "services".
    std::string field;
    /// The item of `field` where it is a list.
    std::size_t item = 0;
    std::string message;
    std::string remedy;
};

/// Returns every fault of `declarations`: dangling references, duplicates, values out of range.
std::vector<DeclarationFault> findFaults(const Declarations &declarations);

/// Tells whether records and their lists are in the order that `canonicalOrder` gives.
bool isCanonicalOrder(const Declarations &declarations);
/// Orders records and their lists by name, so that equal declarations compare equal.
Declarations canonicalOrder(Declarations declarations);

} // namespace cornelhead
