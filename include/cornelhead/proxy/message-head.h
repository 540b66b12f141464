// Checks the heads of HTTP messages where evhttp is lenient, and edits their fields.
#pragma once

#include <array>
#include <cstddef>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

struct evhttp_request;
struct evkeyvalq;

namespace cornelhead::detail {

/// Why a head is invalid according to RFC 9110 and RFC 9112.
enum class HeadFault {
    StatusCode, ///< Not the status code of a final response.
    ReasonPhrase, ///< The reason phrase contains a control character.
    FieldName, ///< A field name is not a token.
    FieldValue, ///< A field value contains a control character.
    Framing, ///< The length of the body is malformed, or stated more than once.
    RepeatedField, ///< A field occurs more often than once, so that readers may disagree on it.
};

constexpr std::size_t headFaultCount = static_cast<std::size_t>(HeadFault::RepeatedField) + 1;

/// Returns the name of `fault` in logs and metrics.
std::string_view headFaultName(HeadFault fault);

/// Returns the first fault of a request's head.  `Host` and `singleFields` may occur once.
std::optional<HeadFault> findRequestFault(const evkeyvalq *headers,
                                          std::initializer_list<const char *> singleFields);

/// Returns the first fault of a final response's head.
std::optional<HeadFault> findResponseFault(evhttp_request *response);

/// Returns whether two field names are the same, ignoring case.
bool isSameHeader(std::string_view left, std::string_view right);

/// Returns the value of the first header with this name, or an empty view if there is none.
std::string_view findHeader(const evkeyvalq *headers, const char *name);

/// Removes all headers with this name; `evhttp_remove_header` removes only the first.
void removeHeader(evkeyvalq *headers, const char *name);

/// Replaces all headers with this name by one.
void setHeader(evkeyvalq *headers, const char *name, const std::string &value);

/// Returns whether a header with this name occurs, and each time with `value`.
bool hasOnlyValue(const evkeyvalq *headers, std::string_view name, std::string_view value);

} // namespace cornelhead::detail
