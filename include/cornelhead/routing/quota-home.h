// Which node this node asks for tokens of a group of customers.
//
// Load pattern: homes restart in herds, and links between data centres are cut.  Every node ranks
// the others alike and asks the first one that answers, so that the nodes which reach each other
// soon share one home; the last resort is the node itself.  Links that uploads fill would delay the
// calls that wait for a home, so the homes are nodes with wide links.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cornelhead/base/address.h"
#include "cornelhead/base/clock.h"

namespace cornelhead {

/// Number of groups of customers, each of which has its own home.
constexpr std::uint32_t quotaGroupCount = 4;
/// Returns the group of a customer, below `quotaGroupCount`.
std::uint32_t quotaGroupOf(std::string_view customer);

/// A node that may be a home.
struct QuotaNode
{
    Address address;
    /// This node could not reach it lately.
    bool isSuspect = false;
    /// How many nodes its link can serve.
    std::uint32_t capacity = 0;
};

/// The home of one group, as one node chooses it.
class QuotaHome
{
public:
    QuotaHome(std::uint32_t group, Address own);

    /// Considers the nodes that take calls.  A node that lost its home gets another one at once.
    void update(const std::vector<QuotaNode> &nodes, TimePoint now);
    const Address &current() const { return current_; }
    /// The home that all nodes should ask.
    const Address &best() const { return best_; }
    /// Returns whether the best home has been known for long enough that this node should move to
    /// it: ask it for an answer, and then tell the current one that it leaves.
    bool shouldMove(TimePoint now) const;
    /// Returns whether the current home may count this node, as no other one does any more.
    bool isCounted(TimePoint now) const;

    /// A request was sent to the current home.
    void recordRequest(TimePoint now) { requestedAt_ = now; }
    void recordAnswer() { failures_ = 0; }
    /// The current home did not answer; after the second time another home is asked.
    void recordFailure(TimePoint now);
    /// The current home grants no tokens any more: it has ended, is stopping, or has been left.
    void recordEnd(TimePoint now);
    /// The connection was refused: the home has ended, or a cut link resets connections.
    void recordRefused(TimePoint now);
    /// `node` did not answer before this node moved to it.
    void recordUnfit(const Address &node, TimePoint now);
    /// The current home has confirmed that it counts this node no longer, which moves to `next`.
    void recordMove(const Address &next);

private:
    Address bestOf(const std::vector<QuotaNode> &nodes) const;
    bool isFit(const QuotaNode &node) const;
    void avoid(const Address &node, TimePoint now);

    std::string key_;
    Address own_;
    Address current_;
    Address best_;
    std::optional<TimePoint> betterSince_;
    std::vector<QuotaNode> nodes_;
    // Homes that did not answer, until when they are not asked.
    std::map<Address, TimePoint> avoidedUntil_;
    std::optional<TimePoint> requestedAt_;
    // When this node last sent a request to a former home that may still count it.
    std::optional<TimePoint> formerRequestAt_;
    std::uint32_t failures_ = 0;
};

} // namespace cornelhead
