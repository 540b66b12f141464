// Implements the publication of a host's entry.
#include "cornelhead/sidecar/entry-publisher.h"

#include <utility>

namespace cornelhead::detail {

namespace {

constexpr const char *publisherPart = "publisher";
/// Long enough to outlast a freeze of a few seconds, short enough that a dead host goes soon.
constexpr Milliseconds leaseTime(6000);
/// A single lost answer does not mean that the service is away, and one call is made at a time.
constexpr Milliseconds firstRetry(150);
/// Entries must be back within two seconds of the service's return, and each node asks.
constexpr Milliseconds retryPeriod(500);

} // namespace

EntryPublisher::EntryPublisher(EventLoop &loop, PlatformClient &platform, std::string key,
                               EventLog &log,
                               std::function<void(bool, const std::string &)> onReach)
    : loop_(loop), platform_(platform), key_(std::move(key)), log_(log),
      onReach_(std::move(onReach))
{ }

void EntryPublisher::publish(std::string value)
{
    wanted_ = std::move(value);
    write();
}

void EntryPublisher::noteListed(const std::string &value)
{
    if (!isBusy_)
        written_ = value;
    write();
}

void EntryPublisher::noteRemoved()
{
    if (isBusy_ || !written_)
        return;
    log_.write(EventKind::StateChange, publisherPart, "own-entry-missing", {{"key", key_}});
    written_.reset();
    write();
}

void EntryPublisher::grant()
{
    isBusy_ = true;
    platform_.grantLease(leaseTime, [this](Result<LeaseId> lease) {
        isBusy_ = false;
        if (!lease) {
            fail(lease.error());
            return;
        }
        lease_ = *lease;
        written_.reset();
        failuresInRow_ = 0;
        renewLater(renewPeriod_);
        write();
    });
}

void EntryPublisher::write()
{
    if (isBusy_ || !wanted_ || wanted_ == written_)
        return;
    if (!lease_) {
        grant();
        return;
    }
    isBusy_ = true;
    platform_.put(key_, *wanted_, std::nullopt, lease_,
                  [this, value = *wanted_](const Result<ModRevision> &result) {
                      isBusy_ = false;
                      if (!result) {
                          fail(result.error());
                          return;
                      }
                      written_ = value;
                      failuresInRow_ = 0;
                      onReach_(true, {});
                      write();
                  });
}

void EntryPublisher::fail(const Error &error)
{
    log_.write(EventKind::Failure, publisherPart, "publication-failed",
               {{"key", key_}, {"why", error.describe()}});
    written_.reset();
    noteFailure(error);
}

// Until the service answers it is asked by renewals alone, where there is a lease to renew.
void EntryPublisher::noteFailure(const Error &error)
{
    if (error.kind == ErrorKind::NotFound) {
        // The service is there, but the lease has lapsed or was taken away.
        failuresInRow_ = 0;
        lease_.reset();
        onReach_(true, {});
        renewLater(Milliseconds(0));
        return;
    }
    if (++failuresInRow_ > 1)
        onReach_(false, error.describe());
    renewLater(failuresInRow_ > 1 ? retryPeriod : firstRetry);
}

void EntryPublisher::renewEvery(Milliseconds period)
{
    const bool isSooner = period < renewPeriod_;
    renewPeriod_ = period;
    if (isSooner && failuresInRow_ == 0)
        renewNow();
}

void EntryPublisher::renewNow()
{
    if (!isBusy_)
        renewLater(Milliseconds(0));
}

void EntryPublisher::renewLater(Milliseconds pause)
{
    timer_ = loop_.after(pause, [this] { renew(); });
}

void EntryPublisher::renew()
{
    if (isBusy_) {
        renewLater(firstRetry);
        return;
    }
    if (!lease_) {
        if (wanted_)
            grant();
        else
            renewLater(renewPeriod_);
        return;
    }
    isBusy_ = true;
    platform_.keepAlive(*lease_, [this](const Result<void> &result) {
        isBusy_ = false;
        if (!result) {
            if (result.error().kind == ErrorKind::NotFound)
                written_.reset();
            noteFailure(result.error());
            return;
        }
        failuresInRow_ = 0;
        onReach_(true, {});
        renewLater(renewPeriod_);
        write();
    });
}

} // namespace cornelhead::detail
