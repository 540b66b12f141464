// Implements the sending of large bodies.
#include "cornelhead/sidecar/upload-sender.h"

namespace cornelhead::detail {

namespace {

constexpr const char *outboundPart = "entry";

} // namespace

UploadSender::UploadSender(EventLoop &loop, LinkSpeed link, Metrics &metrics, EventLog &log)
    : loop_(loop), log_(log), queue_(link),
      offers_(metrics.counter("cornelhead_entry_offers_total")),
      offersRefused_(metrics.counter("cornelhead_entry_offers_refused_total")),
      offersUnanswered_(metrics.counter("cornelhead_entry_offers_unanswered_total")),
      uploadsRefused_(metrics.counter("cornelhead_entry_uploads_refused_total")),
      waitingBytes_(metrics.gauge("cornelhead_entry_upload_bytes_waiting"))
{ }

UploadQueue::Verdict UploadSender::add(const std::string &id, Upload &upload,
                                       std::function<void(UploadTurn)> onTurn)
{
    const TimePoint time = now(SteadyClock());
    lastTicket_ = lastTicket_.next();
    upload.ticket = lastTicket_;
    const UploadQueue::Verdict verdict = queue_.add(upload, time);
    if (verdict == UploadQueue::Verdict::Wait)
        waiting_.emplace(upload.ticket, std::move(onTurn));
    waitingBytes_.set(static_cast<std::int64_t>(queue_.waitingBytes()));
    if (verdict == UploadQueue::Verdict::Refuse) {
        uploadsRefused_.add();
        log_.write(EventKind::Failure, outboundPart, "upload-refused",
                   {{"id", id},
                    {"bytes", upload.bytes},
                    {"bytesWaiting", queue_.waitingBytes()},
                    {"backlogMs", queue_.backlog(time).count() / 1000}});
    }
    return verdict;
}

void UploadSender::recordSent(UploadTicket ticket)
{
    const Microseconds left = queue_.sendingTime(ticket, now(SteadyClock()));
    if (left == Microseconds(0)) {
        release(ticket);
        return;
    }
    leaving_[ticket] = loop_.after(std::chrono::ceil<Milliseconds>(left),
                                   [this, ticket] { release(ticket); });
}

void UploadSender::release(UploadTicket ticket)
{
    leaving_.erase(ticket);
    queue_.remove(ticket);
    waiting_.erase(ticket);
    scheduleNext();
}

void UploadSender::sweep()
{
    queue_.sweep(now(SteadyClock()));
    scheduleNext();
}

void UploadSender::recordOfferEnd(const std::string &id, const Address &node,
                                  const OfferOutcome &outcome)
{
    if (std::holds_alternative<OfferUnknown>(outcome))
        return;
    const auto *response = std::get_if<HopResponse>(&outcome);
    if (response && response->reason == HopReason::None)
        return;
    (response ? offersRefused_ : offersUnanswered_).add();
    if (!log_.hasBudget(EventKind::Failure))
        return;
    log_.write(EventKind::Failure, outboundPart, "offer-refused",
               {{"id", id},
                {"node", node.toString()},
                {"reason", response ? hopReasonName(response->reason) : "unanswered"},
                {"inboundBytes", response ? response->report.link.bytes : 0}});
}

void UploadSender::scheduleNext()
{
    if (waiting_.empty() || std::exchange(isNextScheduled_, true))
        return;
    nextTimer_ = loop_.after(Milliseconds(0), [this] {
        isNextScheduled_ = false;
        startNext();
    });
}

void UploadSender::startNext()
{
    std::vector<UploadTicket> expired;
    std::vector<UploadTicket> started;
    while (const auto ticket = queue_.startNext(now(SteadyClock()), expired))
        started.push_back(*ticket);
    waitingBytes_.set(static_cast<std::int64_t>(queue_.waitingBytes()));
    for (const UploadTicket ticket : started)
        notify(ticket, UploadTurn::Send);
    for (const UploadTicket ticket : expired) {
        uploadsRefused_.add();
        notify(ticket, UploadTurn::TooLate);
    }
}

void UploadSender::notify(UploadTicket ticket, UploadTurn turn)
{
    const auto entry = waiting_.find(ticket);
    if (entry == waiting_.end())
        return;
    const std::function<void(UploadTurn)> onTurn = std::move(entry->second);
    waiting_.erase(entry);
    onTurn(turn);
}

} // namespace cornelhead::detail
