// Exit codes and the two forms of output: tables for people, JSON for programs.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "cornelhead/base/error.h"

namespace cornelhead {

/// What `cornelheadctl` ends with; documented for scripts, so the numbers never change.
enum class ExitCode {
    Ok = 0,
    Refused = 1, ///< Faults, a conflict, a version taken back, a node behind.
    BadUsage = 2, ///< The command line or the environment is wrong.
    PlatformUnavailable = 3, ///< The platform was not reached; nothing was changed.
    OutcomeUnknown = 4, ///< A write may have taken effect; the message says how to find out.
};

ExitCode exitCodeOf(const Error &error);

enum class OutputFormat { Table, Json };

/// Lines up columns by their widest cell.
///
///     TextTable table({"SERVICE", "STATE"});
///     table.add({"bookings", "running"});
///     out << table.render();
class TextTable
{
public:
    explicit TextTable(std::vector<std::string> header);

    /// Adds a row with as many cells as the header has.
    void add(std::vector<std::string> row);
    std::string render() const;

private:
    // The header is the first row.
    std::vector<std::vector<std::string>> rows_;
};

/// Where a command writes, and in which form.
class Output
{
public:
    Output(OutputFormat format, std::ostream &out, std::ostream &err);

    bool isJson() const { return format_ == OutputFormat::Json; }
    /// Writes `json` or `text`, as the format asks.
    void write(const nlohmann::ordered_json &json, const std::string &text);
    /// Writes the error and returns its exit code.
    ExitCode fail(const Error &error);

private:
    OutputFormat format_;
    std::ostream *out_;
    std::ostream *err_;
};

/// Renders "2026-03-01T12:00:00Z".
std::string formatTime(std::int64_t epochMs);

} // namespace cornelhead
