// How calls of the key-value service are spelled on the wire.
#pragma once

#include <optional>
#include <string>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/error.h"
#include "cornelhead/net/http.h"
#include "cornelhead/platform/store-types.h"

namespace cornelhead {

/// Renders requests of the client and reads their answers.
///
/// An interface rather than a variant, as an adapter outside of the product adds its own.  The
/// functions that read take answers of any status and fail with the typed error that they stand
/// for; an answer that cannot be read fails with `Unknown`.
class StoreCodec
{
public:
    StoreCodec() = default;
    virtual ~StoreCodec() = default;
    StoreCodec(const StoreCodec &) = delete;
    StoreCodec &operator=(const StoreCodec &) = delete;

    virtual HttpRequest get(const std::string &key) const = 0;
    /// Lists what follows the key `after`; empty for the first page.
    virtual HttpRequest list(const std::string &prefix, const std::string &after) const = 0;
    virtual HttpRequest watch(const std::string &prefix, ModRevision after,
                              Milliseconds wait) const = 0;
    /// Writes whatever is there when nothing is expected.  Fails with `InvalidMessage` for a value
    /// that cannot be sent.
    virtual Result<HttpRequest> put(const std::string &key, const std::string &value,
                                    const std::optional<Expected> &expected,
                                    const std::optional<LeaseId> &lease) const = 0;
    virtual HttpRequest remove(const std::string &key, Expected expected) const = 0;
    virtual HttpRequest grantLease(Milliseconds ttl) const = 0;
    virtual HttpRequest keepAlive(const LeaseId &lease) const = 0;
    virtual HttpRequest revoke(const LeaseId &lease) const = 0;

    virtual Result<std::optional<KeyValue>> readGet(const HttpResponse &answer) const = 0;
    virtual Result<ListingPage> readList(const HttpResponse &answer) const = 0;
    virtual Result<WatchAnswer> readWatch(const HttpResponse &answer) const = 0;
    virtual Result<ModRevision> readPut(const HttpResponse &answer) const = 0;
    virtual Result<LeaseId> readLease(const HttpResponse &answer) const = 0;
    /// Reads an answer that says no more than whether the call succeeded.
    virtual Result<void> readDone(const HttpResponse &answer) const = 0;
};

} // namespace cornelhead
