// The ledger of runs: backend servers report each run of a keyed call in a datagram before the run
// begins, so that the record survives a crash of the server.
#pragma once

#include <functional>
#include <string>

#include "cornelhead/base/address.h"
#include "cornelhead/net/event-loop.h"

namespace cornelhead {

/// One run of a keyed call.
struct RunRecord
{
    std::string key;
    std::string server;
    std::string requestId;
};

/// Sends records over UDP.
class LedgerSender
{
public:
    explicit LedgerSender(const Address &receiver);
    ~LedgerSender();
    LedgerSender(const LedgerSender &) = delete;
    LedgerSender &operator=(const LedgerSender &) = delete;

    /// Passes the record to the kernel before returning.
    void send(const RunRecord &record);

private:
    Address receiver_;
    int socket_ = -1;
};

/// Receives records over UDP on an event loop.
class LedgerReceiver
{
public:
    using Handler = std::function<void(const RunRecord &)>;

    LedgerReceiver(EventLoop &loop, Handler handler);
    ~LedgerReceiver();
    LedgerReceiver(const LedgerReceiver &) = delete;
    LedgerReceiver &operator=(const LedgerReceiver &) = delete;

    /// Fails with `InvalidSetting` if the address cannot be bound.
    Result<void> listen(const Address &address);
    /// Returns the number of datagrams that are not valid records.
    std::uint64_t malformedCount() const { return malformedCount_; }

private:
    void receive();

    EventLoop *loop_;
    Handler handler_;
    int socket_ = -1;
    std::unique_ptr<event, detail::EventDeleter> readable_;
    std::uint64_t malformedCount_ = 0;
};

} // namespace cornelhead
