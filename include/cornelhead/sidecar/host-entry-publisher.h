// Keeps this host's entry in the key-value store, under a lease that it renews.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "cornelhead/base/event-log.h"
#include "cornelhead/net/event-loop.h"
#include "cornelhead/platform/client.h"

namespace cornelhead::detail {

/// Writes the host's entry again whenever the store holds another value.
///
/// A write whose response was lost may take effect seconds later and restore an older value, and a
/// lease or key may be removed without any response showing it.  The owner therefore reports what
/// the store lists.
class HostEntryPublisher
{
public:
    /// `onReachability` runs after each call with whether the store answered, and the error if not.
    HostEntryPublisher(EventLoop &loop, PlatformClient &platform, std::string key, EventLog &log,
                       std::function<void(bool, const std::string &)> onReachability);

    /// Writes `value` and keeps it published.
    void publish(std::string value);
    /// Removes the key and publishes nothing from now on.
    void retract();
    /// The store lists the key with this value.
    void onListed(const std::string &value);
    /// The store lists the key no longer, or with an unreadable value.
    void onRemoved();
    /// Sets how often the lease is renewed; renewals also show whether the store is reachable.
    void setRenewPeriod(Milliseconds period);
    /// Sets how often an unreachable store is probed.
    void setProbePeriod(Milliseconds period) { probePeriod_ = period; }
    void renewNow();

private:
    void scheduleRenewal(Milliseconds delay);
    void onCallFailed(const Error &error);
    void renew();
    void grant();
    void write();
    void onPublicationFailed(const Error &error);

    EventLoop &loop_;
    PlatformClient &platform_;
    const std::string key_;
    EventLog &log_;
    std::function<void(bool, const std::string &)> onReachability_;
    std::optional<std::string> desired_;
    // The value last written or listed; empty when the key must be written.
    std::optional<std::string> stored_;
    std::optional<LeaseId> lease_;
    // At most one call to the store runs at a time.
    bool isCallPending_ = false;
    std::uint32_t consecutiveFailures_ = 0;
    Milliseconds renewPeriod_ = Milliseconds(1700);
    Milliseconds probePeriod_ = Milliseconds(500);
    Timer timer_;
};

} // namespace cornelhead::detail
