// Exit codes and output formats: tables for people, JSON for programs.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "cornelhead/base/error.h"

namespace cornelhead {

/// Exit codes of `cornelheadctl`; documented for scripts, so the numbers never change.
enum class ExitCode {
    Ok = 0,
    Refused = 1, ///< Invalid input, a conflict, a rolled back version or an outdated node.
    BadUsage = 2, ///< The command line or the environment is wrong.
    PlatformUnavailable = 3, ///< The platform could not be reached; nothing was changed.
    OutcomeUnknown = 4, ///< A write may have taken effect; the message says how to check.
};

ExitCode exitCodeOf(const Error &error);

enum class OutputFormat { Table, Json };

/// A text table whose columns are as wide as their widest cell.
///
///     TextTable table({"SERVICE", "STATE"});
///     table.add({"bookings", "running"});
///     out << table.render();
class TextTable
{
public:
    explicit TextTable(std::vector<std::string> header);

    /// Adds a row, which must have as many cells as the header.
    void add(std::vector<std::string> row);
    std::string render() const;

private:
    // The header is the first row.
    std::vector<std::vector<std::string>> rows_;
};

/// The output streams and format of a command.
class Output
{
public:
    Output(OutputFormat format, std::ostream &out, std::ostream &err);

    bool isJson() const { return format_ == OutputFormat::Json; }
    /// Writes `json` or `text`, depending on the format.
    void write(const nlohmann::ordered_json &json, const std::string &text);
    /// Writes the error to standard error, and as JSON to standard output if the format is JSON;
    /// returns its exit code.
    ExitCode fail(const Error &error);

private:
    OutputFormat format_;
    std::ostream *out_;
    std::ostream *err_;
};

/// Formats a time in UTC, such as "2026-03-01T12:00:00Z".
std::string formatTime(std::int64_t epochMs);

} // namespace cornelhead
