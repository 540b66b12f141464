// Finds free loopback ports for tests that listen.
#pragma once

#include <unistd.h>

#include <stdexcept>

#include "cornelhead/base/address.h"

namespace cornelhead {

/// Calls `listen` with loopback addresses until it succeeds, and returns that address.
template <typename Listen>
Address listenOnFreePort(Listen listen)
{
    // Test programs that run at once begin at different ports.
    const int first = 20'000 + static_cast<int>(::getpid() % 100) * 100;
    for (int port = first; port < first + 1000; ++port) {
        Address address{"127.0.0.1", static_cast<std::uint16_t>(port)};
        if (listen(address))
            return address;
    }
    throw std::runtime_error("no free port");
}

} // namespace cornelhead
