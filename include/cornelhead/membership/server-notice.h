// What a backend server reports about itself in its responses.
#pragma once

#include <optional>
#include <string_view>

#include "cornelhead/base/error.h"
#include "cornelhead/base/units.h"

namespace cornelhead {

/// Holds from the response that carries it until the next response of the same run.
struct ServerNotice
{
    /// Calls that the server accepts from all hosts together; nothing for no limit.
    std::optional<CallRate> limit;
    /// The server accepts no further calls.
    bool isLeaving = false;

    friend bool operator==(const ServerNotice &, const ServerNotice &) = default;
};

/// Reads the values of the two headers; an absent header is empty.  Fails with `InvalidMessage`
/// unless the limit is a decimal number of calls per second.
Result<ServerNotice> readServerNotice(std::string_view limit, std::string_view leaving);

} // namespace cornelhead
