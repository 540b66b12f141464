// Runs the list and the long polls of one prefix.
#include "cornelhead/distribution/prefix-watch.h"

#include "cornelhead/base/log.h"

namespace cornelhead {
namespace detail {

constexpr Milliseconds longPoll = Milliseconds(20000);
constexpr Milliseconds firstRetry = Milliseconds(100);
constexpr Milliseconds lastRetry = Milliseconds(2000);

} // namespace detail

PrefixWatch::PrefixWatch(std::string prefix, PlatformPort &platform, Clock clock, Random &random,
                         Metrics &metrics, Handler handler)
    : prefix_(std::move(prefix)), platform_(&platform), clock_(std::move(clock)), random_(&random),
      handler_(std::move(handler)),
      calls_(&metrics.counter("cornelhead_platform_calls_total", {{"flow", "watch"}})),
      backoffs_(&metrics.counter("cornelhead_backoffs_total", {{"flow", "watch"}})),
      backoff_(detail::firstRetry, detail::lastRetry)
{ }

void PrefixWatch::start()
{
    if (running_)
        return;
    running_ = std::make_shared<int>();
    waiting_ = false;
    listed_ = false;
    decided_ = false;
    nextCall_ = now(clock_);
    tick();
}

void PrefixWatch::stop()
{
    running_.reset();
    reachable_ = false;
}

void PrefixWatch::tick()
{
    if (running_ && !waiting_ && now(clock_) >= nextCall_)
        call();
}

void PrefixWatch::call()
{
    waiting_ = true;
    calls_->add();
    if (listed_)
        poll();
    else
        list();
}

void PrefixWatch::list()
{
    platform_->list(prefix_,
                    [this, alive = std::weak_ptr<int>(running_)](const Result<Listing> &answer) {
                        if (!alive.expired())
                            onListing(answer);
                    });
}

void PrefixWatch::poll()
{
    platform_->watch(
            prefix_, storeRevision_, detail::longPoll,
            [this, alive = std::weak_ptr<int>(running_)](const Result<WatchResponse> &answer) {
                if (!alive.expired())
                    onAnswer(answer);
            });
}

void PrefixWatch::onListing(const Result<Listing> &listing)
{
    if (!listing) {
        onFailure(listing.error());
        return;
    }
    listed_ = true;
    onSuccess(listing->storeRevision);
    handler_({listing->entries, {}, listing->storeRevision, true});
    tick();
}

void PrefixWatch::onAnswer(const Result<WatchResponse> &answer)
{
    if (!answer) {
        onFailure(answer.error());
        return;
    }
    // A store that went back has lost its history, so that the copy must be made anew.
    if (answer->storeRevision < storeRevision_)
        listed_ = false;
    onSuccess(answer->storeRevision);
    if (!answer->changed.empty() || !answer->removed.empty() || answer->isSnapshot)
        handler_({answer->changed, answer->removed, answer->storeRevision, answer->isSnapshot});
    tick();
}

void PrefixWatch::onFailure(const Error &error)
{
    waiting_ = false;
    reachable_ = false;
    decided_ = true;
    backoffs_->add();
    if (error.kind == ErrorKind::Stale || error.kind == ErrorKind::NotFound)
        listed_ = false;
    nextCall_ = now(clock_) + backoff_.next(*random_);
    CORNELHEAD_LOG(DEBUG, "watch") << "Watch of " << prefix_ << " failed: " << error.describe();
}

void PrefixWatch::onSuccess(ModRevision storeRevision)
{
    waiting_ = false;
    reachable_ = true;
    decided_ = true;
    backoff_.reset();
    storeRevision_ = storeRevision;
}

} // namespace cornelhead
