// The quotas of some customers, as the node that is their home grants them to all nodes.
//
// Load pattern: each of many nodes gets less than one call a second of most customers, and the
// demand of the large ones moves between nodes within a second.  Fixed parts of a quota would
// refuse a third of such calls, so the tokens stay in one bucket, and nodes ask for them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cornelhead/base/address.h"
#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/config/customer-keys.h"
#include "cornelhead/routing/limits.h"

namespace cornelhead {

/// What a node asks for one customer.  A token allows one call.
struct QuotaDemand
{
    CustomerId customer;
    /// Tokens for calls that wait.
    std::uint32_t needed = 0;
    /// Further tokens for calls that are expected soon.
    std::uint32_t spare = 0;
    /// Unused tokens that the node keeps.
    std::uint32_t held = 0;
    /// Tokens that the node gives back.
    std::uint32_t returned = 0;

    friend bool operator==(const QuotaDemand &, const QuotaDemand &) = default;
};

struct QuotaRequest
{
    Address node;
    /// The node has not asked another home for `quotaContactLife` or longer, so that its part of
    /// the quotas counts here.
    bool isCounted = false;
    /// The node is about to ask another home, and gives all tokens back.
    bool isLeaving = false;
    std::vector<QuotaDemand> demands;
    /// Number of hosts that the node knows.
    std::uint32_t fleetSize = 0;

    friend bool operator==(const QuotaRequest &, const QuotaRequest &) = default;
};

struct QuotaGrant
{
    CustomerId customer;
    std::uint32_t tokens = 0;
    /// When the calls that got no token may get one; 0 if all got theirs.
    Milliseconds wait{};

    friend bool operator==(const QuotaGrant &, const QuotaGrant &) = default;
};

/// A home counts a node for this long after its last request.
constexpr Milliseconds quotaContactLife(1500);
/// A node keeps an unused token for this long after it sent the request for it.
constexpr Milliseconds quotaTokenLife(2000);

/// Grants the tokens of the customers whose home this node is.
///
/// The bucket of a customer earns only the part of its rate that belongs to the nodes which ask
/// here: each node belongs to one home at a time, so that all homes together never earn more than
/// the whole, also while links are cut or nodes disagree on which one is the home.
class QuotaLedger
{
public:
    using FindQuota = std::function<CallQuota(const CustomerId &)>;

    /// Answers a request.  `fleetSize` is the number of hosts that this node knows, which may be
    /// fewer than others do after a restart.  A customer without a limited quota gets no tokens.
    std::vector<QuotaGrant> grant(const QuotaRequest &request, const FindQuota &findQuota,
                                  std::size_t fleetSize, TimePoint now);
    /// Forgets nodes that no longer ask, and customers without calls.  To be called every second.
    void sweep(const FindQuota &findQuota, TimePoint now);
    /// Counts no node any more, as this one has told all that it is no home.
    void close() { contacts_.clear(); }
    /// The part of all nodes that ask here, from 0 to 1.
    double part() const { return part_; }

private:
    struct Held
    {
        std::uint32_t tokens = 0;
        TimePoint expiresAt{};
    };
    struct Account
    {
        TokenBucket bucket;
        // Unused tokens at the nodes, as far as this home knows.
        std::map<Address, Held> held;
        // Calls that were told to come back, less those that were due since.
        double awaited = 0.0;
        TimePoint awaitedAt{};
        TimePoint usedAt{};
    };

    void observeFleet(std::size_t size, TimePoint now);
    /// Sets `part_` after the buckets have earned what the former part gave.
    void updatePart(const FindQuota &findQuota, TimePoint now);
    void refill(Account &account, const CallQuota &quota, TimePoint now) const;
    QuotaGrant grantOne(const Address &node, const QuotaDemand &demand, const CallQuota &quota,
                        TimePoint now);
    /// Returns how many more unused tokens nodes may keep.
    std::uint32_t spareRoom(Account &account, const CallQuota &quota, TimePoint now) const;
    Milliseconds waitFor(Account &account, const CallQuota &quota, std::uint32_t calls,
                         TimePoint now) const;

    // When each counted node asked last.
    std::map<Address, TimePoint> contacts_;
    std::unordered_map<CustomerId, Account> accounts_;
    // The largest size of the fleet in the current and the former period of `fleetPeriod`: hosts
    // that were cut off still hold their part.
    std::size_t fleetSize_ = 0;
    std::size_t formerFleetSize_ = 0;
    TimePoint fleetPeriodAt_{};
    double part_ = 0.0;
    TimePoint partSetAt_{};
};

} // namespace cornelhead
