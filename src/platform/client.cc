// Calls the platform over HTTP and turns every outcome into a typed result.
#include "cornelhead/platform/client.h"

#include <utility>

#include "cornelhead/platform/wire.h"

namespace cornelhead {
namespace detail {

/// Added to the time of a watch, so that the server's empty answer arrives in time.
constexpr Milliseconds watchGrace(2000);

/// Ends a call: reads the answer, calls back, and returns how the call went, for its counter.
template <typename T, typename Read>
std::function<Result<void>(Result<HttpResponse>)> reader(bool isWrite, Read read,
                                                         PlatformClient::Callback<T> callback)
{
    return [isWrite, read, callback = std::move(callback)](const Result<HttpResponse> &answer) {
        Result<T> result = answer ? read(*answer) : Result<T>(tl::unexpected(answer.error()));
        // A read has no effect, so it may be repeated whatever happened to it.
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
    ReadAnswer read;
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
    const Address to = addresses_[current_ % addresses_.size()];
    http_.send(to, call->request, call->timeout,
               [this, call, attempts](Result<HttpResponse> answer) {
                   if (!answer)
                       ++current_;
                   if (!answer && answer.error().kind == ErrorKind::Unavailable && attempts > 1)
                       send(call, attempts - 1);
                   else
                       finish(*call, std::move(answer));
               });
}

void PlatformClient::finish(const Call &call, Result<HttpResponse> answer)
{
    const Result<void> outcome = call.read(std::move(answer));
    const std::string result(outcome ? "ok" : errorKindName(outcome.error().kind));
    metrics_->counter("cornelhead_platform_calls_total",
                      {{"operation", call.operation}, {"result", result}})
            .add();
}

void PlatformClient::get(const std::string &key, Callback<std::optional<KeyValue>> callback)
{
    const auto read
            = [codec = codec_](const HttpResponse &answer) { return codec->readGet(answer); };
    start(std::make_shared<Call>(
            Call{"get", codec_->get(key), timeout_,
                 detail::reader<std::optional<KeyValue>>(false, read, std::move(callback))}));
}

void PlatformClient::list(const std::string &prefix, const Callback<Listing> &callback)
{
    listFrom(prefix, std::make_shared<Listing>(), callback);
}

void PlatformClient::listFrom(const std::string &prefix, const std::shared_ptr<Listing> &soFar,
                              const Callback<Listing> &callback)
{
    const auto read
            = [codec = codec_](const HttpResponse &answer) { return codec->readList(answer); };
    const auto takePage = [this, prefix, soFar, callback](Result<ListingPage> page) {
        if (!page) {
            callback(tl::unexpected(page.error()));
            return;
        }
        // Pages are no snapshot: a watch must begin at the oldest of them.
        if (soFar->entries.empty())
            soFar->storeRevision = page->listing.storeRevision;
        for (KeyValue &entry : page->listing.entries)
            soFar->entries.push_back(std::move(entry));
        if (page->hasMore && !soFar->entries.empty())
            listFrom(prefix, soFar, callback);
        else
            callback(std::move(*soFar));
    };
    const std::string after = soFar->entries.empty() ? std::string() : soFar->entries.back().key;
    start(std::make_shared<Call>(Call{"list", codec_->list(prefix, after), timeout_,
                                      detail::reader<ListingPage>(false, read, takePage)}));
}

void PlatformClient::put(const std::string &key, const std::string &value,
                         const std::optional<Expected> &expected,
                         const std::optional<LeaseId> &lease, Callback<ModRevision> callback)
{
    Result<HttpRequest> request = codec_->put(key, value, expected, lease);
    if (!request) {
        loop_->post([callback = std::move(callback), error = request.error()] {
            callback(tl::unexpected(error));
        });
        return;
    }
    const auto read
            = [codec = codec_](const HttpResponse &answer) { return codec->readPut(answer); };
    start(std::make_shared<Call>(
            Call{"put", std::move(*request), timeout_,
                 detail::reader<ModRevision>(true, read, std::move(callback))}));
}

void PlatformClient::remove(const std::string &key, Expected expected, Callback<void> callback)
{
    const auto read
            = [codec = codec_](const HttpResponse &answer) { return codec->readDone(answer); };
    start(std::make_shared<Call>(Call{"remove", codec_->remove(key, expected), timeout_,
                                      detail::reader<void>(true, read, std::move(callback))}));
}

void PlatformClient::watch(const std::string &prefix, ModRevision after, Milliseconds wait,
                           Callback<WatchAnswer> callback)
{
    const auto listWhole = [this, prefix](const Callback<WatchAnswer> &done) {
        list(prefix, [done](Result<Listing> listing) {
            if (!listing)
                done(tl::unexpected(listing.error()));
            else
                done(WatchAnswer{std::move(listing->entries), {}, listing->storeRevision, true});
        });
    };
    const auto takeAnswer
            = [callback = std::move(callback), listWhole](Result<WatchAnswer> answer) {
                  if (!answer && answer.error().kind == ErrorKind::Stale)
                      listWhole(callback);
                  else
                      callback(std::move(answer));
              };
    const auto read
            = [codec = codec_](const HttpResponse &answer) { return codec->readWatch(answer); };
    start(std::make_shared<Call>(Call{"watch", codec_->watch(prefix, after, wait),
                                      wait + detail::watchGrace + timeout_,
                                      detail::reader<WatchAnswer>(false, read, takeAnswer)}));
}

void PlatformClient::grantLease(Milliseconds ttl, Callback<LeaseId> callback)
{
    const auto read
            = [codec = codec_](const HttpResponse &answer) { return codec->readLease(answer); };
    start(std::make_shared<Call>(Call{"grant", codec_->grantLease(ttl), timeout_,
                                      detail::reader<LeaseId>(true, read, std::move(callback))}));
}

void PlatformClient::keepAlive(const LeaseId &lease, Callback<void> callback)
{
    const auto read
            = [codec = codec_](const HttpResponse &answer) { return codec->readDone(answer); };
    start(std::make_shared<Call>(Call{"keep-alive", codec_->keepAlive(lease), timeout_,
                                      detail::reader<void>(true, read, std::move(callback))}));
}

void PlatformClient::revoke(const LeaseId &lease, Callback<void> callback)
{
    const auto read
            = [codec = codec_](const HttpResponse &answer) { return codec->readDone(answer); };
    start(std::make_shared<Call>(Call{"revoke", codec_->revoke(lease), timeout_,
                                      detail::reader<void>(true, read, std::move(callback))}));
}

} // namespace cornelhead
