// Converts between typed data and frames of the inner protocol.
#pragma once

#include <string>
#include <string_view>

#include "cornelhead/base/error.h"
#include "cornelhead/distribution/ports.h"
#include "cornelhead/distribution/relay-directory.h"
#include "cornelhead/membership/endpoint-registry.h"
#include "cornelhead/rollout/move.h"
#include "cornelhead/rollout/outcome.h"

namespace cornelhead {

/// Version of the inner protocol; raised when frames change in a way that the receiver must
/// understand.
constexpr std::uint32_t protocolVersion = 1;

inner::NodeInfo toWire(const NodeInfo &info);
/// Fails with `InvalidMessage` for a missing id or a malformed address.
Result<NodeInfo> fromWire(const inner::NodeInfo &wire);

inner::Record toWire(const NodeRecord &record);
/// Fails with `InvalidMessage`.
Result<NodeRecord> fromWire(const inner::Record &wire);

inner::Outcomes toWire(const OutcomeBatch &batch);
OutcomeBatch fromWire(const inner::Outcomes &wire);

inner::Relays toWire(const RelayDirectory &directory);
/// Fails with `InvalidMessage`.
Result<RelayDirectory> fromWire(const inner::Relays &wire);

inner::Move toWire(const Move &move);
/// Fails with `InvalidMessage`.
Result<Move> fromWire(const inner::Move &wire);

/// Encodes the value of a relay's slot at the platform as JSON.
std::string encodeNodeInfo(const NodeInfo &info);
/// Fails with `InvalidMessage`.
Result<NodeInfo> decodeNodeInfo(std::string_view json);

} // namespace cornelhead
