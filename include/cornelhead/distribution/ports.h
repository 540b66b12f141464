// Interfaces of the distribution logic to its environment: links to other nodes and the platform.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cornelhead/base/address.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/platform/client.h"
#include "protocol/inner.pb.h"

namespace cornelhead {

/// Identifies an incoming or outgoing link; unique within the process.
using LinkId = Number<struct LinkTag>;
/// Shared because a frame may be queued on many links at once.
using FramePtr = std::shared_ptr<const inner::Frame>;

/// Opens and closes links and sends frames.  Received frames and closed links are reported later,
/// never from inside these calls; a link closed with `close` is not reported.
struct NetworkPort
{
    std::function<LinkId(const Address &)> open;
    std::function<void(LinkId, FramePtr)> send;
    std::function<void(LinkId)> close;
};

/// The calls to the platform that distribution makes, with the semantics of `PlatformClient`.
struct PlatformPort
{
    template <typename T>
    using Callback = std::function<void(Result<T>)>;

    std::function<void(const std::string &, Callback<std::optional<KeyValue>>)> get;
    std::function<void(const std::string &, Callback<Listing>)> list;
    std::function<void(const std::string &, const std::string &, ExpectedRevision,
                       std::optional<LeaseId>, Callback<ModRevision>)>
            put;
    std::function<void(const std::string &, ExpectedRevision, Callback<void>)> remove;
    std::function<void(const std::string &, ModRevision, Milliseconds, Callback<WatchResponse>)>
            watch;
    std::function<void(Milliseconds, Callback<LeaseId>)> grantLease;
    std::function<void(const LeaseId &, Callback<void>)> keepAlive;
    std::function<void(const LeaseId &, Callback<void>)> revoke;
};

/// Makes a port that calls `client`, which must outlive it.
PlatformPort platformPort(PlatformClient &client);

} // namespace cornelhead
