// Blocking operations on the platform's store for commands.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cornelhead/base/address.h"
#include "cornelhead/base/clock.h"
#include "cornelhead/base/error.h"
#include "cornelhead/platform/client.h"

namespace cornelhead {

/// Blocking calls, which keep commands sequential; tests replace them to avoid the network.
///
/// Errors are those of `PlatformClient`.
struct PlatformOperations
{
    std::function<Result<std::optional<KeyValue>>(const std::string &key)> get;
    std::function<Result<Listing>(const std::string &prefix)> list;
    std::function<Result<ModRevision>(const std::string &key, const std::string &value,
                                      ExpectedRevision expected)>
            put;
    std::function<Result<void>(const std::string &key, ExpectedRevision expected)> remove;
};

/// Calls the platform over the network and waits for each response.
///
/// Retries a call that was certainly not executed until `retryTimeout` has passed.
class PlatformSession
{
public:
    PlatformSession(std::vector<Address> addresses, Milliseconds retryTimeout);
    ~PlatformSession();
    PlatformSession(const PlatformSession &) = delete;
    PlatformSession &operator=(const PlatformSession &) = delete;

    /// The operations are valid as long as the session lives.
    PlatformOperations operations();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cornelhead
