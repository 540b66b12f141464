// The large bodies that the outbound proxy of a node sends, and the offers that precede them.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "cornelhead/base/event-log.h"
#include "cornelhead/base/metrics.h"
#include "cornelhead/net/event-loop.h"
#include "cornelhead/routing/upload-queue.h"
#include "cornelhead/sidecar/body-offer.h"

namespace cornelhead::detail {

/// Tells a waiting upload that it may be sent, or that it no longer can be in time.
enum class UploadTurn { Send, TooLate };

/// Runs the queue of large bodies, counts and logs.
class UploadSender
{
public:
    UploadSender(EventLoop &loop, LinkSpeed link, Metrics &metrics, EventLog &log);

    /// Adds the body of the call `id`, whose ticket is set here.  `onTurn` runs outside of this
    /// function, once, if the verdict is `Wait` and the place is not released before.
    UploadQueue::Verdict add(const std::string &id, Upload &upload,
                             std::function<void(UploadTurn)> onTurn);
    /// The kernel has taken the whole body; its place is freed once the link has sent it.
    void recordSent(UploadTicket ticket);
    /// Frees the place of a body that was sent or is given up; may run in any callback.
    void release(UploadTicket ticket);
    /// To be called a few times a second.
    void sweep();

    void countOffer() { offers_.add(); }
    void recordOfferEnd(const std::string &id, const Address &node, const OfferOutcome &outcome);

    const UploadQueue &queue() const { return queue_; }

private:
    void scheduleNext();
    void startNext();
    void notify(UploadTicket ticket, UploadTurn turn);

    EventLoop &loop_;
    EventLog &log_;
    UploadQueue queue_;
    UploadTicket lastTicket_;
    std::map<UploadTicket, std::function<void(UploadTurn)>> waiting_;
    // Bodies that the kernel still holds.
    std::map<UploadTicket, Timer> leaving_;
    Timer nextTimer_;
    bool isNextScheduled_ = false;
    Counter &offers_;
    Counter &offersRefused_;
    Counter &offersUnanswered_;
    Counter &uploadsRefused_;
    Gauge &waitingBytes_;
};

} // namespace cornelhead::detail
