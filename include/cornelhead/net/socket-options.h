// Options of sockets that connect to another host.
#pragma once

#include "cornelhead/base/clock.h"

namespace cornelhead {

/// How long a connection may lose every packet before it counts as broken.  Short enough that a
/// long poll whose path was lost is noticed before the next change must be in force.
constexpr Milliseconds silentConnectionLimit = Milliseconds(3000);

/// Sends small messages at once, and lets the kernel probe a connection on which nothing arrives,
/// so that one whose path was lost without a reset ends after `silentConnectionLimit`.
/// A negative `socket` is left alone.
void tuneOutgoingSocket(int socket);

} // namespace cornelhead
