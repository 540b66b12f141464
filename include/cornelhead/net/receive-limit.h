// Limits what a client of HTTP reads besides the body of a response.  Does no I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace cornelhead::detail {

/// What a response has too much of.
enum class ReceiveFault {
    Heads, ///< The heads, including those of interim responses.
    Framing, ///< Chunk sizes, chunk extensions and trailers.
    Body, ///< The body, or bytes of it that cannot be consumed yet.
    Budget, ///< More than other responses, while the connections together hold too much.
};

constexpr std::size_t receiveFaultCount = static_cast<std::size_t>(ReceiveFault::Budget) + 1;

/// Returns the name of `fault` in logs and metrics.
std::string_view receiveFaultName(ReceiveFault fault);

/// Counts the bytes of one response by what they are.
///
/// Invariant: until `fault` returns one, what the parser has consumed besides the body is less than
/// a fixed number of bytes and a multiple of the body, however many messages it came in.
class ReceiveLimit
{
public:
    /// Bytes that the parser has consumed: heads, framing and body.
    void addConsumed(std::size_t bytes) { consumed_ += bytes; }
    /// Bytes of the body, which were consumed before.
    void addBody(std::size_t bytes) { body_ += bytes; }
    /// The head of the final response was consumed.  Without `isChunked`, all that follows is body.
    void startBody(bool isChunked, std::size_t maxBodyBytes);
    bool isBodyStarted() const { return isBodyStarted_; }

    /// Returns what there is too much of while `unread` bytes wait for the parser, which must not
    /// be in the middle of handing over a part of the body.
    std::optional<ReceiveFault> fault(std::size_t unread) const;

    /// Limit of all heads of a response together.
    static constexpr std::size_t maxHeadBytes = 64 * 1024;
    /// Bytes that may wait for the parser before the final head: a head and a read.
    static constexpr std::size_t maxUnreadHeadBytes = 2 * maxHeadBytes;

private:
    std::size_t consumed_ = 0;
    std::size_t headBytes_ = 0;
    std::size_t body_ = 0;
    std::size_t maxBodyBytes_ = 0;
    bool isBodyStarted_ = false;
    bool isChunked_ = false;
};

} // namespace cornelhead::detail
