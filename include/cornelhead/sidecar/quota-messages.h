// The messages by which nodes ask the home of a group of customers for tokens.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cornelhead/base/error.h"
#include "cornelhead/routing/quota-ledger.h"

namespace cornelhead {

/// A request of a node to the home of a group.
struct QuotaMessage
{
    /// Below `quotaGroupCount`.
    std::uint32_t group = 0;
    QuotaRequest request;
};

/// The path of these requests on the address for other nodes.
constexpr const char *quotaPath = "/cornelhead/quota";

std::string encodeQuotaMessage(const QuotaMessage &message);
/// Fails with `InvalidMessage` or `TooLarge`.
Result<QuotaMessage> decodeQuotaMessage(std::string_view text);
std::string encodeQuotaGrants(const std::vector<QuotaGrant> &grants);
/// Fails with `InvalidMessage` or `TooLarge`.
Result<std::vector<QuotaGrant>> decodeQuotaGrants(std::string_view text);

} // namespace cornelhead
