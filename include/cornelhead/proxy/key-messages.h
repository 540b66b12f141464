// The messages for the handover of idempotency keys between nodes: CBOR over the proxy's HTTP port.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cornelhead/base/error.h"
#include "cornelhead/routing/home-keys.h"

namespace cornelhead::detail {

/// Requests below this path are messages to the node itself; only other nodes may send them.
constexpr std::string_view nodePathPrefix = "/.cornelhead/";
constexpr const char *releasePath = "/.cornelhead/release";
constexpr const char *takeOverPath = "/.cornelhead/take-over";
constexpr const char *retiredPath = "/.cornelhead/retired";

/// Asks the former home of a key to release it to the new home.
struct ReleaseRequest
{
    KeyedCall call;
    NodeId successor;
};

/// Notifies the successors of a stopping node that all of them have taken over.
struct RetiredNotice
{
    NodeId node;
    std::vector<NodeId> members;
};

/// All decoding functions and `parseRelease` fail with `InvalidMessage`.

std::string encodeReleaseRequest(const ReleaseRequest &request);
Result<ReleaseRequest> decodeReleaseRequest(std::string_view bytes);

/// Returns the name of a release in a response: granted, known or refused.
std::string_view releaseName(Release release);
Result<Release> parseRelease(std::string_view name);

/// Omits stored responses beyond 2 MiB in total, so that the message stays well below the limit of
/// a request body.
std::string encodeRetirement(const Retirement &retirement);
Result<Retirement> decodeRetirement(std::string_view bytes);

std::string encodeRetiredNotice(const RetiredNotice &notice);
Result<RetiredNotice> decodeRetiredNotice(std::string_view bytes);

} // namespace cornelhead::detail
