// Renders tables, JSON, errors and times.
#include "cornelhead/ctl/output.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <ostream>
#include <utility>

#include "cornelhead/base/check.h"

namespace cornelhead {

ExitCode exitCodeOf(const Error &error)
{
    switch (error.kind) {
    case ErrorKind::InvalidSetting:
        return ExitCode::BadUsage;
    case ErrorKind::Unavailable:
    case ErrorKind::RateLimited:
        return ExitCode::PlatformUnavailable;
    case ErrorKind::Unknown:
        return ExitCode::OutcomeUnknown;
    case ErrorKind::InvalidDeclaration:
    case ErrorKind::InvalidMessage:
    case ErrorKind::NotFound:
    case ErrorKind::Conflict:
    case ErrorKind::TooLarge:
    case ErrorKind::Stale:
        return ExitCode::Refused;
    }
    return ExitCode::Refused;
}

TextTable::TextTable(std::vector<std::string> header)
{
    rows_.push_back(std::move(header));
}

void TextTable::add(std::vector<std::string> row)
{
    CORNELHEAD_CHECK(row.size() == rows_.front().size());
    rows_.push_back(std::move(row));
}

std::string TextTable::render() const
{
    std::vector<std::size_t> widths(rows_.front().size(), 0);
    for (const auto &row : rows_) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (const auto &row : rows_) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i];
            line.append(widths[i] - row[i].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

Output::Output(OutputFormat format, std::ostream &out, std::ostream &err)
    : format_(format), out_(&out), err_(&err)
{ }

void Output::write(const nlohmann::ordered_json &json, const std::string &text)
{
    if (isJson())
        *out_ << json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << std::endl;
    else
        *out_ << text << std::flush;
}

ExitCode Output::fail(const Error &error)
{
    const nlohmann::ordered_json json = {{"error",
                                          {{"kind", errorKindName(error.kind)},
                                           {"message", error.message},
                                           {"remedy", error.remedy}}}};
    if (isJson())
        write(json, {});
    *err_ << error.describe() << std::endl;
    return exitCodeOf(error);
}

std::string formatTime(std::int64_t epochMs)
{
    const std::time_t seconds = static_cast<std::time_t>(epochMs / 1000);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text.data();
}

} // namespace cornelhead
