// Reads the requests of one connection from its bytes, in whatever parts they arrive.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <http_parser.h>

#include "cornelhead/sidecar/received-request.h"

namespace cornelhead::detail {

/// Why a connection cannot be read on.  It is uncertain where the next request begins.
enum class ReadFault {
    Malformed,
    TooLarge, ///< The head or the body is longer than the limit.
    UnknownMethod, ///< A method that is not forwarded.
};

/// Takes bytes in and yields requests, without a socket.
///
/// Invariant: `takeRequest` yields the requests in the order of their bytes, and none behind a
/// fault.
class RequestReader
{
public:
    static constexpr std::uint32_t maxHeadBytes = 16 * 1024;
    static constexpr std::size_t defaultBodyBytes = 8 * 1024 * 1024;

    explicit RequestReader(std::size_t maxBodyBytes);
    RequestReader(const RequestReader &) = delete;
    RequestReader &operator=(const RequestReader &) = delete;

    /// Consumes bytes until a request is complete or a fault is found; returns how many.  A
    /// complete request must be taken before the next call.
    std::size_t feed(std::string_view bytes);
    /// Returns the request that is complete, or null if none is.
    std::unique_ptr<ReceivedRequest> takeRequest();
    std::optional<ReadFault> fault() const { return fault_; }
    /// Returns true once for a request whose caller waits for 100 (Continue) before the body.
    bool takeExpectation() { return std::exchange(isContinueExpected_, false); }
    /// Returns whether a part of a request has been read.
    bool isInRequest() const { return request_ != nullptr; }
    /// Returns whether a body is being read.
    bool isInBody() const { return request_ && isHeadRead_; }
    /// Returns what the request that is being read takes in memory.
    std::size_t heldBytes() const;

private:
    struct Callbacks;

    void addHeader();
    int failWith(ReadFault fault);
    int onFieldName(std::string_view part);
    int onFieldValue(std::string_view part);
    int onHeadRead();
    int onBody(std::string_view part);

    const std::size_t maxBodyBytes_;
    http_parser parser_{};
    // The bytes that are being fed.
    std::string_view input_;
    std::unique_ptr<ReceivedRequest> request_;
    std::string fieldName_;
    std::string fieldValue_;
    std::size_t bodyBytes_ = 0;
    std::optional<ReadFault> fault_;
    // The end of the value's line was read, so that a further part of it is on a folded line.
    bool isValueEnded_ = false;
    bool isHeadRead_ = false;
    bool isComplete_ = false;
    bool isContinueExpected_ = false;
};

} // namespace cornelhead::detail
