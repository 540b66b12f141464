// Reads the notices of backend servers.
#include "cornelhead/membership/server-notice.h"

#include <charconv>
#include <cmath>
#include <string>

namespace cornelhead {

Result<ServerNotice> readServerNotice(std::string_view limit, std::string_view leaving)
{
    ServerNotice notice;
    notice.isLeaving = !leaving.empty() && leaving != "0";
    if (limit.empty())
        return notice;
    double perSecond = 0.0;
    const char *end = limit.data() + limit.size();
    const auto [stop, error]
            = std::from_chars(limit.data(), end, perSecond, std::chars_format::fixed);
    if (error != std::errc() || stop != end || !std::isfinite(perSecond) || perSecond < 0.0)
        return fail(ErrorKind::InvalidMessage,
                    "the limit of a server is not a decimal number: '" + std::string(limit) + "'",
                    "send the number of calls per second, such as 12.5");
    notice.limit = CallRate(perSecond);
    return notice;
}

} // namespace cornelhead
