// The message by which the node of a caller asks the node of a server for room before it sends the
// large body of a call.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "cornelhead/proxy/attempt.h"
#include "cornelhead/sidecar/dialect.h"
#include "cornelhead/sidecar/hop.h"

namespace cornelhead {

/// Carries the offer.  Not the header of calls, so that a node of an earlier version cannot take
/// the offer for a call.
constexpr const char *offerHeader = "Cornelhead-Offer";
constexpr const char *offerPath = "/cornelhead/offer";

/// What the caller's node says of a call that it offers.
struct OfferRequest
{
    std::uint64_t bodyBytes = 0;
    HopRequest hop;
};

std::string encodeOffer(const OfferRequest &offer);
/// Fails with `InvalidMessage`.
Result<OfferRequest> decodeOffer(std::string_view text);

namespace detail {

/// The host did not answer, although it was asked again on a new connection if the first broke.
struct OfferUnanswered
{ };
/// The host runs an earlier version that knows no offers.
struct OfferUnknown
{ };
/// With a response, `HopReason::None` means that room is held for the call.
using OfferOutcome = std::variant<HopResponse, OfferUnanswered, OfferUnknown>;

/// One offer to one host.  An offer runs nothing, so it may be repeated and given up at any time.
class BodyOffer
{
public:
    struct Content
    {
        std::string id;
        OfferRequest request;
        /// Time left of the call's deadline.
        Milliseconds timeLeft{};
    };

    /// Sends the offer.  `onEnd` may destroy it.
    BodyOffer(EventLoop &loop, UpstreamPool &pool, const Dialect &dialect, Address to,
              Content content, Milliseconds timeout,
              std::function<void(const OfferOutcome &)> onEnd);

private:
    void send();
    void onAttemptEnd(const AttemptOutcome &outcome);
    /// Ends the offer outside of the callbacks of its attempt.
    void end(OfferOutcome outcome);

    EventLoop &loop_;
    UpstreamPool &pool_;
    const Dialect &dialect_;
    const Address to_;
    const Content content_;
    const std::function<void(const OfferOutcome &)> onEnd_;
    std::unique_ptr<Attempt> attempt_;
    Timer timeout_;
    Timer deferred_;
    bool isRepeated_ = false;
};

} // namespace detail
} // namespace cornelhead
