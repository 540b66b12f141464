// Renders moves, past configurations and differences between configurations for operators.
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

/// Whether a move meets its deadline.
enum class Timeliness {
    Pending, ///< The new version does not have full share yet; the deadline has not passed.
    InTime,
    Late,
    NotApplicable, ///< The move was rolled back.
};

std::string_view timelinessName(Timeliness timeliness);

/// Returns when the new version first got full share, in epoch milliseconds, if it ever did.
std::optional<std::int64_t> fullShareAtMs(const Move &move);
Timeliness timelinessOf(const Move &move, std::int64_t nowMs);

nlohmann::ordered_json moveToJson(const Move &move, std::int64_t nowMs);

/// The version in force of a service, and its latest move if it had one.
struct ServiceReport
{
    ServiceId service;
    VersionId version;
    std::optional<Move> move;
};

/// Joins declared services with moves; includes services that have moves but are not declared.
std::vector<ServiceReport> makeReports(const std::vector<Service> &services,
                                       const MoveTable &table);

nlohmann::ordered_json reportToJson(const std::vector<ServiceReport> &reports, std::int64_t nowMs);
std::string reportToText(const std::vector<ServiceReport> &reports, std::int64_t nowMs);
/// Renders the events of a move, one per line.
std::string eventsToText(const Move &move);

nlohmann::ordered_json historyToJson(const std::vector<Manifest> &manifests);
std::string historyToText(const std::vector<Manifest> &manifests);

/// One record that a delta adds, changes or removes.
struct RecordChange
{
    enum class Kind { Added, Changed, Removed };

    Kind kind = Kind::Added;
    RecordKey key;
    /// The record's canonical line; empty if the record is removed.
    std::string line;
};

/// Returns the changes that `delta` makes to `base`, in canonical order.
std::vector<RecordChange> changesOf(const Declarations &base, const Delta &delta);
nlohmann::ordered_json changesToJson(const std::vector<RecordChange> &changes);
std::string changesToText(const std::vector<RecordChange> &changes);

} // namespace cornelhead
