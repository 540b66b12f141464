// The platform's JSON messages, shared by the client and the stand-in server.
#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "cornelhead/base/error.h"
#include "cornelhead/net/http.h"
#include "cornelhead/platform/store-types.h"

namespace cornelhead::detail {

/// Names the data centre of the caller, for tests that cut it off.
constexpr const char *dataCentreHeader = "Cornelhead-Data-Centre";

/// Maps an error to the status of its answer.
int statusOf(ErrorKind kind);
/// Renders {"error":{"kind","message","remedy"}} with the status of the kind.
HttpResponse errorResponse(const Error &error);
/// Reads an error answer; one that is no JSON gives `Unknown`.
Error readError(const HttpResponse &response);

nlohmann::json toJson(const KeyValue &entry);
nlohmann::json toJson(const Listing &listing);
nlohmann::json toJson(const WatchAnswer &answer);

/// These throw nlohmann::json::exception for a message of another shape.
KeyValue readKeyValue(const nlohmann::json &json);
Listing readListing(const nlohmann::json &json);
WatchAnswer readWatchAnswer(const nlohmann::json &json);

} // namespace cornelhead::detail
