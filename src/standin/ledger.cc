// Sends and receives records of runs over UDP.
#include "cornelhead/standin/ledger.h"

#include <array>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/event.h>
#include <event2/util.h>

#include <nlohmann/json.hpp>

namespace cornelhead {
namespace detail {

/// Buffers bursts of records while the receiver is busy.
constexpr int receiveBufferBytes = 16 * 1024 * 1024;
constexpr std::size_t maxDatagramBytes = 64 * 1024;

struct SocketAddress
{
    sockaddr_storage storage{};
    int size = sizeof(sockaddr_storage);

    const sockaddr *get() const { return reinterpret_cast<const sockaddr *>(&storage); }
};

SocketAddress toSocketAddress(const Address &address)
{
    SocketAddress result;
    evutil_parse_sockaddr_port(address.toString().c_str(),
                               reinterpret_cast<sockaddr *>(&result.storage), &result.size);
    return result;
}

} // namespace detail

LedgerSender::LedgerSender(const Address &receiver) : receiver_(receiver)
{
    const detail::SocketAddress target = detail::toSocketAddress(receiver);
    socket_ = ::socket(target.get()->sa_family, SOCK_DGRAM | SOCK_CLOEXEC, 0);
}

LedgerSender::~LedgerSender()
{
    ::close(socket_);
}

void LedgerSender::send(const RunRecord &record)
{
    const nlohmann::json json
            = {{"key", record.key}, {"server", record.server}, {"request", record.requestId}};
    const std::string text = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    const detail::SocketAddress target = detail::toSocketAddress(receiver_);
    ::sendto(socket_, text.data(), text.size(), 0, target.get(),
             static_cast<socklen_t>(target.size));
}

LedgerReceiver::LedgerReceiver(EventLoop &loop, Handler handler)
    : loop_(&loop), handler_(std::move(handler))
{ }

LedgerReceiver::~LedgerReceiver()
{
    readable_.reset();
    if (socket_ >= 0)
        ::close(socket_);
}

Result<void> LedgerReceiver::listen(const Address &address)
{
    const detail::SocketAddress local = detail::toSocketAddress(address);
    socket_ = ::socket(local.get()->sa_family, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    ::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &detail::receiveBufferBytes,
                 sizeof detail::receiveBufferBytes);
    if (::bind(socket_, local.get(), static_cast<socklen_t>(local.size)) != 0) {
        return fail(ErrorKind::InvalidSetting, "cannot bind UDP address " + address.toString(),
                    "choose a free UDP address of this host");
    }
    const auto onReadable = [](evutil_socket_t, short, void *arg) {
        static_cast<LedgerReceiver *>(arg)->receive();
    };
    readable_.reset(event_new(loop_->base(), socket_, EV_READ | EV_PERSIST, onReadable, this));
    event_add(readable_.get(), nullptr);
    return {};
}

void LedgerReceiver::receive()
{
    std::array<char, detail::maxDatagramBytes> buffer{};
    for (;;) {
        const ssize_t size = ::recv(socket_, buffer.data(), buffer.size(), 0);
        if (size < 0)
            return;
        const auto json
                = nlohmann::json::parse(buffer.data(), buffer.data() + size, nullptr, false);
        try {
            handler_(RunRecord{json.at("key"), json.at("server"), json.at("request")});
        } catch (const nlohmann::json::exception &) {
            ++malformedCount_;
        }
    }
}

} // namespace cornelhead
