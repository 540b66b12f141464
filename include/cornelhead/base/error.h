// The typed error that every fallible function of cornelhead returns.
#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace cornelhead {

/// Says what kind of failure happened, so that callers can decide without reading text.
enum class ErrorKind {
    InvalidSetting, ///< A flag or environment variable is out of range or malformed.
    InvalidDeclaration, ///< An operator's list cannot be accepted.
    InvalidMessage, ///< Bytes from another process cannot be read.
    NotFound, ///< The thing asked for does not exist.
    Conflict, ///< A compare-and-swap lost against another writer.
    Unavailable, ///< The other end refused or could not be reached; the request was not run.
    Unknown, ///< The request may or may not have been run.
    RateLimited, ///< The other end counts too many calls.
    TooLarge, ///< A value or message is beyond its limit.
    Stale, ///< The data is older than what the receiver holds.
};

/// Returns the stable, hyphenated name of `kind` that logs, answers and counters use.
std::string_view errorKindName(ErrorKind kind);

/// Describes one failure and what the reader can do about it.
struct Error
{
    ErrorKind kind = ErrorKind::Unknown;
    std::string message;
    std::string remedy;

    /// Joins kind, message and remedy in one line.
    std::string describe() const;
};

template <typename T>
using Result = tl::expected<T, Error>;

/// Makes the error side of a `Result`.
///
///     return fail(ErrorKind::NotFound, "no such plan", "add it to plans.yaml");
tl::unexpected<Error> fail(ErrorKind kind, std::string message, std::string remedy);

} // namespace cornelhead
