// JSON messages of the default wire format, shared by the client and the stand-in server.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "cornelhead/base/error.h"
#include "cornelhead/net/http.h"
#include "cornelhead/platform/store-types.h"

namespace cornelhead::detail {

/// The header with the caller's data centre, for tests that simulate a partition.
constexpr const char *dataCentreHeader = "Cornelhead-Data-Centre";

/// The header of every response with the era of the store.
constexpr const char *storeEraHeader = "Store-Era";

/// Reads the header that is called `name`; nothing if it is absent or not a number up to
/// `maxStoreEra`.
std::optional<StoreEra> readEraHeader(const HttpResponse &response, const std::string &name);

/// Returns the HTTP status of an error.
int statusOf(ErrorKind kind);
/// Returns a response with the status of the error and the body
/// {"error":{"kind","message","remedy"}}.
HttpResponse errorResponse(const Error &error);
/// Reads an error response; a body without a known error kind gives `Unknown`.
Error readError(const HttpResponse &response);

nlohmann::json toJson(const KeyValue &entry);
nlohmann::json toJson(const Listing &listing);
nlohmann::json toJson(const WatchResponse &response);

/// These throw nlohmann::json::exception for a malformed message.
KeyValue readKeyValue(const nlohmann::json &json);
Listing readListing(const nlohmann::json &json);
WatchResponse readWatchResponse(const nlohmann::json &json);

} // namespace cornelhead::detail
