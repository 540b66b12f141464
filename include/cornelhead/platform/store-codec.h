// The interface of wire formats of the key-value service.
#pragma once

#include <optional>
#include <string>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/error.h"
#include "cornelhead/net/http.h"
#include "cornelhead/platform/store-types.h"

namespace cornelhead {

/// Encodes the client's requests and decodes the responses.
///
/// An interface rather than a variant, as an adapter outside the product adds its own codec.  The
/// `read` functions accept responses of any status: an error response is returned as an error of
/// its kind, a malformed response as `Unknown`.
class StoreCodec
{
public:
    StoreCodec() = default;
    virtual ~StoreCodec() = default;
    StoreCodec(const StoreCodec &) = delete;
    StoreCodec &operator=(const StoreCodec &) = delete;

    virtual HttpRequest get(const std::string &key) const = 0;
    /// Lists the keys that follow `after`, which is empty for the first page.
    virtual HttpRequest list(const std::string &prefix, const std::string &after,
                             Freshness freshness) const = 0;
    virtual HttpRequest watch(const std::string &prefix, ModRevision after,
                              Milliseconds wait) const = 0;
    /// Writes unconditionally if `expected` is absent.  Fails with `InvalidMessage` for a value
    /// that cannot be encoded.
    virtual Result<HttpRequest> put(const std::string &key, const std::string &value,
                                    const std::optional<ExpectedRevision> &expected,
                                    const std::optional<LeaseId> &lease) const = 0;
    virtual HttpRequest remove(const std::string &key, ExpectedRevision expected) const = 0;
    virtual HttpRequest grantLease(Milliseconds ttl) const = 0;
    virtual HttpRequest keepAlive(const LeaseId &lease) const = 0;
    virtual HttpRequest revoke(const LeaseId &lease) const = 0;

    /// Returns the era that a response of any status names; nothing if it names none.
    virtual std::optional<StoreEra> readEra(const HttpResponse &response) const = 0;
    virtual Result<std::optional<KeyValue>> readGet(const HttpResponse &response) const = 0;
    virtual Result<ListingPage> readList(const HttpResponse &response) const = 0;
    virtual Result<WatchResponse> readWatch(const HttpResponse &response) const = 0;
    virtual Result<ModRevision> readPut(const HttpResponse &response) const = 0;
    virtual Result<LeaseId> readLease(const HttpResponse &response) const = 0;
    /// Reads a response whose body is irrelevant if the call succeeded.
    virtual Result<void> readResult(const HttpResponse &response) const = 0;
};

} // namespace cornelhead
