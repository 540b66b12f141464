// Implements the publication of the host's entry.
#include "cornelhead/sidecar/host-entry-publisher.h"

#include <utility>

namespace cornelhead::detail {

namespace {

constexpr const char *publisherPart = "publisher";
/// Long enough to survive a freeze of a few seconds, short enough to remove a dead host soon.
constexpr Milliseconds leaseTtl(6000);
/// The first retry is early, as a single lost response does not mean that the store is unreachable;
/// also the delay of a renewal that falls due during another call.
constexpr Milliseconds firstRetryDelay(150);

} // namespace

HostEntryPublisher::HostEntryPublisher(
        EventLoop &loop, PlatformClient &platform, std::string key, EventLog &log,
        std::function<void(bool, const std::string &)> onReachability)
    : loop_(loop), platform_(platform), key_(std::move(key)), log_(log),
      onReachability_(std::move(onReachability))
{ }

void HostEntryPublisher::publish(std::string value)
{
    desired_ = std::move(value);
    write();
}

void HostEntryPublisher::retract()
{
    desired_.reset();
    timer_ = Timer();
    if (!lease_)
        return;
    platform_.revoke(*std::exchange(lease_, std::nullopt), [this](const Result<void> &result) {
        if (!result)
            log_.write(EventKind::Failure, publisherPart, "entry-not-removed",
                       {{"key", key_}, {"why", result.error().describe()}});
    });
}

void HostEntryPublisher::onListed(const std::string &value)
{
    if (!isCallPending_)
        stored_ = value;
    write();
}

void HostEntryPublisher::onRemoved()
{
    if (isCallPending_ || !stored_)
        return;
    log_.write(EventKind::StateChange, publisherPart, "own-entry-missing", {{"key", key_}});
    stored_.reset();
    write();
}

void HostEntryPublisher::grant()
{
    isCallPending_ = true;
    platform_.grantLease(leaseTtl, [this](Result<LeaseId> lease) {
        isCallPending_ = false;
        if (!lease) {
            onPublicationFailed(lease.error());
            return;
        }
        lease_ = *lease;
        stored_.reset();
        consecutiveFailures_ = 0;
        scheduleRenewal(renewPeriod_);
        write();
    });
}

void HostEntryPublisher::write()
{
    if (isCallPending_ || !desired_ || desired_ == stored_)
        return;
    if (!lease_) {
        grant();
        return;
    }
    isCallPending_ = true;
    platform_.put(key_, *desired_, std::nullopt, lease_,
                  [this, value = *desired_](const Result<ModRevision> &result) {
                      isCallPending_ = false;
                      if (!result) {
                          onPublicationFailed(result.error());
                          return;
                      }
                      stored_ = value;
                      consecutiveFailures_ = 0;
                      onReachability_(true, {});
                      write();
                  });
}

void HostEntryPublisher::onPublicationFailed(const Error &error)
{
    log_.write(EventKind::Failure, publisherPart, "publication-failed",
               {{"key", key_}, {"why", error.describe()}});
    stored_.reset();
    onCallFailed(error);
}

// Until the store answers, only renewals probe it if there is a lease, as they are cheap.
void HostEntryPublisher::onCallFailed(const Error &error)
{
    if (error.kind == ErrorKind::NotFound) {
        // The store answers, but the lease has expired or was revoked.
        consecutiveFailures_ = 0;
        lease_.reset();
        onReachability_(true, {});
        scheduleRenewal(Milliseconds(0));
        return;
    }
    if (++consecutiveFailures_ > 1)
        onReachability_(false, error.describe());
    scheduleRenewal(consecutiveFailures_ > 1 ? probePeriod_ : firstRetryDelay);
}

void HostEntryPublisher::setRenewPeriod(Milliseconds period)
{
    const bool isShorter = period < renewPeriod_;
    renewPeriod_ = period;
    if (isShorter && consecutiveFailures_ == 0)
        renewNow();
}

void HostEntryPublisher::renewNow()
{
    if (!isCallPending_)
        scheduleRenewal(Milliseconds(0));
}

void HostEntryPublisher::scheduleRenewal(Milliseconds delay)
{
    timer_ = loop_.after(delay, [this] { renew(); });
}

void HostEntryPublisher::renew()
{
    if (isCallPending_) {
        scheduleRenewal(firstRetryDelay);
        return;
    }
    if (!lease_) {
        if (desired_)
            grant();
        else
            scheduleRenewal(renewPeriod_);
        return;
    }
    isCallPending_ = true;
    platform_.keepAlive(*lease_, [this](const Result<void> &result) {
        isCallPending_ = false;
        if (!result) {
            if (result.error().kind == ErrorKind::NotFound)
                stored_.reset();
            onCallFailed(result.error());
            return;
        }
        consecutiveFailures_ = 0;
        onReachability_(true, {});
        scheduleRenewal(renewPeriod_);
        write();
    });
}

} // namespace cornelhead::detail
