// Implements the listing and long polling of one prefix.
#include "cornelhead/distribution/prefix-watch.h"

#include "cornelhead/base/log.h"

namespace cornelhead {
namespace detail {

constexpr Milliseconds longPollTimeout = Milliseconds(20000);
constexpr Milliseconds initialRetryDelay = Milliseconds(100);
constexpr Milliseconds maxRetryDelay = Milliseconds(2000);

} // namespace detail

PrefixWatch::PrefixWatch(std::string prefix, PlatformPort &platform, Clock clock, Random &random,
                         Metrics &metrics, Handler handler)
    : prefix_(std::move(prefix)), platform_(&platform), clock_(std::move(clock)), random_(&random),
      handler_(std::move(handler)),
      calls_(&metrics.counter("cornelhead_platform_calls_total", {{"flow", "watch"}})),
      backoffs_(&metrics.counter("cornelhead_backoffs_total", {{"flow", "watch"}})),
      backoff_(detail::initialRetryDelay, detail::maxRetryDelay)
{ }

void PrefixWatch::start()
{
    if (runToken_)
        return;
    runToken_ = std::make_shared<int>();
    callPending_ = false;
    hasListing_ = false;
    firstCallDone_ = false;
    nextCall_ = now(clock_);
    tick();
}

void PrefixWatch::stop()
{
    runToken_.reset();
    reachable_ = false;
}

void PrefixWatch::tick()
{
    if (runToken_ && !callPending_ && now(clock_) >= nextCall_)
        call();
}

void PrefixWatch::call()
{
    callPending_ = true;
    calls_->add();
    if (hasListing_)
        poll();
    else
        list();
}

void PrefixWatch::list()
{
    platform_->list(prefix_,
                    [this, alive = std::weak_ptr<int>(runToken_)](const Result<Listing> &response) {
                        if (!alive.expired())
                            onListing(response);
                    });
}

void PrefixWatch::poll()
{
    platform_->watch(
            prefix_, storeRevision_, detail::longPollTimeout,
            [this, alive = std::weak_ptr<int>(runToken_)](const Result<WatchResponse> &response) {
                if (!alive.expired())
                    onPollResult(response);
            });
}

void PrefixWatch::onListing(const Result<Listing> &listing)
{
    if (!listing) {
        onFailure(listing.error());
        return;
    }
    hasListing_ = true;
    onSuccess(listing->storeRevision);
    handler_({listing->entries, {}, listing->storeRevision, true});
    tick();
}

void PrefixWatch::onPollResult(const Result<WatchResponse> &response)
{
    if (!response) {
        onFailure(response.error());
        return;
    }
    // A lower store revision means that the store lost its history; list the prefix again.
    if (response->storeRevision < storeRevision_)
        hasListing_ = false;
    onSuccess(response->storeRevision);
    if (!response->changed.empty() || !response->removed.empty() || response->isSnapshot)
        handler_({response->changed, response->removed, response->storeRevision,
                  response->isSnapshot});
    tick();
}

void PrefixWatch::onFailure(const Error &error)
{
    callPending_ = false;
    reachable_ = false;
    firstCallDone_ = true;
    backoffs_->add();
    if (error.kind == ErrorKind::Stale || error.kind == ErrorKind::NotFound)
        hasListing_ = false;
    nextCall_ = now(clock_) + backoff_.next(*random_);
    CORNELHEAD_LOG(DEBUG, "watch") << "Watch of " << prefix_ << " failed: " << error.describe();
}

void PrefixWatch::onSuccess(ModRevision storeRevision)
{
    callPending_ = false;
    reachable_ = true;
    firstCallDone_ = true;
    backoff_.reset();
    storeRevision_ = storeRevision;
}

} // namespace cornelhead
