// Implements the publication of a host's entry.
#include "cornelhead/sidecar/entry-publisher.h"

#include <utility>

namespace cornelhead::detail {

namespace {

constexpr const char *publisherPart = "publisher";
/// Long enough to outlast a freeze of a few seconds, short enough that a dead host goes soon.
constexpr Milliseconds leaseTime(6000);
/// Renewals cost a tenth of a call; three may be lost before the lease lapses.
constexpr Milliseconds renewPeriod(1700);
/// Entries must be back within two seconds of the service's return.
constexpr Milliseconds retryPeriod(400);

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
    log_.write(EventKind::Belief, publisherPart, "own-entry-missing", {{"key", key_}});
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
        renewLater(true);
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
                      onReach_(true, {});
                      write();
                  });
}

void EntryPublisher::fail(const Error &error)
{
    log_.write(EventKind::Failure, publisherPart, "publication-failed",
               {{"key", key_}, {"why", error.describe()}});
    written_.reset();
    if (error.kind == ErrorKind::NotFound)
        lease_.reset();
    else
        onReach_(false, error.describe());
    renewLater(false);
}

void EntryPublisher::renewLater(bool wasReached)
{
    timer_ = loop_.after(wasReached ? renewPeriod : retryPeriod, [this] { renew(); });
}

void EntryPublisher::renew()
{
    if (!lease_ || (wanted_ && wanted_ != written_)) {
        renewLater(false);
        write();
        return;
    }
    platform_.keepAlive(*lease_, [this](const Result<void> &result) {
        if (result) {
            onReach_(true, {});
            renewLater(true);
            return;
        }
        if (result.error().kind == ErrorKind::NotFound) {
            lease_.reset();
            written_.reset();
            write();
        } else {
            onReach_(false, result.error().describe());
        }
        renewLater(false);
    });
}

} // namespace cornelhead::detail
