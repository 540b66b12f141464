// Implements the limits of what a client reads.
#include "cornelhead/net/receive-limit.h"

#include <array>

namespace cornelhead::detail {

namespace {

constexpr std::array<std::string_view, receiveFaultCount> faultNames
        = {"heads", "framing", "body", "budget"};

constexpr std::size_t maxFramingBytes = 64 * 1024;
// A chunk of one byte has at least five bytes of framing.
constexpr std::size_t maxFramingPerBodyByte = 16;

} // namespace

std::string_view receiveFaultName(ReceiveFault fault)
{
    return faultNames[static_cast<std::size_t>(fault)];
}

void ReceiveLimit::startBody(bool isChunked, std::size_t maxBodyBytes)
{
    headBytes_ = consumed_;
    isBodyStarted_ = true;
    isChunked_ = isChunked;
    maxBodyBytes_ = maxBodyBytes;
}

std::optional<ReceiveFault> ReceiveLimit::fault(std::size_t unread) const
{
    if (!isBodyStarted_)
        return consumed_ > maxHeadBytes ? std::optional(ReceiveFault::Heads) : std::nullopt;
    if (unread > maxBodyBytes_ + maxUnreadHeadBytes)
        return ReceiveFault::Body;
    const std::size_t framing = consumed_ - headBytes_ - body_;
    if (isChunked_ && framing > maxFramingBytes + maxFramingPerBodyByte * body_)
        return ReceiveFault::Framing;
    return std::nullopt;
}

} // namespace cornelhead::detail
