// The quotas of customers at one node: holds calls until they have a token, asks the homes of the
// customers, and answers other nodes as a home.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "cornelhead/base/event-log.h"
#include "cornelhead/base/metrics.h"
#include "cornelhead/base/random.h"
#include "cornelhead/config/route-table.h"
#include "cornelhead/net/event-loop.h"
#include "cornelhead/net/http.h"
#include "cornelhead/routing/quota-home.h"
#include "cornelhead/routing/quota-ledger.h"
#include "cornelhead/routing/quota-tokens.h"
#include "cornelhead/sidecar/exchange.h"
#include "cornelhead/sidecar/quota-messages.h"

namespace cornelhead {

/// Callbacks into the node.
struct QuotaHandlers
{
    /// Returns the configuration in force, or null.
    std::function<const RouteTable *()> configuration;
    /// Returns whether all hosts are known, so that `nodes` and `fleetSize` are right.
    std::function<bool()> isFleetKnown;
    /// Returns the nodes that may be homes.
    std::function<std::vector<QuotaNode>()> nodes;
    /// Returns the number of hosts that this node knows.
    std::function<std::size_t()> fleetSize;
};

/// Sends nothing and admits everything while no customer has a limited quota.
class QuotaSync
{
public:
    /// Gets nothing if the call may be forwarded, else when it may come back.
    using Decision = std::function<void(std::optional<Milliseconds> retryAfter)>;

    QuotaSync(EventLoop &loop, Address own, std::uint64_t seed, Metrics &metrics, EventLog &log,
              QuotaHandlers handlers);
    QuotaSync(const QuotaSync &) = delete;
    QuotaSync &operator=(const QuotaSync &) = delete;

    void start();
    /// Runs `decide` at once, or within `maxWait` once the home has answered.
    void admit(const HostCustomer &customer, Decision decide);
    /// Gives back the token of an admitted call that reached no server.
    void putBack(const CustomerId &customer);
    /// Answers the request of another node.
    detail::LocalResponse serve(std::string_view body);
    /// From now on this node is no home.
    void stop();

private:
    /// How long a call waits for its home.
    static constexpr Milliseconds maxWait{250};

    struct WaitingCall
    {
        CustomerId customer;
        TimePoint arrivedAt{};
        Decision decide;
    };
    struct Group
    {
        Group(std::uint32_t groupNumber, const Address &own)
            : number(groupNumber), home(groupNumber, own)
        { }

        std::uint32_t number;
        QuotaHome home;
        QuotaTokens tokens;
        QuotaLedger ledger;
        std::deque<WaitingCall> waiting;
        TimePoint requestedAt{};
        // Invariant: at most one request to a home is under way.
        bool isAsking = false;
        // A better home is asked for a sign of life.
        bool isProbing = false;
        Timer askTimer;
        double loggedPart = 0.0;
    };

    bool isActive() const;
    CallQuota quotaOf(const CustomerId &customer) const;
    void tick();
    void updateHome(Group &group, TimePoint time);
    /// Asks the home once the last request is long enough ago.
    void askSoon(Group &group, Milliseconds interval);
    void ask(Group &group);
    std::vector<QuotaGrant> grantHere(Group &group, const QuotaRequest &request);
    void send(Group &group, const Address &to, const QuotaRequest &request,
              std::function<void(const Result<HttpResponse> &)> onResponse);
    void onResponse(Group &group, const Address &asked, TimePoint sentAt,
                    const Result<HttpResponse> &response);
    void onGrants(Group &group, TimePoint sentAt, const std::vector<QuotaGrant> &grants);
    /// Returns whether the home answered; notes if not.
    bool noteOutcome(Group &group, const Address &asked, TimePoint sentAt,
                     const Result<HttpResponse> &response);
    /// Asks the best home for a sign of life, then moves to it.
    void move(Group &group);
    void leave(Group &group, const Address &next);
    void decideWaiting(Group &group);
    void refuseLate(Group &group, TimePoint time);
    Milliseconds retryAfter(const Group &group, const CustomerId &customer, TimePoint time);
    void logChanges(Group &group, const Address &homeBefore);

    EventLoop &loop_;
    const Address own_;
    EventLog &log_;
    QuotaHandlers handlers_;
    Random random_;
    Counter &requests_;
    Counter &failures_;
    Counter &waits_;
    Counter &unanswered_;
    Gauge &held_;
    std::vector<std::unique_ptr<Group>> groups_;
    bool isStopping_ = false;
    TimePoint updatedAt_{};
    Timer timer_;
    HttpClient client_;
};

} // namespace cornelhead
