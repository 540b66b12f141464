// Checks the status lines of responses, which evhttp parses leniently: it takes "0200", "+200" and
// "200x" for 200.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

#include <event2/buffer.h>

namespace cornelhead::detail {

/// Bytes of a status line up to the one behind its status code.
constexpr std::size_t statusLineStart = 13;

/// Returns whether `bytes` begin with a version and a status code of three digits; nothing while
/// there are too few bytes to tell.
inline std::optional<bool> beginsWithStatusLine(std::string_view bytes)
{
    // 'S' stands for a digit above 0, '0' for any digit, '\n' for the end of the status code.
    constexpr std::string_view pattern = "HTTP/1.0 S00\n";
    static_assert(pattern.size() == statusLineStart);
    for (std::size_t i = 0; i < pattern.size(); ++i) {
        if (i >= bytes.size())
            return std::nullopt;
        const char c = bytes[i];
        const bool isAllowed = pattern[i] == '0' ? c >= '0' && c <= '9'
                : pattern[i] == 'S'              ? c >= '1' && c <= '9'
                : pattern[i] == '\n'             ? c == ' ' || c == '\r' || c == '\n'
                                                 : c == pattern[i];
        if (!isAllowed)
            return false;
    }
    return true;
}

/// Looks at the input of a connection while a status line is due at its front.
class StatusLineCheck
{
public:
    /// To be called after each addition to the buffer, before evhttp consumes it.
    void observe(evbuffer *input)
    {
        if (!isDue_)
            return;
        std::array<char, statusLineStart> start{};
        const ev_ssize_t size = evbuffer_copyout(input, start.data(), start.size());
        const std::string_view bytes(start.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
        const std::optional<bool> isValid = beginsWithStatusLine(bytes);
        if (!isValid)
            return;
        isDue_ = false;
        isInvalid_ = !*isValid;
    }
    /// An interim response has been consumed: another status line follows it.
    void expectNext(evbuffer *input)
    {
        isDue_ = !isInvalid_;
        observe(input);
    }
    bool isInvalid() const { return isInvalid_; }

private:
    bool isDue_ = true;
    bool isInvalid_ = false;
};

} // namespace cornelhead::detail
