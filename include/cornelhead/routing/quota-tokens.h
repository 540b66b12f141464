// The tokens of customers' quotas at one node: which calls it may forward, and what it asks its
// home for.
//
// Load pattern: customers far over their quota at all nodes; each node then asks a few times a
// second for a customer, and refuses the calls between at once.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "cornelhead/routing/quota-ledger.h"

namespace cornelhead {

enum class QuotaDecision {
    Admitted, ///< A token was taken.
    Waiting, ///< The home has to be asked.
    Refused, ///< The home said lately that the quota is used up.
};

/// The customers of one home.
class QuotaTokens
{
public:
    /// Decides on a call that arrives.
    QuotaDecision arrive(const CustomerId &customer, TimePoint now);
    /// Decides again on a call that `arrive` or this let wait.
    QuotaDecision decideAgain(const CustomerId &customer, TimePoint now);
    /// Ends the wait of a call without a decision.
    void stopWaiting(const CustomerId &customer);
    /// Puts back the token of a call that reached no server.
    void putBack(const CustomerId &customer, TimePoint now);

    /// Returns whether a customer has so few tokens that its calls will soon wait.
    bool isLow() const { return isLow_; }
    /// Returns what to ask the home now.  Tokens that are given back leave with it.
    std::vector<QuotaDemand> demands(TimePoint now);
    /// Returns what to give back to a home that this node leaves: all.
    std::vector<QuotaDemand> surrender(TimePoint now);
    /// Applies the home's answer to a request that was sent at `sentAt`.
    void apply(const std::vector<QuotaGrant> &grants, TimePoint sentAt, TimePoint now);
    /// Returns when calls that are refused now may come back: from 50 ms to 5 s.
    Milliseconds retryAfter(const CustomerId &customer, TimePoint now) const;
    /// Forgets customers without calls.
    void sweep(TimePoint now);
    std::size_t held() const;

private:
    struct Batch
    {
        std::uint32_t tokens = 0;
        TimePoint expiresAt{};
    };
    struct Entry
    {
        // In the order of their expiry.
        std::vector<Batch> batches;
        std::uint32_t returned = 0;
        std::uint32_t waiting = 0;
        // Refused here since the home was last asked.
        std::uint32_t refused = 0;
        // Smoothed, in calls per second, at `calledAt`.
        double callRate = 0.0;
        TimePoint calledAt{};
        TimePoint refusesUntil{};
        TimePoint comeBackAt{};

        std::uint32_t held() const;
        void expire(TimePoint now);
        bool take(TimePoint now);
        double callRateAt(TimePoint now) const;
        std::uint32_t spareTarget(TimePoint now) const;
    };

    std::unordered_map<CustomerId, Entry> entries_;
    bool isLow_ = false;
};

} // namespace cornelhead
