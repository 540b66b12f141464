// Implements the queue of large bodies.
#include "cornelhead/routing/upload-queue.h"

#include <algorithm>

namespace cornelhead {
namespace detail {

// The host of a body may have a link that is narrower by then.
constexpr Milliseconds maxOverrun(500);

} // namespace detail

bool UploadQueue::goesBefore(const Waiting &left, const Waiting &right)
{
    if (left.isLate != right.isLate)
        return right.isLate;
    return left.isLate ? left.upload.deadline < right.upload.deadline
                       : left.upload.usefulBy < right.upload.usefulBy;
}

UploadQueue::Verdict UploadQueue::add(const Upload &upload, TimePoint now)
{
    const Microseconds time = link_.timeOf(upload.bytes);
    Waiting next{upload, false};
    next.isLate = now + waitBefore(next, now) + time > upload.usefulBy;
    if (next.isLate && now + waitBefore(next, now) + time > upload.deadline)
        return Verdict::Refuse;
    if (waiting_.empty() && mayStart(upload, now)) {
        start(upload, now);
        return Verdict::Start;
    }
    if (waiting_.size() >= maxWaiting)
        return Verdict::Refuse;
    insert(next);
    return Verdict::Wait;
}

void UploadQueue::remove(UploadTicket ticket)
{
    if (sending_.erase(ticket) == 0)
        waiting_.remove_if([&](const Waiting &entry) { return entry.upload.ticket == ticket; });
}

std::optional<UploadTicket> UploadQueue::startNext(TimePoint now,
                                                   std::vector<UploadTicket> &expired)
{
    while (!waiting_.empty() && mayStart(waiting_.front().upload, now)) {
        Waiting next = waiting_.front();
        waiting_.pop_front();
        const TimePoint end = now + sendingTime(now) + link_.timeOf(next.upload.bytes);
        if (end > next.upload.deadline) {
            expired.push_back(next.upload.ticket);
        } else if (!next.isLate && end > next.upload.usefulBy) {
            next.isLate = true;
            insert(next);
        } else {
            start(next.upload, now);
            return next.upload.ticket;
        }
    }
    return std::nullopt;
}

void UploadQueue::sweep(TimePoint now)
{
    std::erase_if(sending_,
                  [now](const auto &entry) { return now > entry.second + detail::maxOverrun; });
}

Microseconds UploadQueue::sendingTime(TimePoint now) const
{
    Microseconds time{};
    for (const auto &[ticket, end] : sending_)
        time = std::max(time, end - now);
    return time;
}

Microseconds UploadQueue::sendingTime(UploadTicket ticket, TimePoint now) const
{
    const auto found = sending_.find(ticket);
    return found == sending_.end() ? Microseconds(0)
                                   : std::max(Microseconds(0), found->second - now);
}

Microseconds UploadQueue::backlog(TimePoint now) const
{
    return sendingTime(now) + link_.timeOf(waitingBytes());
}

std::uint64_t UploadQueue::waitingBytes() const
{
    std::uint64_t bytes = 0;
    for (const Waiting &entry : waiting_)
        bytes += entry.upload.bytes;
    return bytes;
}

bool UploadQueue::mayStart(const Upload &upload, TimePoint now) const
{
    if (sending_.empty())
        return true;
    return sending_.size() < maxSending
            && sendingTime(now) + link_.timeOf(upload.bytes) <= maxSharedTime;
}

Microseconds UploadQueue::waitBefore(const Waiting &next, TimePoint now) const
{
    Microseconds wait = sendingTime(now);
    for (const Waiting &entry : waiting_) {
        if (!goesBefore(next, entry))
            wait += link_.timeOf(entry.upload.bytes);
    }
    return wait;
}

void UploadQueue::insert(const Waiting &waiting)
{
    const auto position = std::find_if(waiting_.begin(), waiting_.end(), [&](const Waiting &entry) {
        return goesBefore(waiting, entry);
    });
    waiting_.insert(position, waiting);
}

void UploadQueue::start(const Upload &upload, TimePoint now)
{
    sending_[upload.ticket] = now + sendingTime(now) + link_.timeOf(upload.bytes);
}

} // namespace cornelhead
