// Implements the connections of local callers.
#include "cornelhead/sidecar/caller-connection.h"

#include <sys/socket.h>
#include <sys/time.h>

#include <algorithm>
#include <array>
#include <utility>

#include <event2/buffer.h>
#include <event2/event.h>

namespace cornelhead::detail {

namespace {

constexpr std::size_t readBytes = RequestReader::maxHeadBytes;
constexpr std::size_t bodyReadBytes = 64 * 1024;
// Beyond this no further request is read until the caller has read responses.
constexpr std::size_t maxUnsentBytes = 64 * 1024;
constexpr Milliseconds idleTimeout(60'000);
// A closed socket with unread input would reset the connection and so destroy the last response.
constexpr Milliseconds discardTime(1000);
// A reset is not reported as a close; while nothing is read it would go unnoticed.
constexpr timeval pausedCheckInterval{0, 50'000};
constexpr std::string_view continueHead = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::string_view closeField = "Connection: close\r\n";
constexpr std::string_view keepAliveField = "Connection: keep-alive\r\n";
constexpr std::string_view endOfHead = "\r\n";

std::unique_ptr<event, EventDeleter> makeEvent(EventLoop &loop, evutil_socket_t socket, short what,
                                               event_callback_fn run, CallerConnection *connection)
{
    return std::unique_ptr<event, EventDeleter>(
            event_new(loop.base(), socket, what, run, connection));
}

RequestKind kindOf(const ReceivedRequest &request)
{
    const bool isSafe = request.method == EVHTTP_REQ_GET || request.method == EVHTTP_REQ_HEAD;
    return isSafe ? RequestKind::Safe : RequestKind::Exclusive;
}

void add(evbuffer *buffer, std::string_view bytes)
{
    evbuffer_add(buffer, bytes.data(), bytes.size());
}

std::size_t heldBytes(const PendingRequest &request)
{
    std::size_t bytes = 0;
    if (request.received)
        bytes += request.received->headBytes + evbuffer_get_length(request.received->body.get());
    if (request.response)
        bytes += request.response->head.size();
    if (request.response && request.response->body)
        bytes += evbuffer_get_length(request.response->body.get());
    return bytes;
}

} // namespace

CallerConnection::CallerConnection(EventLoop &loop, CallerConnectionOwner &owner,
                                   evutil_socket_t socket, std::size_t maxRequests)
    : loop_(loop), owner_(owner), socket_(socket), maxRequests_(maxRequests),
      reader_(RequestReader::defaultBodyBytes), input_(evbuffer_new()), output_(evbuffer_new()),
      held_(loop.buffers(), BufferUse::Call,
            [this] {
                isEvicted_ = true;
                scheduleTurn();
            }),
      lastProgressAt_(now(SteadyClock()))
{ }

CallerConnection::~CallerConnection()
{
    if (isOpen())
        evutil_closesocket(socket_);
}

void CallerConnection::start()
{
    const auto onRead = [](evutil_socket_t, short, void *arg) {
        static_cast<CallerConnection *>(arg)->onReadable();
    };
    const auto onWrite = [](evutil_socket_t, short, void *arg) {
        static_cast<CallerConnection *>(arg)->onWritable();
    };
    const auto onClosed = [](evutil_socket_t, short, void *arg) {
        static_cast<CallerConnection *>(arg)->close();
    };
    const auto onTurn = [](evutil_socket_t, short, void *arg) {
        static_cast<CallerConnection *>(arg)->onTurn();
    };
    readEvent_ = makeEvent(loop_, socket_, EV_READ | EV_PERSIST, onRead, this);
    writeEvent_ = makeEvent(loop_, socket_, EV_WRITE, onWrite, this);
    // Requests that wait unread in the socket would hide that the caller has closed it.
    closeEvent_ = makeEvent(loop_, socket_, EV_CLOSED, onClosed, this);
    turnEvent_ = makeEvent(loop_, -1, 0, onTurn, this);
    event_add(closeEvent_.get(), nullptr);
    updateReading();
}

bool CallerConnection::mayTakeRequest() const
{
    // While the process stops, the caller learns of it by the response to the last request.
    const bool isLastRead = isEnding_ || (closesWhenIdle_ && !requests_.empty());
    const bool isBlocked = started_ < requests_.size() || requests_.size() >= maxRequests_;
    return !isLastRead && !isBlocked && evbuffer_get_length(output_.get()) <= maxUnsentBytes;
}

void CallerConnection::onReadable()
{
    if (isDiscarding_) {
        discardInput();
        return;
    }
    const auto self = shared_from_this();
    static thread_local std::array<char, bodyReadBytes> bytes;
    const std::size_t heldBack = evbuffer_get_length(input_.get());
    std::size_t room = readBytes - std::min(heldBack, readBytes);
    if (heldBack == 0 && reader_.isInBody())
        room = bytes.size();
    if (room == 0)
        return;
    const ssize_t size = recv(socket_, bytes.data(), room, 0);
    if (size < 0 && EVUTIL_SOCKET_ERROR() == EAGAIN)
        return;
    if (size <= 0) {
        close();
        return;
    }
    lastProgressAt_ = now(SteadyClock());
    std::string_view received(bytes.data(), static_cast<std::size_t>(size));
    if (heldBack == 0)
        received = readRequests(received);
    if (!isOpen())
        return;
    add(input_.get(), received);
    updateReading();
    updateHeldBytes();
}

std::string_view CallerConnection::readRequests(std::string_view bytes)
{
    while (!bytes.empty() && isOpen() && mayTakeRequest()) {
        bytes.remove_prefix(reader_.feed(bytes));
        if (const auto fault = reader_.fault())
            addFault(*fault);
        else if (auto received = reader_.takeRequest())
            addRequest(std::move(received));
    }
    if (reader_.takeExpectation()) {
        isContinueDue_ = true;
        scheduleTurn();
    }
    return bytes;
}

// The caller sent these bytes earlier, when no further request could be taken.
void CallerConnection::readHeldBack()
{
    evbuffer *input = input_.get();
    while (isOpen() && evbuffer_get_length(input) > 0 && mayTakeRequest()) {
        const std::size_t size = evbuffer_get_contiguous_space(input);
        const auto *bytes = reinterpret_cast<const char *>(
                evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
        const std::string_view rest = readRequests({bytes, size});
        if (isOpen())
            evbuffer_drain(input, size - rest.size());
    }
}

void CallerConnection::addRequest(std::unique_ptr<ReceivedRequest> received)
{
    isContinueDue_ = false;
    const auto request = std::make_shared<PendingRequest>();
    request->kind = kindOf(*received);
    request->closesConnection = !received->keepsConnection;
    isEnding_ |= request->closesConnection;
    request->received = std::move(received);
    requests_.push_back(request);
    startRequests();
}

void CallerConnection::addFault(ReadFault fault)
{
    const auto request = std::make_shared<PendingRequest>();
    request->closesConnection = true;
    request->response = owner_.refuse(fault);
    requests_.push_back(request);
    isEnding_ = true;
    scheduleTurn();
}

void CallerConnection::startRequests()
{
    while (isOpen() && !isFinished_ && started_ < requests_.size()) {
        const std::shared_ptr<PendingRequest> request = requests_[started_];
        if (request->response) {
            ++started_;
            continue;
        }
        if (!order_.mayStart(request->kind))
            return;
        if (order_.isRunning())
            owner_.onStartedAhead();
        ++started_;
        request->isStarted = true;
        order_.start(request->kind);
        owner_.onRequest(IncomingRequest{shared_from_this(), request});
    }
}

void CallerConnection::respond(PendingRequest &request, RenderedResponse response)
{
    if (request.isDetached || request.response)
        return;
    request.onDisconnect = nullptr;
    request.response = std::move(response);
    order_.end();
    if (request.closesConnection)
        dropWaiting();
    updateHeldBytes();
    scheduleTurn();
}

void CallerConnection::dropWaiting()
{
    isEnding_ = true;
    std::size_t dropped = 0;
    for (; requests_.size() > started_; requests_.pop_back())
        dropped += requests_.back()->received ? 1 : 0;
    if (dropped > 0)
        owner_.onDropped(dropped);
}

void CallerConnection::scheduleTurn()
{
    if (isOpen())
        event_active(turnEvent_.get(), EV_TIMEOUT, 0);
}

bool CallerConnection::isReset() const
{
    int error = 0;
    socklen_t size = sizeof error;
    return getsockopt(socket_, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0;
}

void CallerConnection::onTurn()
{
    const auto self = shared_from_this();
    if (isEvicted_ || (!isReading_ && isReset())) {
        close();
        return;
    }
    queueResponses();
    queueContinue();
    write();
    if (!isOpen())
        return;
    startRequests();
    readHeldBack();
    if (!isOpen())
        return;
    updateReading();
    updateHeldBytes();
}

void CallerConnection::queueResponses()
{
    evbuffer *output = output_.get();
    while (!isFinished_ && !requests_.empty() && requests_.front()->response) {
        const std::shared_ptr<PendingRequest> request = requests_.front();
        const bool isLast = closesWhenIdle_ && requests_.size() == 1;
        isFinished_ = request->closesConnection || isLast;
        add(output, request->response->head);
        if (isFinished_)
            add(output, closeField);
        else if (request->received->isOldVersion)
            add(output, keepAliveField);
        add(output, endOfHead);
        if (request->response->body)
            evbuffer_add_buffer(output, request->response->body.get());
        requests_.pop_front();
        started_ -= std::min<std::size_t>(started_, 1);
    }
    if (!isFinished_)
        return;
    isEnding_ = true;
    detachRequests();
}

void CallerConnection::queueContinue()
{
    // Behind the last response it would say that the request is still read.
    if (isContinueDue_ && !isFinished_ && requests_.empty() && reader_.isInRequest()) {
        isContinueDue_ = false;
        add(output_.get(), continueHead);
    }
}

void CallerConnection::write()
{
    evbuffer *output = output_.get();
    const std::size_t size = evbuffer_get_length(output);
    if (size > 0 && !event_pending(writeEvent_.get(), EV_WRITE, nullptr)) {
        const int written = evbuffer_write(output, socket_);
        if (written < 0 && EVUTIL_SOCKET_ERROR() != EAGAIN) {
            close();
            return;
        }
        if (written > 0)
            lastProgressAt_ = now(SteadyClock());
        if (evbuffer_get_length(output) > 0)
            event_add(writeEvent_.get(), nullptr);
    }
    if (isFinished_ && evbuffer_get_length(output) == 0)
        finish();
}

void CallerConnection::onWritable()
{
    onTurn();
}

void CallerConnection::detachRequests()
{
    std::size_t dropped = 0;
    started_ = 0;
    const auto detached = std::exchange(requests_, {});
    for (const auto &request : detached)
        request->isDetached = true;
    for (const auto &request : detached) {
        dropped += request->isStarted || !request->received ? 0 : 1;
        if (const auto onDisconnect = std::exchange(request->onDisconnect, nullptr))
            onDisconnect();
    }
    if (dropped > 0)
        owner_.onDropped(dropped);
}

void CallerConnection::finish()
{
    if (std::exchange(isDiscarding_, true))
        return;
    evbuffer_drain(input_.get(), evbuffer_get_length(input_.get()));
    shutdown(socket_, SHUT_WR);
}

void CallerConnection::discardInput()
{
    static thread_local std::array<char, bodyReadBytes> bytes;
    const ssize_t size = recv(socket_, bytes.data(), bytes.size(), 0);
    if (size == 0 || (size < 0 && EVUTIL_SOCKET_ERROR() != EAGAIN))
        close();
}

void CallerConnection::updateReading()
{
    const bool mayRead = isDiscarding_
            || (evbuffer_get_length(input_.get()) < readBytes
                && evbuffer_get_length(output_.get()) <= maxUnsentBytes);
    if (isOpen() && !mayRead)
        event_add(turnEvent_.get(), &pausedCheckInterval);
    if (!isOpen() || isReading_ == mayRead)
        return;
    isReading_ = mayRead;
    if (mayRead)
        event_add(readEvent_.get(), nullptr);
    else
        event_del(readEvent_.get());
}

void CallerConnection::updateHeldBytes()
{
    if (!isOpen())
        return;
    std::size_t bytes = evbuffer_get_length(input_.get()) + evbuffer_get_length(output_.get())
            + reader_.heldBytes();
    for (const auto &request : requests_)
        bytes += heldBytes(*request);
    held_.set(bytes);
}

void CallerConnection::close()
{
    if (!isOpen())
        return;
    const auto self = shared_from_this();
    readEvent_.reset();
    writeEvent_.reset();
    closeEvent_.reset();
    turnEvent_.reset();
    evutil_closesocket(std::exchange(socket_, -1));
    detachRequests();
    held_.set(0);
    owner_.onClosed(*this);
}

void CallerConnection::closeWhenIdle()
{
    closesWhenIdle_ = true;
}

void CallerConnection::sweep(TimePoint now)
{
    // Calls have deadlines of their own.
    const bool isIdle = requests_.empty() && now - lastProgressAt_ > idleTimeout;
    if (isIdle || (isDiscarding_ && now - lastProgressAt_ > discardTime))
        close();
}

} // namespace cornelhead::detail
