// Implements links as bidirectional streams with gRPC's callback API.
#include "cornelhead/distribution/grpc-network.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>

#include <grpcpp/grpcpp.h>

#include "cornelhead/base/log.h"
#include "protocol/inner.grpc.pb.h"

namespace cornelhead {
namespace detail {

constexpr int maxFrameBytes = 64 * 1024 * 1024;
/// A link with more queued bytes is cancelled; the receiver gets the newest state on reconnection.
constexpr std::size_t maxQueuedBytes = 64 * 1024 * 1024;
constexpr Milliseconds shutdownGrace = Milliseconds(200);

/// Counts bytes and frames of one direction by frame type.
class FlowCounters
{
public:
    void bind(Metrics &metrics, const std::string &direction)
    {
        const google::protobuf::Descriptor *frame = inner::Frame::descriptor();
        for (int i = 0; i < frame->field_count(); ++i) {
            const std::vector<Label> labels{{"direction", direction},
                                            {"flow", frame->field(i)->name()}};
            flows_[frame->field(i)->number()]
                    = {&metrics.counter("cornelhead_inner_bytes_total", labels),
                       &metrics.counter("cornelhead_inner_frames_total", labels)};
        }
    }
    void add(const inner::Frame &frame)
    {
        // An unknown frame type has no counter.
        const auto flow = flows_.find(frame.body_case());
        if (flow == flows_.end())
            return;
        flow->second.bytes->add(frame.ByteSizeLong());
        flow->second.frames->add();
    }

private:
    struct Flow
    {
        Counter *bytes = nullptr;
        Counter *frames = nullptr;
    };
    // Keyed by field number; constant after `bind`.
    std::map<int, Flow> flows_;
};

/// State shared by all streams; outlives the network until the last stream has ended.
struct NetworkHub
{
    EventLoop *loop = nullptr;
    NetworkHandlers handlers;
    FlowCounters sent;
    FlowCounters received;
    Counter *overflows = nullptr;
    // Cleared on the loop by the network's destructor; handlers are not called afterwards.
    bool isOpen = true;
    std::atomic<std::uint64_t> nextLink = 1;
    // Guards `streams`, the number of streams that gRPC still uses.
    std::mutex mutex;
    std::condition_variable allStreamsEnded;
    std::size_t streams = 0;

    LinkId allocateLinkId() { return LinkId(nextLink.fetch_add(1)); }

    void addStream()
    {
        const std::lock_guard lock(mutex);
        ++streams;
    }
    void removeStream()
    {
        const std::lock_guard lock(mutex);
        --streams;
        allStreamsEnded.notify_all();
    }
};

/// One end of a link, whichever side opened it.
class Stream
{
public:
    virtual ~Stream() = default;

    /// Queues a frame.  Thread-safe.
    void send(FramePtr frame)
    {
        const std::lock_guard lock(mutex_);
        if (closing_ || ended_)
            return;
        queuedBytes_ += frame->ByteSizeLong();
        queue_.push_back(std::move(frame));
        if (queuedBytes_ > maxQueuedBytes) {
            hub_->overflows->add();
            cancel();
        } else if (!writing_) {
            writeNext();
        }
    }

    /// Cancels the stream.  Thread-safe.
    void close()
    {
        const std::lock_guard lock(mutex_);
        if (closing_ || ended_)
            return;
        closing_ = true;
        cancel();
    }

    LinkId link() const { return link_; }
    /// Stops the delivery of frames and of the end of the stream to the handlers.
    void disableCallbacks() { callbacksDisabled_.store(true); }

protected:
    Stream(std::shared_ptr<NetworkHub> hub, LinkId link) : hub_(std::move(hub)), link_(link)
    {
        hub_->addStream();
    }

    virtual void startWrite(const inner::Frame &frame) = 0;
    virtual void cancel() = 0;

    void onWritten(bool ok)
    {
        const std::lock_guard lock(mutex_);
        queuedBytes_ -= queue_.front()->ByteSizeLong();
        queue_.pop_front();
        writing_ = false;
        if (ok && !queue_.empty() && !ended_)
            writeNext();
    }

    void stopWriting()
    {
        const std::lock_guard lock(mutex_);
        ended_ = true;
    }

    void onReceived(std::shared_ptr<const inner::Frame> frame)
    {
        hub_->received.add(*frame);
        if (callbacksDisabled_.load())
            return;
        hub_->loop->post([hub = hub_, link = link_, frame = std::move(frame)] {
            if (hub->isOpen)
                hub->handlers.onFrame(link, *frame);
        });
    }

    void onEnded()
    {
        stopWriting();
        if (callbacksDisabled_.load())
            return;
        hub_->loop->post([hub = hub_, link = link_] {
            if (hub->isOpen)
                hub->handlers.onClosed(link);
        });
    }

    std::mutex mutex_;
    bool closing_ = false;
    bool ended_ = false;
    std::shared_ptr<NetworkHub> hub_;
    LinkId link_;

private:
    void writeNext()
    {
        writing_ = true;
        hub_->sent.add(*queue_.front());
        startWrite(*queue_.front());
    }

    // The frame being written stays at the front until the write completes.
    std::deque<FramePtr> queue_;
    std::size_t queuedBytes_ = 0;
    bool writing_ = false;
    std::atomic<bool> callbacksDisabled_ = false;
};

class ClientStream final : public Stream, public grpc::ClientBidiReactor<inner::Frame, inner::Frame>
{
public:
    ClientStream(std::shared_ptr<NetworkHub> hub, LinkId link, const Address &address)
        : Stream(std::move(hub), link)
    {
        grpc::ChannelArguments arguments;
        arguments.SetMaxReceiveMessageSize(maxFrameBytes);
        // A separate subchannel pool keeps gRPC's own backoff after a failed connection from
        // delaying the next link.
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        channel_ = grpc::CreateCustomChannel(address.toString(), grpc::InsecureChannelCredentials(),
                                             arguments);
        stub_ = inner::Inner::NewStub(channel_);
    }

    void start(std::shared_ptr<Stream> self)
    {
        self_ = std::move(self);
        stub_->async()->Connect(&context_, this);
        // Writes are started outside gRPC's callbacks, so the hold keeps the call from ending.
        AddHold();
        StartRead(incoming_.get());
        StartCall();
    }

    void OnReadDone(bool ok) override
    {
        if (!ok) {
            // The other end finished the stream; cancel this end too.
            stopWriting();
            context_.TryCancel();
            RemoveHold();
            return;
        }
        onReceived(std::move(incoming_));
        incoming_ = std::make_shared<inner::Frame>();
        StartRead(incoming_.get());
    }
    void OnWriteDone(bool ok) override { onWritten(ok); }
    void OnDone(const grpc::Status &) override
    {
        onEnded();
        const std::shared_ptr<NetworkHub> hub = hub_;
        const std::shared_ptr<Stream> self = std::move(self_);
        // The channel must not be destroyed on one of its own threads during a callback.
        hub->loop->post([self] {});
        hub->removeStream();
    }

private:
    void startWrite(const inner::Frame &frame) override { StartWrite(&frame); }
    void cancel() override { context_.TryCancel(); }

    std::shared_ptr<grpc::Channel> channel_;
    std::unique_ptr<inner::Inner::Stub> stub_;
    grpc::ClientContext context_;
    std::shared_ptr<inner::Frame> incoming_ = std::make_shared<inner::Frame>();
    // Keeps the reactor alive until OnDone.
    std::shared_ptr<Stream> self_;
};

class ServerStream final : public Stream, public grpc::ServerBidiReactor<inner::Frame, inner::Frame>
{
public:
    ServerStream(std::shared_ptr<NetworkHub> hub, LinkId link, grpc::CallbackServerContext *context)
        : Stream(std::move(hub), link), context_(context)
    { }

    void start(std::shared_ptr<Stream> self)
    {
        self_ = std::move(self);
        StartRead(incoming_.get());
    }

    void OnReadDone(bool ok) override
    {
        if (!ok) {
            finish();
            return;
        }
        onReceived(std::move(incoming_));
        incoming_ = std::make_shared<inner::Frame>();
        StartRead(incoming_.get());
    }
    void OnWriteDone(bool ok) override { onWritten(ok); }
    void OnCancel() override { finish(); }
    void OnDone() override
    {
        onEnded();
        const std::shared_ptr<NetworkHub> hub = hub_;
        const std::shared_ptr<Stream> self = std::move(self_);
        hub->removeStream();
    }

private:
    void finish()
    {
        {
            const std::lock_guard lock(mutex_);
            if (finished_)
                return;
            finished_ = true;
            ended_ = true;
        }
        Finish(grpc::Status::OK);
    }
    void startWrite(const inner::Frame &frame) override { StartWrite(&frame); }
    void cancel() override { context_->TryCancel(); }

    grpc::CallbackServerContext *context_;
    bool finished_ = false;
    std::shared_ptr<inner::Frame> incoming_ = std::make_shared<inner::Frame>();
    std::shared_ptr<Stream> self_;
};

class InnerService final : public inner::Inner::CallbackService
{
public:
    using Accept = std::function<std::shared_ptr<ServerStream>(grpc::CallbackServerContext *)>;

    explicit InnerService(Accept accept) : accept_(std::move(accept)) { }

    grpc::ServerBidiReactor<inner::Frame, inner::Frame> *
    Connect(grpc::CallbackServerContext *context) override
    {
        const std::shared_ptr<ServerStream> stream = accept_(context);
        stream->start(stream);
        return stream.get();
    }

private:
    Accept accept_;
};

} // namespace detail

struct GrpcNetwork::Impl
{
    std::shared_ptr<detail::NetworkHub> hub = std::make_shared<detail::NetworkHub>();
    // Accessed only on the loop.
    std::map<LinkId, std::shared_ptr<detail::Stream>> links;
    std::unique_ptr<detail::InnerService> service;
    std::unique_ptr<grpc::Server> server;

    LinkId open(const Address &address);
    void send(LinkId link, FramePtr frame);
    void close(LinkId link);
    std::shared_ptr<detail::ServerStream> accept(grpc::CallbackServerContext *context,
                                                 const std::shared_ptr<Impl> &self);
};

LinkId GrpcNetwork::Impl::open(const Address &address)
{
    const LinkId link = hub->allocateLinkId();
    auto stream = std::make_shared<detail::ClientStream>(hub, link, address);
    links[link] = stream;
    stream->start(stream);
    return link;
}

void GrpcNetwork::Impl::send(LinkId link, FramePtr frame)
{
    const auto found = links.find(link);
    if (found != links.end())
        found->second->send(std::move(frame));
}

void GrpcNetwork::Impl::close(LinkId link)
{
    const auto found = links.find(link);
    if (found == links.end())
        return;
    const std::shared_ptr<detail::Stream> stream = found->second;
    links.erase(found);
    stream->disableCallbacks();
    stream->close();
}

std::shared_ptr<detail::ServerStream>
GrpcNetwork::Impl::accept(grpc::CallbackServerContext *context, const std::shared_ptr<Impl> &self)
{
    auto stream = std::make_shared<detail::ServerStream>(hub, hub->allocateLinkId(), context);
    // Posted before any frame of the link, so that the link is registered when they are delivered.
    hub->loop->post([self, stream, link = stream->link()] {
        if (self->hub->isOpen)
            self->links[link] = stream;
    });
    return stream;
}

GrpcNetwork::GrpcNetwork(EventLoop &loop, Metrics &metrics, NetworkHandlers handlers)
    : impl_(std::make_shared<Impl>())
{
    detail::NetworkHub &hub = *impl_->hub;
    hub.loop = &loop;
    hub.sent.bind(metrics, "sent");
    hub.received.bind(metrics, "received");
    hub.overflows = &metrics.counter("cornelhead_inner_overflows_total");
    hub.handlers.onFrame = std::move(handlers.onFrame);
    hub.handlers.onClosed = [impl = std::weak_ptr<Impl>(impl_),
                             onClosed = std::move(handlers.onClosed)](LinkId link) {
        const std::shared_ptr<Impl> alive = impl.lock();
        // A link that was closed locally is not reported.
        if (alive && alive->links.erase(link) > 0)
            onClosed(link);
    };
}

GrpcNetwork::~GrpcNetwork()
{
    detail::NetworkHub &hub = *impl_->hub;
    hub.isOpen = false;
    for (const auto &[link, stream] : impl_->links) {
        stream->disableCallbacks();
        stream->close();
    }
    impl_->links.clear();
    if (impl_->server)
        impl_->server->Shutdown(std::chrono::system_clock::now() + detail::shutdownGrace);
    std::unique_lock lock(hub.mutex);
    hub.allStreamsEnded.wait_for(lock, std::chrono::seconds(2), [&] { return hub.streams == 0; });
}

Result<void> GrpcNetwork::listen(const Address &address)
{
    impl_->service = std::make_unique<detail::InnerService>(
            [impl = std::weak_ptr<Impl>(impl_), hub = impl_->hub](auto *context) {
                if (const std::shared_ptr<Impl> alive = impl.lock())
                    return alive->accept(context, alive);
                return std::make_shared<detail::ServerStream>(hub, hub->allocateLinkId(), context);
            });
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.SetMaxReceiveMessageSize(detail::maxFrameBytes);
    builder.AddListeningPort(address.toString(), grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(impl_->service.get());
    impl_->server = builder.BuildAndStart();
    if (!impl_->server || port == 0)
        return fail(ErrorKind::InvalidSetting, "cannot listen on " + address.toString(),
                    "choose a free inner address of this host");
    return {};
}

NetworkPort GrpcNetwork::port()
{
    NetworkPort port;
    port.open = [impl = impl_.get()](const Address &address) { return impl->open(address); };
    port.send = [impl = impl_.get()](LinkId link, FramePtr frame) {
        impl->send(link, std::move(frame));
    };
    port.close = [impl = impl_.get()](LinkId link) { impl->close(link); };
    return port;
}

} // namespace cornelhead
