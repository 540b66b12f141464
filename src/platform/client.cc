// Implements the client of the platform's key-value service.
#include "cornelhead/platform/client.h"

#include <utility>

#include "cornelhead/platform/wire.h"

namespace cornelhead {
namespace detail {

/// Added to the timeout of a watch, so that the server's empty response arrives before it expires.
constexpr Milliseconds watchTimeoutMargin(2000);

/// These add the era of a response to the revisions and leases that it names.
void setEra(StoreEra era, ModRevision &revision)
{
    revision = inEra(era, revision);
}

void setEra(StoreEra era, LeaseId &lease)
{
    lease = inEra(era, lease);
}

void setEra(StoreEra era, std::vector<KeyValue> &entries)
{
    for (KeyValue &entry : entries)
        setEra(era, entry.modRevision);
}

void setEra(StoreEra era, std::optional<KeyValue> &entry)
{
    if (entry)
        setEra(era, entry->modRevision);
}

void setEra(StoreEra era, ListingPage &page)
{
    setEra(era, page.listing.entries);
    setEra(era, page.listing.storeRevision);
}

void setEra(StoreEra era, WatchResponse &response)
{
    setEra(era, response.changed);
    setEra(era, response.storeRevision);
}

tl::unexpected<Error> storeWasRestored()
{
    return fail(ErrorKind::Unavailable,
                "the response is from before the platform came back from an older copy",
                "read the state again");
}

tl::unexpected<Error> leaseOfEarlierEra()
{
    return fail(ErrorKind::NotFound,
                "the lease is from before the platform came back from an older copy",
                "grant a new lease and write the key again");
}

/// Returns a handler that decodes a response, runs the callback and returns the outcome of the
/// call, which is counted.
template <typename T, typename Read>
std::function<Result<void>(Result<HttpResponse>)>
responseHandler(bool isWrite, Read decode, PlatformClient::Callback<T> callback)
{
    return [isWrite, decode, callback = std::move(callback)](const Result<HttpResponse> &response) {
        Result<T> result
                = response ? decode(*response) : Result<T>(tl::unexpected(response.error()));
        // A read has no side effects, so it can always be retried.
        if (!result && result.error().kind == ErrorKind::Unknown && !isWrite)
            result.error().kind = ErrorKind::Unavailable;
        Result<void> outcome;
        if (!result)
            outcome = tl::unexpected(result.error());
        callback(std::move(result));
        return outcome;
    };
}

} // namespace detail

struct PlatformClient::Call
{
    std::string operation;
    HttpRequest request;
    Milliseconds timeout{};
    ResponseHandler onResponse;
};

PlatformClient::PlatformClient(EventLoop &loop, std::vector<Address> addresses,
                               Milliseconds timeout, Metrics &metrics,
                               std::shared_ptr<const StoreCodec> codec)
    : loop_(&loop), http_(loop), codec_(std::move(codec)), addresses_(std::move(addresses)),
      timeout_(timeout), metrics_(&metrics)
{ }

void PlatformClient::start(const std::shared_ptr<Call> &call)
{
    if (!dataCentre_.empty())
        call->request.headers[detail::dataCentreHeader] = dataCentre_.value();
    send(call, addresses_.size());
}

void PlatformClient::send(const std::shared_ptr<Call> &call, std::size_t attempts)
{
    const Address to = addresses_[addressIndex_ % addresses_.size()];
    http_.send(to, call->request, call->timeout,
               [this, call, attempts](Result<HttpResponse> response) {
                   if (!response)
                       ++addressIndex_;
                   if (!response && response.error().kind == ErrorKind::Unavailable && attempts > 1)
                       send(call, attempts - 1);
                   else
                       finish(*call, std::move(response));
               });
}

void PlatformClient::finish(const Call &call, Result<HttpResponse> response)
{
    const StoreEra era = response ? codec_->readEra(*response).value_or(era_) : era_;
    observeEra(era);
    if (era < era_)
        response = detail::storeWasRestored();
    const Result<void> outcome = call.onResponse(std::move(response));
    const std::string result(outcome ? "ok" : errorKindName(outcome.error().kind));
    metrics_->counter("cornelhead_platform_calls_total",
                      {{"operation", call.operation}, {"result", result}})
            .add();
}

void PlatformClient::observeEra(StoreEra era)
{
    if (era <= era_)
        return;
    const StoreEra before = std::exchange(era_, era);
    metrics_->gauge("cornelhead_platform_era").set(static_cast<std::int64_t>(era.value()));
    if (eraHandler_)
        eraHandler_(before, era);
}

// All responses are decoded within `finish`, when `era_` is the era of the response.
template <typename T>
std::function<Result<T>(const HttpResponse &)>
PlatformClient::decoder(Result<T> (StoreCodec::*read)(const HttpResponse &) const)
{
    return [this, codec = codec_, read](const HttpResponse &response) {
        Result<T> result = (codec.get()->*read)(response);
        if (result)
            detail::setEra(era_, *result);
        return result;
    };
}

void PlatformClient::get(const std::string &key, Callback<std::optional<KeyValue>> callback)
{
    const auto decode = decoder(&StoreCodec::readGet);
    start(std::make_shared<Call>(Call{
            "get", codec_->get(key), timeout_,
            detail::responseHandler<std::optional<KeyValue>>(false, decode, std::move(callback))}));
}

void PlatformClient::list(const std::string &prefix, const Callback<Listing> &callback,
                          Freshness freshness)
{
    listFrom(prefix, freshness, std::make_shared<Listing>(), callback);
}

void PlatformClient::listFrom(const std::string &prefix, Freshness freshness,
                              const std::shared_ptr<Listing> &accumulated,
                              const Callback<Listing> &callback)
{
    const auto decode = decoder(&StoreCodec::readList);
    const auto onPage = [this, prefix, freshness, accumulated, callback](Result<ListingPage> page) {
        if (!page) {
            callback(tl::unexpected(page.error()));
            return;
        }
        // A listing whose pages are of different eras is begun again.
        if (!accumulated->entries.empty()
            && eraOf(accumulated->storeRevision) < eraOf(page->listing.storeRevision)) {
            listFrom(prefix, freshness, std::make_shared<Listing>(), callback);
            return;
        }
        // The pages are no consistent snapshot, so a watch must start at the revision of the first.
        if (accumulated->entries.empty())
            accumulated->storeRevision = page->listing.storeRevision;
        for (KeyValue &entry : page->listing.entries)
            accumulated->entries.push_back(std::move(entry));
        if (page->hasMore && !accumulated->entries.empty())
            listFrom(prefix, freshness, accumulated, callback);
        else
            callback(std::move(*accumulated));
    };
    const std::string after
            = accumulated->entries.empty() ? std::string() : accumulated->entries.back().key;
    start(std::make_shared<Call>(
            Call{"list", codec_->list(prefix, after, freshness), timeout_,
                 detail::responseHandler<ListingPage>(false, decode, onPage)}));
}

std::optional<Error>
PlatformClient::findOutdated(const std::optional<ExpectedRevision> &expected) const
{
    if (!expected || expected->modRevision == ModRevision() || eraOf(expected->modRevision) == era_)
        return std::nullopt;
    return Error{ErrorKind::Conflict,
                 "the expected revision is from before the platform came back from an older copy",
                 "read the key again and retry"};
}

template <typename T>
void PlatformClient::postError(const Error &error, Callback<T> callback)
{
    loop_->post([callback = std::move(callback), error] { callback(tl::unexpected(error)); });
}

void PlatformClient::put(const std::string &key, const std::string &value,
                         const std::optional<ExpectedRevision> &expected,
                         const std::optional<LeaseId> &lease, Callback<ModRevision> callback)
{
    if (const std::optional<Error> error = findOutdated(expected)) {
        postError(*error, std::move(callback));
        return;
    }
    if (lease && eraOf(*lease) != era_) {
        postError(detail::leaseOfEarlierEra().value(), std::move(callback));
        return;
    }
    std::optional<LeaseId> leaseInStore;
    if (lease)
        leaseInStore = withoutEra(*lease);
    std::optional<ExpectedRevision> expectedInStore = expected;
    if (expected)
        expectedInStore->modRevision = withoutEra(expected->modRevision);
    Result<HttpRequest> request = codec_->put(key, value, expectedInStore, leaseInStore);
    if (!request) {
        postError(request.error(), std::move(callback));
        return;
    }
    const auto decode = [this, lease, read = decoder(&StoreCodec::readPut)](
                                const HttpResponse &response) -> Result<ModRevision> {
        Result<ModRevision> written = read(response);
        // The store took the id for that of another lease.
        if (written && lease && eraOf(*lease) != era_)
            return detail::leaseOfEarlierEra();
        return written;
    };
    start(std::make_shared<Call>(
            Call{"put", std::move(*request), timeout_,
                 detail::responseHandler<ModRevision>(true, decode, std::move(callback))}));
}

void PlatformClient::remove(const std::string &key, ExpectedRevision expected,
                            Callback<void> callback)
{
    if (const std::optional<Error> error = findOutdated(expected)) {
        postError(*error, std::move(callback));
        return;
    }
    expected.modRevision = withoutEra(expected.modRevision);
    const auto decode = [codec = codec_](const HttpResponse &response) {
        return codec->readResult(response);
    };
    start(std::make_shared<Call>(
            Call{"remove", codec_->remove(key, expected), timeout_,
                 detail::responseHandler<void>(true, decode, std::move(callback))}));
}

void PlatformClient::watch(const std::string &prefix, ModRevision after, Milliseconds wait,
                           Callback<WatchResponse> callback)
{
    const auto listAll = [this, prefix](const Callback<WatchResponse> &done) {
        list(prefix, [done](Result<Listing> listing) {
            if (!listing)
                done(tl::unexpected(listing.error()));
            else
                done(WatchResponse{std::move(listing->entries), {}, listing->storeRevision, true});
        });
    };
    // The changes of another era do not continue those up to `after`.
    const bool isEraKnown = after != ModRevision();
    if (isEraKnown && eraOf(after) < era_) {
        listAll(callback);
        return;
    }
    const auto onResponse = [callback = std::move(callback), listAll, isEraKnown,
                             era = eraOf(after)](Result<WatchResponse> response) {
        const bool isStale = !response && response.error().kind == ErrorKind::Stale;
        if (isStale || (response && isEraKnown && eraOf(response->storeRevision) != era))
            listAll(callback);
        else
            callback(std::move(response));
    };
    const auto decode = decoder(&StoreCodec::readWatch);
    start(std::make_shared<Call>(
            Call{"watch", codec_->watch(prefix, withoutEra(after), wait),
                 wait + detail::watchTimeoutMargin + timeout_,
                 detail::responseHandler<WatchResponse>(false, decode, onResponse)}));
}

void PlatformClient::grantLease(Milliseconds ttl, Callback<LeaseId> callback)
{
    const auto decode = decoder(&StoreCodec::readLease);
    start(std::make_shared<Call>(
            Call{"grant", codec_->grantLease(ttl), timeout_,
                 detail::responseHandler<LeaseId>(true, decode, std::move(callback))}));
}

void PlatformClient::keepAlive(const LeaseId &lease, Callback<void> callback)
{
    callLease("keep-alive", &StoreCodec::keepAlive, lease, std::move(callback));
}

void PlatformClient::revoke(const LeaseId &lease, Callback<void> callback)
{
    callLease("revoke", &StoreCodec::revoke, lease, std::move(callback));
}

void PlatformClient::callLease(const std::string &operation,
                               HttpRequest (StoreCodec::*encode)(const LeaseId &) const,
                               const LeaseId &lease, Callback<void> callback)
{
    if (eraOf(lease) != era_) {
        postError(detail::leaseOfEarlierEra().value(), std::move(callback));
        return;
    }
    const auto decode
            = [this, codec = codec_, era = era_](const HttpResponse &response) -> Result<void> {
        if (era != era_)
            return detail::leaseOfEarlierEra();
        return codec->readResult(response);
    };
    start(std::make_shared<Call>(
            Call{operation, (codec_.get()->*encode)(withoutEra(lease)), timeout_,
                 detail::responseHandler<void>(true, decode, std::move(callback))}));
}

} // namespace cornelhead
