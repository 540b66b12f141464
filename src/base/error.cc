// Formats errors and their kinds.
#include "cornelhead/base/error.h"

#include <utility>

namespace cornelhead {

std::string_view errorKindName(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidSetting:
        return "invalid-setting";
    case ErrorKind::InvalidDeclaration:
        return "invalid-declaration";
    case ErrorKind::InvalidMessage:
        return "invalid-message";
    case ErrorKind::NotFound:
        return "not-found";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::Unavailable:
        return "unavailable";
    case ErrorKind::Unknown:
        return "unknown";
    case ErrorKind::RateLimited:
        return "rate-limited";
    case ErrorKind::TooLarge:
        return "too-large";
    case ErrorKind::Stale:
        return "stale";
    }
    return "unknown";
}

std::string Error::describe() const
{
    std::string text(errorKindName(kind));
    text += ": " + message;
    if (!remedy.empty())
        text += "; " + remedy;
    return text;
}

tl::unexpected<Error> fail(ErrorKind kind, std::string message, std::string remedy)
{
    return tl::unexpected<Error>(Error{kind, std::move(message), std::move(remedy)});
}

} // namespace cornelhead
