// The queue of large bodies before the link of the node that sends them.
//
// Load pattern: a burst of uploads arrives at a node faster than its link can send them.  Sent all
// at once, each of them ends late and every small call of the node waits behind all of them.  So
// two bodies are sent at a time, the second while the first waits for its host; the others wait in
// the order of their deadlines, and what cannot be sent in time is refused at once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <vector>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/routing/link-load.h"

namespace cornelhead {

/// Identifies a large body at the node that sends it.
using UploadTicket = Number<struct UploadTicketTag>;

struct Upload
{
    UploadTicket ticket;
    std::uint64_t bytes = 0;
    /// A body sent by then can still meet the call's objective.
    TimePoint usefulBy{};
    /// A body that is sent later is of no use.
    TimePoint deadline{};
};

/// Decides which large bodies are sent, wait or are refused.  Does no I/O and reads no clock.
///
/// Invariant: at most `maxSending` bodies are sent at once, and two only if the link needs at most
/// `maxSharedTime` for them; at most `maxWaiting` wait.
class UploadQueue
{
public:
    static constexpr std::size_t maxSending = 2;
    static constexpr std::size_t maxWaiting = 64;

    enum class Verdict {
        Start,
        Wait,
        Refuse, ///< The body could not be sent in time.
    };

    explicit UploadQueue(LinkSpeed link) : link_(link) { }

    Verdict add(const Upload &upload, TimePoint now);
    /// Ends an upload that was sent, or that is given up.
    void remove(UploadTicket ticket);
    /// Starts the next waiting upload if there is room.  Uploads before it that can no longer meet
    /// their deadline are removed and appended to `expired`.
    std::optional<UploadTicket> startNext(TimePoint now, std::vector<UploadTicket> &expired);
    /// Frees the places of bodies that take much longer than the link needs, as their hosts do not
    /// read them.  To be called a few times a second.
    void sweep(TimePoint now);

    /// Returns the expected time until the bodies that are being sent have left.
    Microseconds sendingTime(TimePoint now) const;
    /// Returns the time until the link has sent this body; 0 if it is not being sent.
    Microseconds sendingTime(UploadTicket ticket, TimePoint now) const;
    /// Returns the expected time until all bodies have left.
    Microseconds backlog(TimePoint now) const;
    std::uint64_t waitingBytes() const;
    LinkSpeed link() const { return link_; }

private:
    struct Waiting
    {
        Upload upload;
        // Cannot meet its objective any more, so it waits behind all that can.
        bool isLate = false;
    };

    bool mayStart(const Upload &upload, TimePoint now) const;
    /// Returns the expected wait of an upload behind those that go before it.
    Microseconds waitBefore(const Waiting &next, TimePoint now) const;
    static bool goesBefore(const Waiting &left, const Waiting &right);
    void insert(const Waiting &waiting);
    void start(const Upload &upload, TimePoint now);

    LinkSpeed link_;
    // When the link is expected to have sent the body.
    std::map<UploadTicket, TimePoint> sending_;
    // In the order of `goesBefore`.
    std::list<Waiting> waiting_;
};

} // namespace cornelhead
