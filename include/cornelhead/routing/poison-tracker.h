// Tracks poison requests: requests that crash the backend server that runs them.
#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"

namespace cornelhead {

/// The hash of a request's method, target (with the host if requests are routed by it) and body.
using Fingerprint = Number<struct FingerprintTag>;

Fingerprint fingerprintOf(std::string_view method, std::string_view target, std::string_view body);

/// A connection that broke while the server ran a request, which suggests a crash.
struct SuspectedDeath
{
    Fingerprint request;
    ServerId server;
    /// How long ago the attempt started, and how long ago the connection broke.
    Microseconds startedAgo{};
    Microseconds brokeAgo{};
    /// How much longer ago it may have broken, as the notice of another node takes time.
    Microseconds uncertainty{};
};

/// Counts the suspected server deaths of each request and refuses it after `deathsToRefuse`.
///
/// A second death counts only if it was another server's, its attempt started after the first death
/// and the request got no response in between.  Servers that die at the same time for another
/// reason therefore block none of the requests that they ran.
///
/// Nodes notify each other of deaths and of the responses that clear them, as the node that refuses
/// a request may see none of its responses.
class PoisonTracker
{
public:
    static constexpr std::uint32_t deathsToRefuse = 2;

    /// Records a death that this node or another node of the data centre observed.  Returns whether
    /// the request is refused from now on.
    bool recordDeath(const SuspectedDeath &death, TimePoint now);
    /// Clears the suspected deaths of a request that got a response here.  Returns whether there
    /// were any, so that the other nodes must be notified.
    bool recordResponse(Fingerprint request, TimePoint now);
    /// Does the same for a response at another node, which may overtake the notices of deaths.
    void recordResponseNotice(Fingerprint request, TimePoint now);
    bool isRefused(Fingerprint request, TimePoint now) const;
    /// Returns whether any request is suspected; if not, the caller need not compute a fingerprint.
    bool hasSuspects() const { return !suspects_.empty(); }
    /// Removes requests whose last death or response is too long ago.
    void expire(TimePoint now);

private:
    struct Suspect
    {
        std::uint32_t deaths = 0;
        ServerId lastServer;
        // Start of the attempt that ended in the last counted death, and the time of that death.
        TimePoint lastStartedAt{};
        TimePoint lastDeathAt{};
    };

    // Invariant: at most `maxSuspects`.
    std::unordered_map<Fingerprint, Suspect> suspects_;
    // The last responses that cleared suspected deaths, here or at another node.
    // Invariant: at most `maxSuspects`.
    std::unordered_map<Fingerprint, TimePoint> responses_;
};

} // namespace cornelhead
