// The messages by which homes of keys hand them over, in CBOR over the proxy's own HTTP.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cornelhead/base/error.h"
#include "cornelhead/routing/home-keys.h"

namespace cornelhead::detail {

/// Requests below this path are for the node itself; only other nodes may send them.
constexpr std::string_view nodePathPrefix = "/.cornelhead/";
constexpr const char *releasePath = "/.cornelhead/release";
constexpr const char *takeOverPath = "/.cornelhead/take-over";
constexpr const char *retiredPath = "/.cornelhead/retired";

/// A new home asks the former one for a key.
struct ReleaseRequest
{
    KeyedCall call;
    NodeId successor;
};

/// A stopping node says that every successor took over.
struct RetiredNotice
{
    NodeId node;
    std::vector<NodeId> members;
};

std::string encodeReleaseRequest(const ReleaseRequest &question);
/// These fail with `InvalidMessage`.
Result<ReleaseRequest> decodeReleaseRequest(std::string_view bytes);

/// Names a release in an answer: granted, known or refused.
std::string_view releaseName(Release release);
Result<Release> parseRelease(std::string_view name);

/// Leaves out answers beyond a bound, so that the message stays well below a request's limit.
std::string encodeRetirement(const Retirement &retirement);
Result<Retirement> decodeRetirement(std::string_view bytes);

std::string encodeRetiredNotice(const RetiredNotice &notice);
Result<RetiredNotice> decodeRetiredNotice(std::string_view bytes);

} // namespace cornelhead::detail
