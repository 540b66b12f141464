// The client of the platform's key-value service: compare-and-swap, leases and watches over HTTP.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cornelhead/base/address.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/base/metrics.h"
#include "cornelhead/net/http.h"
#include "cornelhead/platform/default-store-codec.h"
#include "cornelhead/platform/store-codec.h"
#include "cornelhead/platform/store-types.h"

namespace cornelhead {

/// An asynchronous client.  Callbacks run on the loop, never before the call returns.
///
/// Revisions hold the era of the store, see `inEra`.  A read that spans two eras is done again as a
/// listing; a compare-and-swap with a revision of an earlier era fails as a conflict.  A lease ends
/// with its era.
///
/// Errors: `Conflict` if a compare-and-swap failed, `RateLimited`, `TooLarge`, `NotFound` for an
/// expired lease, `Unavailable` if the call had no effect (a read, or certainly not executed),
/// `Unknown` if a write may have taken effect, `InvalidMessage` for a value that the codec cannot
/// encode.
class PlatformClient
{
public:
    template <typename T>
    using Callback = std::function<void(Result<T>)>;

    /// Fails over to the next of `addresses`, which must not be empty, if one is unreachable.
    /// `timeout` limits each attempt.
    PlatformClient(EventLoop &loop, std::vector<Address> addresses, Milliseconds timeout,
                   Metrics &metrics,
                   std::shared_ptr<const StoreCodec> codec = std::make_shared<DefaultStoreCodec>());

    /// Sends the data centre in a header of each call, so that tests can simulate a partition.
    void setDataCentre(const DataCentreId &dataCentre) { dataCentre_ = dataCentre; }

    /// `handler` runs when a response is the first one of a later era, before the response is
    /// handled.
    void setEraHandler(std::function<void(StoreEra before, StoreEra after)> handler)
    {
        eraHandler_ = std::move(handler);
    }
    /// Records an era of which another node has heard.
    void observeEra(StoreEra era);
    /// The latest era that a response named; 0 before the first.
    StoreEra era() const { return era_; }

    void get(const std::string &key, Callback<std::optional<KeyValue>> callback);
    void list(const std::string &prefix, const Callback<Listing> &callback,
              Freshness freshness = Freshness::Current);
    /// Writes unconditionally if `expected` is absent.  The key is removed when `lease` expires.
    void put(const std::string &key, const std::string &value,
             const std::optional<ExpectedRevision> &expected, const std::optional<LeaseId> &lease,
             Callback<ModRevision> callback);
    void remove(const std::string &key, ExpectedRevision expected, Callback<void> callback);
    /// Long poll: returns the changes under `prefix` after `after` as soon as there are any, or an
    /// empty result after `wait`.
    void watch(const std::string &prefix, ModRevision after, Milliseconds wait,
               Callback<WatchResponse> callback);
    void grantLease(Milliseconds ttl, Callback<LeaseId> callback);
    void keepAlive(const LeaseId &lease, Callback<void> callback);
    void revoke(const LeaseId &lease, Callback<void> callback);

private:
    using ResponseHandler = std::function<Result<void>(Result<HttpResponse>)>;
    struct Call;

    void start(const std::shared_ptr<Call> &call);
    void send(const std::shared_ptr<Call> &call, std::size_t attempts);
    void finish(const Call &call, Result<HttpResponse> response);
    template <typename T>
    std::function<Result<T>(const HttpResponse &)>
    decoder(Result<T> (StoreCodec::*read)(const HttpResponse &) const);
    /// Returns a `Conflict` if the revision is of an earlier era.
    std::optional<Error> findOutdated(const std::optional<ExpectedRevision> &expected) const;
    void callLease(const std::string &operation,
                   HttpRequest (StoreCodec::*encode)(const LeaseId &) const, const LeaseId &lease,
                   Callback<void> callback);
    template <typename T>
    void postError(const Error &error, Callback<T> callback);
    void listFrom(const std::string &prefix, Freshness freshness,
                  const std::shared_ptr<Listing> &accumulated, const Callback<Listing> &callback);

    EventLoop *loop_;
    HttpClient http_;
    std::shared_ptr<const StoreCodec> codec_;
    // Never empty.
    std::vector<Address> addresses_;
    std::size_t addressIndex_ = 0;
    Milliseconds timeout_;
    Metrics *metrics_;
    DataCentreId dataCentre_;
    StoreEra era_;
    std::function<void(StoreEra, StoreEra)> eraHandler_;
};

} // namespace cornelhead
