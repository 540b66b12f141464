// What a check of a route table finds, and its rendering for operators and programs.  A finding
// names customers and counts their keys, and never holds a key.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cornelhead/base/error.h"

namespace cornelhead {

enum class FindingSeverity {
    Error, ///< Nodes refuse the configuration.
    Warning, ///< An entry has no effect, or limits contradict each other.
    Note, ///< Valid and in effect, but perhaps not what was meant.
    Difference, ///< Differs from the configuration in force.
};

enum class EntryKind { Configuration, Limits, Route, Service, Customer };

/// An entry of a configuration; the name is empty for the kinds of which there is one.
struct ConfigurationEntry
{
    EntryKind kind = EntryKind::Configuration;
    std::string name;
};

/// What may be wrong with an entry of a valid configuration.
enum class ConcernKind {
    NeverMatches, ///< A route that no Host header selects.
    NoCalls, ///< A target of weight 0, or a service without a route.
    Ignored, ///< A second declaration, or a flag or limit without what it refers to.
    SameName, ///< Two routes that logs and metrics cannot tell apart.
    NoKeys, ///< A customer, or a whole table, that no caller can name.
    NoConnections, ///< A service whose servers accept no connection.
    ObjectiveAboveTimeout,
    BurstBelowOne,
    BurstBelowRate, ///< Less than the calls of one second.
    AttemptsOfSingleRun, ///< More than one attempt, though the call may run only once.
    TimeoutAboveIdleTimeout,
    NotNewer, ///< Nodes keep the configuration in force, whose revision is not lower.
};

/// A configuration that nodes refuse.
struct Rejection
{
    Error error;
};

struct Concern
{
    ConcernKind kind = ConcernKind::Ignored;
    ConfigurationEntry entry;
    std::string message;
};

struct EntryAdded
{
    ConfigurationEntry entry;
};

struct EntryRemoved
{
    ConfigurationEntry entry;
};

struct FieldChanged
{
    ConfigurationEntry entry;
    std::string field;
    std::string before;
    std::string after;
};

using Finding = std::variant<Rejection, Concern, EntryAdded, EntryRemoved, FieldChanged>;
using Findings = std::vector<Finding>;

/// Returns the stable, hyphenated name of `kind` used in the output.
std::string_view concernKindName(ConcernKind kind);
FindingSeverity severityOf(const Finding &finding);

/// Returns 2 if there are errors, else 1 if there are warnings, else 0.
int exitCodeOf(const Findings &findings);

/// Renders one line a finding; `+`, `-` and `~` mark differences.
std::string renderText(const Findings &findings);
/// Renders `{"findings": [{"severity", ...}]}`.
std::string renderJson(const Findings &findings);

} // namespace cornelhead
