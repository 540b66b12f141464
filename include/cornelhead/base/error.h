// The error and result types of all fallible functions.
#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace cornelhead {

/// The category of an error, on which callers decide.
enum class ErrorKind {
    InvalidSetting, ///< A flag or environment variable is out of range or malformed.
    InvalidDeclaration, ///< An operator's declaration file is invalid.
    InvalidMessage, ///< A message from another process is malformed, or a value cannot be encoded.
    NotFound, ///< The requested object does not exist.
    Conflict, ///< A compare-and-swap failed: the value was changed by another writer.
    Unavailable, ///< The peer refused or could not be reached; the request was not executed.
    Unknown, ///< The request may or may not have been executed.
    RateLimited, ///< The peer rejected the call because of its rate limit.
    TooLarge, ///< A value or message exceeds its size limit.
    Stale, ///< The given revision or data is too old.
};

/// Returns the stable, hyphenated name of `kind` used in logs, responses and metrics.
std::string_view errorKindName(ErrorKind kind);

/// An error with a message and a remedy for the operator; an empty remedy is left out.
struct Error
{
    ErrorKind kind = ErrorKind::Unknown;
    std::string message;
    std::string remedy;

    /// Returns "kind: message; remedy".
    std::string describe() const;
};

template <typename T>
using Result = tl::expected<T, Error>;

/// Returns an error that converts to any `Result`.
///
///     return fail(ErrorKind::NotFound, "no such plan", "add it to plans.yaml");
tl::unexpected<Error> fail(ErrorKind kind, std::string message, std::string remedy);

} // namespace cornelhead
