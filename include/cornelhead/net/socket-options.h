// Socket options of outgoing connections.
#pragma once

#include "cornelhead/base/clock.h"

namespace cornelhead {

/// How long a peer may be unresponsive at the TCP level before the connection fails.  Short enough
/// that a broken long poll is detected before the next change must be in force.
constexpr Milliseconds deadPeerTimeout = Milliseconds(3000);

/// Disables Nagle's algorithm and enables TCP keep-alive probes and a user timeout, so that a
/// connection whose network path is lost without a reset fails after `deadPeerTimeout`.
/// Does nothing for a negative `socket`.
void setOutgoingSocketOptions(int socket);

} // namespace cornelhead
