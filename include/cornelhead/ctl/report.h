// What operators read: the moves of services, past configurations and differences.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "cornelhead/config/delta.h"
#include "cornelhead/config/manifest.h"
#include "cornelhead/rollout/move.h"

namespace cornelhead {

/// How a move stands against its deadline.
enum class Timeliness {
    Pending, ///< The share is not full yet, and the deadline has not passed.
    InTime,
    Late,
    NotApplicable, ///< Taken back.
};

std::string_view timelinessName(Timeliness timeliness);

/// Returns when the new version first had every call, if it ever had.
std::optional<std::int64_t> fullShareAt(const Move &move);
Timeliness timelinessOf(const Move &move, std::int64_t nowMs);

nlohmann::ordered_json moveToJson(const Move &move, std::int64_t nowMs);

/// The version that each service has, with its latest move if it ever moved.
struct ServiceReport
{
    ServiceId service;
    VersionId version;
    std::optional<Move> move;
};

/// Joins the declared services with the moves; a service that is no longer declared stays listed.
std::vector<ServiceReport> joinReport(const std::vector<Service> &services, const MoveTable &table);

nlohmann::ordered_json reportToJson(const std::vector<ServiceReport> &reports, std::int64_t nowMs);
std::string reportToText(const std::vector<ServiceReport> &reports, std::int64_t nowMs);
/// Renders the events of one move, one a line.
std::string eventsToText(const Move &move);

nlohmann::ordered_json historyToJson(const std::vector<Manifest> &manifests);
std::string historyToText(const std::vector<Manifest> &manifests);

/// One record that a delta adds, changes or removes.
struct RecordChange
{
    enum class Kind { Added, Changed, Removed };

    Kind kind = Kind::Added;
    RecordKey key;
    /// The canonical line; empty for a removal.
    std::string line;
};

/// Returns what `delta` does to `base`, in canonical order.
std::vector<RecordChange> changesOf(const Declarations &base, const Delta &delta);
nlohmann::ordered_json changesToJson(const std::vector<RecordChange> &changes);
std::string changesToText(const std::vector<RecordChange> &changes);

} // namespace cornelhead
