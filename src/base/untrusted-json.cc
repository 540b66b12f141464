// Implements the parsing of JSON within bounds.
#include "cornelhead/base/untrusted-json.h"

namespace cornelhead {
namespace detail {

// Returns whether no more than `depth` brackets are open at any point.
bool isWithinDepth(std::string_view text, std::size_t depth)
{
    std::size_t open = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (isInString) {
            i += c == '\\' ? 1 : 0;
            isInString = c != '"';
        } else if (c == '"') {
            isInString = true;
        } else if (c == '[' || c == '{') {
            if (++open > depth)
                return false;
        } else if ((c == ']' || c == '}') && open > 0) {
            --open;
        }
    }
    return true;
}

} // namespace detail

Result<nlohmann::json> parseUntrustedJson(std::string_view text, const JsonLimits &limits)
{
    if (text.size() > limits.bytes || !detail::isWithinDepth(text, limits.depth)) {
        return fail(ErrorKind::TooLarge, "a JSON text is too long or too deeply nested",
                    "check which program wrote it");
    }
    nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded()) {
        return fail(ErrorKind::InvalidMessage, "a JSON text is malformed",
                    "check which program wrote it");
    }
    return json;
}

} // namespace cornelhead
