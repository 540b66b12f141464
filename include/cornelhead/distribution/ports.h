// What the decisions of distribution need from the outside: links to other nodes, and the platform.
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

/// Names one link, incoming or outgoing, for the life of the process.
using LinkId = Number<struct LinkTag>;
/// A frame may wait in the queues of many links at once.
using FramePtr = std::shared_ptr<const inner::Frame>;

/// Opens, feeds and closes links.  The owner reports frames and closed links later, never from
/// inside these calls, and reports nothing of a link closed here.
struct NetworkPort
{
    std::function<LinkId(const Address &)> open;
    std::function<void(LinkId, FramePtr)> send;
    std::function<void(LinkId)> close;
};

/// The calls to the platform that distribution makes; as those of `PlatformClient`.
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
