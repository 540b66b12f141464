// Remembers requests that servers died under, by their fingerprint.
#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"

namespace cornelhead {

/// Names what a request asks for: the hash of its method, path, query and body.
using Fingerprint = Number<struct FingerprintTag>;

Fingerprint fingerprintOf(std::string_view method, std::string_view target, std::string_view body);

/// One server's connection broke while it ran a request.
struct SuspectedDeath
{
    Fingerprint request;
    ServerId server;
    /// How long ago the attempt started and the connection broke.
    Microseconds startedAgo{};
    Microseconds brokeAgo{};
};

/// Counts deaths for each request and refuses it after `deathsToRefuse`.
///
/// A second death counts only if its attempt started after the first one and no answer came in
/// between, so that servers that die at one time condemn none of the requests they ran.
class PoisonTracker
{
public:
    static constexpr std::uint32_t deathsToRefuse = 2;

    /// Notes a death seen here or told by another node of the data centre.  Returns whether the
    /// request is refused from now on.
    bool recordDeath(const SuspectedDeath &death, TimePoint now);
    /// The request was answered, so it is not to blame.
    void recordResponse(Fingerprint request);
    bool isRefused(Fingerprint request, TimePoint now) const;
    /// Tells whether any request is suspected, so that a call need not be hashed for nothing.
    bool hasSuspects() const { return !suspects_.empty(); }
    void expire(TimePoint now);

private:
    struct Suspect
    {
        std::uint32_t deaths = 0;
        ServerId lastServer;
        // When the attempt that ended in the last counted death started, and when it broke.
        TimePoint lastStart{};
        TimePoint lastDeath{};
    };

    // Invariant: at most `maxSuspects`.
    std::unordered_map<Fingerprint, Suspect> suspects_;
};

} // namespace cornelhead
