// The default wire format of the key-value service, which the stand-in server implements.
#pragma once

#include "cornelhead/platform/store-codec.h"

namespace cornelhead {

/// JSON messages under /v1.  Values must be UTF-8 text; `put` fails with `InvalidMessage` for
/// others.
class DefaultStoreCodec : public StoreCodec
{
public:
    HttpRequest get(const std::string &key) const override;
    HttpRequest list(const std::string &prefix, const std::string &after,
                     Freshness freshness) const override;
    HttpRequest watch(const std::string &prefix, ModRevision after,
                      Milliseconds wait) const override;
    Result<HttpRequest> put(const std::string &key, const std::string &value,
                            const std::optional<ExpectedRevision> &expected,
                            const std::optional<LeaseId> &lease) const override;
    HttpRequest remove(const std::string &key, ExpectedRevision expected) const override;
    HttpRequest grantLease(Milliseconds ttl) const override;
    HttpRequest keepAlive(const LeaseId &lease) const override;
    HttpRequest revoke(const LeaseId &lease) const override;

    std::optional<StoreEra> readEra(const HttpResponse &response) const override;
    Result<std::optional<KeyValue>> readGet(const HttpResponse &response) const override;
    Result<ListingPage> readList(const HttpResponse &response) const override;
    Result<WatchResponse> readWatch(const HttpResponse &response) const override;
    Result<ModRevision> readPut(const HttpResponse &response) const override;
    Result<LeaseId> readLease(const HttpResponse &response) const override;
    Result<void> readResult(const HttpResponse &response) const override;
};

} // namespace cornelhead
