// The ledger of runs: datagrams by which backend servers report each run of a key before it begins,
// so that the record survives the server.
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
    explicit LedgerSender(const Address &to);
    ~LedgerSender();
    LedgerSender(const LedgerSender &) = delete;
    LedgerSender &operator=(const LedgerSender &) = delete;

    /// Hands the record to the network before it returns.
    void send(const RunRecord &record);

private:
    Address to_;
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

    /// Fails with `InvalidSetting` when the address is taken.
    Result<void> listen(const Address &address);
    /// Returns how many datagrams were no records.
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
