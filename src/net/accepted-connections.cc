// Implements the limits of accepted connections.
#include "cornelhead/net/accepted-connections.h"

#include <sys/socket.h>

#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

namespace cornelhead::detail {

namespace {

// Sweeps without progress after which a request is given up; a process that was frozen has not read
// what waits.
constexpr int maxSweepsWithoutProgress = 4;
// What one read may add beyond a whole request.
constexpr std::size_t readBytes = 64 * 1024;
// Checked for each new connection, so that many short ones are released before the next sweep.
constexpr std::size_t checksPerConnection = 4;
// The allocation that holds the first bytes of an empty buffer, however few they are.
constexpr std::size_t allocationBytes = 1024;

} // namespace

struct AcceptedConnections::Connection
{
    Connection(AcceptedConnections &connections, bufferevent *handle)
        : owner(connections), events(handle), maxUnreadBytes(connections.maxUnreadBytes_),
          held(connections.loop_.buffers(), BufferUse::Call, [this] { close(); })
    {
        // evhttp doesn't tell when it frees a connection, so that the reference keeps the buffers.
        bufferevent_incref(events);
        inputCallback = evbuffer_add_cb(input(), &Connection::onInput, this);
        outputCallback = evbuffer_add_cb(output(), &Connection::onOutput, this);
        bufferevent_setwatermark(events, EV_READ, 0, maxUnreadBytes);
    }
    ~Connection()
    {
        evbuffer_remove_cb_entry(input(), inputCallback);
        evbuffer_remove_cb_entry(output(), outputCallback);
        bufferevent_decref(events);
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    evbuffer *input() const { return bufferevent_get_input(events); }
    evbuffer *output() const { return bufferevent_get_output(events); }
    bool isFreed() const
    {
        bufferevent_data_cb onRead = nullptr;
        bufferevent_getcb(events, &onRead, nullptr, nullptr, nullptr);
        return !onRead;
    }
    bool isReading() const { return (bufferevent_get_enabled(events) & EV_READ) != 0; }

    // Makes evhttp free the connection, as if its socket had failed.  A connection that reads ahead
    // no further would not notice that its socket is closed.
    void close()
    {
        if (isFreed())
            return;
        shutdown(bufferevent_getfd(events), SHUT_RDWR);
        bufferevent_disable(events, EV_READ);
        bufferevent_trigger_event(events, BEV_EVENT_READING | BEV_EVENT_ERROR,
                                  BEV_OPT_DEFER_CALLBACKS);
        owner.sweepSoon();
    }

    void update() { held.set(requestBytes + evbuffer_get_length(output())); }

    static void onInput(evbuffer *buffer, const evbuffer_cb_info *info, void *arg)
    {
        auto *connection = static_cast<Connection *>(arg);
        connection->hasProgress |= info->n_deleted > 0;
        if (info->n_added == 0)
            return;
        // evhttp reads only before the response to a request and after it.
        if (std::exchange(connection->hasResponded, false))
            connection->requestBytes = evbuffer_get_length(buffer) - info->n_added;
        connection->requestBytes += info->n_added + (info->orig_size == 0 ? allocationBytes : 0);
        connection->update();
    }

    static void onOutput(evbuffer *, const evbuffer_cb_info *info, void *arg)
    {
        auto *connection = static_cast<Connection *>(arg);
        connection->hasResponded |= info->n_added > 0;
        connection->update();
    }

    // Returns whether the request can't be read to its end: the client sends more than the longest
    // request, and evhttp still waits for a part of it.
    bool isStuck()
    {
        const bool isFull = evbuffer_get_length(input()) >= maxUnreadBytes && isReading();
        sweepsWithoutProgress
                = isFull && !std::exchange(hasProgress, false) ? sweepsWithoutProgress + 1 : 0;
        return sweepsWithoutProgress >= maxSweepsWithoutProgress;
    }

    // The request and its response are done.
    void releaseRequest()
    {
        if (!hasResponded || !isReading() || evbuffer_get_length(output()) > 0)
            return;
        hasResponded = false;
        requestBytes = evbuffer_get_length(input());
        update();
    }

    AcceptedConnections &owner;
    bufferevent *events;
    const std::size_t maxUnreadBytes;
    HeldBytes held;
    evbuffer_cb_entry *inputCallback = nullptr;
    evbuffer_cb_entry *outputCallback = nullptr;
    // Bytes of the request that is being read or answered, and of those behind it.
    std::size_t requestBytes = 0;
    bool hasResponded = false;
    // evhttp has consumed input since the last sweep.
    bool hasProgress = false;
    int sweepsWithoutProgress = 0;
};

AcceptedConnections::AcceptedConnections(EventLoop &loop, std::size_t maxHeadBytes,
                                         std::size_t maxBodyBytes)
    : loop_(loop), maxUnreadBytes_(maxHeadBytes + maxBodyBytes + readBytes)
{ }

AcceptedConnections::~AcceptedConnections() = default;

bufferevent *AcceptedConnections::create()
{
    for (std::size_t i = 0; i < checksPerConnection && !connections_.empty(); ++i)
        releaseNextIfFreed();
    // Without the option evhttp closes the socket when it frees a connection, while the reference
    // keeps the events of the socket.
    bufferevent *events = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    connections_.push_back(std::make_unique<Connection>(*this, events));
    return events;
}

void AcceptedConnections::releaseNextIfFreed()
{
    next_ = (next_ + 1) % connections_.size();
    if (!connections_[next_]->isFreed())
        return;
    std::swap(connections_[next_], connections_.back());
    connections_.pop_back();
}

void AcceptedConnections::sweepSoon()
{
    // A sweep that is due is not put off by the next connection.
    if (std::exchange(isSweepDue_, true))
        return;
    sweepTimer_ = loop_.after(Milliseconds(0), [this] { sweep(); });
}

void AcceptedConnections::sweep()
{
    isSweepDue_ = false;
    std::erase_if(connections_, [](const auto &connection) { return connection->isFreed(); });
    for (const auto &connection : connections_) {
        connection->releaseRequest();
        if (connection->isStuck())
            connection->close();
    }
}

} // namespace cornelhead::detail
