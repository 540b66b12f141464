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
#include "cornelhead/platform/own-store-codec.h"
#include "cornelhead/platform/store-codec.h"
#include "cornelhead/platform/store-types.h"

namespace cornelhead {

/// Calls the platform.  All callbacks run on the loop, never inside the call itself.
///
/// Errors: `Conflict` when a compare-and-swap lost, `RateLimited`, `TooLarge`, `NotFound` for a
/// lapsed lease, `Unavailable` when the call was certainly not run, `Unknown` when a write may have
/// taken effect, `InvalidMessage` for a value that the codec cannot send.
class PlatformClient
{
public:
    template <typename T>
    using Callback = std::function<void(Result<T>)>;

    /// Tries `addresses` in turn when one cannot be reached.
    PlatformClient(EventLoop &loop, std::vector<Address> addresses, Milliseconds timeout,
                   Metrics &metrics,
                   std::shared_ptr<const StoreCodec> codec = std::make_shared<OwnStoreCodec>());

    /// Names the caller's data centre in each call, so that tests can cut it off.
    void setDataCentre(const DataCentreId &dataCentre) { dataCentre_ = dataCentre; }

    void get(const std::string &key, Callback<std::optional<KeyValue>> callback);
    void list(const std::string &prefix, const Callback<Listing> &callback);
    /// Writes only over `expected`, if that is given; a lease removes the key when it lapses.
    void put(const std::string &key, const std::string &value,
             const std::optional<Expected> &expected, const std::optional<LeaseId> &lease,
             Callback<ModRevision> callback);
    void remove(const std::string &key, Expected expected, Callback<void> callback);
    /// Answers when something under `prefix` changed after `after`, or empty after `wait`.
    void watch(const std::string &prefix, ModRevision after, Milliseconds wait,
               Callback<WatchAnswer> callback);
    void grantLease(Milliseconds ttl, Callback<LeaseId> callback);
    void keepAlive(const LeaseId &lease, Callback<void> callback);
    void revoke(const LeaseId &lease, Callback<void> callback);

private:
    using ReadAnswer = std::function<Result<void>(Result<HttpResponse>)>;
    struct Call;

    void start(const std::shared_ptr<Call> &call);
    void send(const std::shared_ptr<Call> &call, std::size_t attempts);
    void finish(const Call &call, Result<HttpResponse> answer);
    void listFrom(const std::string &prefix, const std::shared_ptr<Listing> &soFar,
                  const Callback<Listing> &callback);

    EventLoop *loop_;
    HttpClient http_;
    std::shared_ptr<const StoreCodec> codec_;
    // Never empty.
    std::vector<Address> addresses_;
    std::size_t current_ = 0;
    Milliseconds timeout_;
    Metrics *metrics_;
    DataCentreId dataCentre_;
};

} // namespace cornelhead
