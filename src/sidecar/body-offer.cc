// Implements offers of calls with large bodies.
#include "cornelhead/sidecar/body-offer.h"

#include <charconv>

#include <event2/http.h>

#include "cornelhead/proxy/request-head.h"

namespace cornelhead {

std::string encodeOffer(const OfferRequest &offer)
{
    return std::to_string(offer.bodyBytes) + ' ' + encodeHopRequest(offer.hop);
}

Result<OfferRequest> decodeOffer(std::string_view text)
{
    OfferRequest offer;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, offer.bodyBytes);
    if (error != std::errc() || stop == end || *stop != ' ')
        return fail(ErrorKind::InvalidMessage, "an offer of a body cannot be parsed",
                    "check that all nodes run the same version");
    Result<HopRequest> hop
            = decodeHopRequest(text.substr(static_cast<std::size_t>(stop - text.data()) + 1));
    if (!hop)
        return tl::make_unexpected(hop.error());
    offer.hop = std::move(*hop);
    return offer;
}

namespace detail {

BodyOffer::BodyOffer(EventLoop &loop, UpstreamPool &pool, const Dialect &dialect, Address to,
                     Content content, Milliseconds timeout,
                     std::function<void(const OfferOutcome &)> onEnd)
    : loop_(loop), pool_(pool), dialect_(dialect), to_(std::move(to)), content_(std::move(content)),
      onEnd_(std::move(onEnd))
{
    timeout_ = loop_.after(timeout, [this] {
        attempt_->cancel();
        end(OfferUnanswered{});
    });
    send();
}

void BodyOffer::send()
{
    AttemptHandlers handlers;
    handlers.onHead = [](evhttp_request *) { return false; };
    handlers.onEnd = [this](const AttemptOutcome &outcome) { onAttemptEnd(outcome); };
    ConnectionSpec need{to_, {}, {}};
    if (isRepeated_)
        need.idleSince = TimePoint::max();
    attempt_ = std::make_unique<Attempt>(loop_, pool_, need, std::move(handlers));
    evkeyvalq *headers = attempt_->headers();
    const CallHeaderNames &names = dialect_.headers;
    setHeader(headers, "Host", to_.toString());
    setHeader(headers, names.requestId.c_str(), content_.id);
    setHeader(headers, names.deadline.c_str(), std::to_string(content_.timeLeft.count()));
    setHeader(headers, offerHeader, encodeOffer(content_.request));
    attempt_->send(EVHTTP_REQ_POST, offerPath);
}

void BodyOffer::onAttemptEnd(const AttemptOutcome &outcome)
{
    if (const auto *response = std::get_if<CompleteResponse>(&outcome)) {
        const std::string_view text
                = findHeader(evhttp_request_get_input_headers(response->raw), hopResponseHeader);
        Result<HopResponse> answer = decodeHopResponse(text);
        end(answer ? OfferOutcome(std::move(*answer)) : OfferOutcome(OfferUnknown{}));
        return;
    }
    // The host may have closed the idle connection at the same moment.
    if (std::exchange(isRepeated_, true))
        end(OfferUnanswered{});
    else
        deferred_ = loop_.after(Milliseconds(0), [this] { send(); });
}

void BodyOffer::end(OfferOutcome outcome)
{
    timeout_ = Timer();
    deferred_ = loop_.after(Milliseconds(0), [this, outcome = std::move(outcome)] {
        // The callback may destroy the offer.
        const auto onEnd = onEnd_;
        onEnd(outcome);
    });
}

} // namespace detail
} // namespace cornelhead
