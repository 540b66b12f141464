// The canonical form of declarations: one line of JSON per record, in a fixed order.
#pragma once

#include <string>
#include <string_view>

#include "cornelhead/base/error.h"
#include "cornelhead/config/declarations.h"
#include "cornelhead/config/validation.h"

namespace cornelhead {

/// Identifies one record; records are stored in the order of their keys.
struct RecordKey
{
    RecordKind kind = RecordKind::Service;
    std::string id;

    friend auto operator<=>(const RecordKey &, const RecordKey &) = default;
};

/// Encodes one record as a line of JSON, without a newline.
std::string encodeRecord(const Service &service);
std::string encodeRecord(const Route &route);
std::string encodeRecord(const Plan &plan);
std::string encodeRecord(const Customer &customer);

/// Decodes one line and appends its record to `declarations`.  Fails with `InvalidMessage`.
Result<RecordKey> appendRecord(std::string_view line, Declarations &declarations);

} // namespace cornelhead
