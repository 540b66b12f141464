// Keeps one key of the key-value service at a wanted value, under a lease that is renewed.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "cornelhead/base/event-log.h"
#include "cornelhead/net/event-loop.h"
#include "cornelhead/platform/client.h"

namespace cornelhead::detail {

/// Publishes a host's entry.
///
/// A write whose answer was lost may take effect seconds later and bring back an older value, and a
/// lease or a key may be taken away without any request showing it.  The owner therefore tells what
/// the service lists, and whatever differs from the wanted value is written again.
class HostEntryPublisher
{
public:
    /// `onReachability` is told after each call whether the service answered, and if not, why.
    HostEntryPublisher(EventLoop &loop, PlatformClient &platform, std::string key, EventLog &log,
                       std::function<void(bool, const std::string &)> onReachability);

    void publish(std::string value);
    void onListed(const std::string &value);
    void onRemoved();
    /// How often the lease is renewed, which also shows that the service is reached.
    void setRenewPeriod(Milliseconds period);
    void renewNow();

private:
    void scheduleRenewal(Milliseconds pause);
    void onCallFailed(const Error &error);
    void renew();
    void grant();
    void write();
    void fail(const Error &error);

    EventLoop &loop_;
    PlatformClient &platform_;
    const std::string key_;
    EventLog &log_;
    std::function<void(bool, const std::string &)> onReachability_;
    std::optional<std::string> desired_;
    // What the service holds as far as is known; nothing when it must be written.
    std::optional<std::string> stored_;
    std::optional<LeaseId> lease_;
    bool isCallPending_ = false;
    std::uint32_t consecutiveFailures_ = 0;
    Milliseconds renewPeriod_ = Milliseconds(1700);
    Timer timer_;
};

} // namespace cornelhead::detail
