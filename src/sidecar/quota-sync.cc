// Implements the quotas of customers at one node.
#include "cornelhead/sidecar/quota-sync.h"

#include <algorithm>
#include <cmath>

namespace cornelhead {
namespace detail {
namespace {

constexpr const char *quotaPart = "quota";
constexpr Milliseconds tickInterval(100);
/// A home counts this node only while it is asked more often than `quotaContactLife`.
constexpr Milliseconds contactInterval(600);
constexpr Milliseconds updateInterval(500);
constexpr Milliseconds requestTimeout(300);
/// Calls that arrive within this time wait for one request.
constexpr Milliseconds waitingInterval(5);
constexpr Milliseconds lowInterval(60);
/// A connection that is refused within this time was refused by the host, whose node has ended.
constexpr Milliseconds quickFailure(60);
/// Until callers come back that got no answer of the home.
constexpr Milliseconds unansweredRetry(100);
constexpr double loggedPartChange = 0.2;
constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusUnavailable = 503;

} // namespace
} // namespace detail

QuotaSync::QuotaSync(EventLoop &loop, Address own, std::uint64_t seed, Metrics &metrics,
                     EventLog &log, QuotaHandlers handlers)
    : loop_(loop), own_(std::move(own)), log_(log), handlers_(std::move(handlers)), random_(seed),
      requests_(metrics.counter("cornelhead_quota_requests_total")),
      failures_(metrics.counter("cornelhead_quota_request_failures_total")),
      waits_(metrics.counter("cornelhead_quota_waits_total")),
      unanswered_(metrics.counter("cornelhead_quota_unanswered_total")),
      held_(metrics.gauge("cornelhead_quota_tokens_held")), client_(loop)
{
    for (std::uint32_t number = 0; number < quotaGroupCount; ++number)
        groups_.push_back(std::make_unique<Group>(number, own_));
}

void QuotaSync::start()
{
    timer_ = loop_.every(detail::tickInterval, [this] { tick(); });
}

void QuotaSync::stop()
{
    isStopping_ = true;
    for (const auto &group : groups_)
        group->ledger.close();
    const TimePoint time = now(SteadyClock());
    for (const auto &group : groups_) {
        if (group->home.current() != own_)
            continue;
        group->home.update(handlers_.nodes(), time);
        group->home.recordMove(group->home.best());
    }
}

bool QuotaSync::isActive() const
{
    const RouteTable *table = handlers_.configuration();
    return handlers_.isFleetKnown() && table && table->customers()
            && table->customers()->hasQuotas();
}

CallQuota QuotaSync::quotaOf(const CustomerId &customer) const
{
    const RouteTable *table = handlers_.configuration();
    const HostCustomer *found
            = table && table->customers() ? table->customers()->findCustomer(customer) : nullptr;
    return found ? found->quota : CallQuota();
}

void QuotaSync::admit(const HostCustomer &customer, Decision decide)
{
    if (!customer.quota.isLimited()) {
        decide({});
        return;
    }
    Group &group = *groups_[quotaGroupOf(customer.id.value())];
    const TimePoint time = now(SteadyClock());
    switch (group.tokens.arrive(customer.id, time)) {
    case QuotaDecision::Admitted:
        if (group.tokens.isLow())
            askSoon(group, detail::lowInterval);
        decide({});
        return;
    case QuotaDecision::Refused:
        decide(retryAfter(group, customer.id, time));
        return;
    case QuotaDecision::Waiting:
        waits_.add();
        group.waiting.push_back(WaitingCall{customer.id, time, std::move(decide)});
        askSoon(group, detail::waitingInterval);
    }
}

void QuotaSync::putBack(const CustomerId &customer)
{
    groups_[quotaGroupOf(customer.value())]->tokens.putBack(customer, now(SteadyClock()));
}

Milliseconds QuotaSync::retryAfter(const Group &group, const CustomerId &customer, TimePoint time)
{
    // The home spreads the returns over nodes; the jitter spreads those of one node.
    const Milliseconds wait = group.tokens.retryAfter(customer, time);
    return wait + random_.jitter(std::max(wait / 2, detail::unansweredRetry));
}

void QuotaSync::tick()
{
    const TimePoint time = now(SteadyClock());
    for (const auto &group : groups_)
        refuseLate(*group, time);
    if (!isActive())
        return;
    const bool isUpdateDue = time - updatedAt_ >= detail::updateInterval;
    if (isUpdateDue)
        updatedAt_ = time;
    std::size_t held = 0;
    for (const auto &group : groups_) {
        if (isUpdateDue)
            updateHome(*group, time);
        if (time - group->requestedAt >= detail::contactInterval)
            ask(*group);
        held += group->tokens.held();
    }
    held_.set(static_cast<std::int64_t>(held));
}

void QuotaSync::updateHome(Group &group, TimePoint time)
{
    const Address before = group.home.current();
    group.home.update(handlers_.nodes(), time);
    group.tokens.sweep(time);
    group.ledger.sweep([this](const CustomerId &customer) { return quotaOf(customer); }, time);
    logChanges(group, before);
    if (group.home.shouldMove(time))
        move(group);
}

void QuotaSync::logChanges(Group &group, const Address &homeBefore)
{
    if (group.home.current() != homeBefore) {
        log_.write(EventKind::StateChange, detail::quotaPart, "quota-home",
                   {{"group", group.number},
                    {"home", group.home.current().toString()},
                    {"counted", group.home.isCounted(now(SteadyClock()))}});
    }
    const double part = group.ledger.part();
    if (std::abs(part - group.loggedPart) < detail::loggedPartChange)
        return;
    group.loggedPart = part;
    log_.write(EventKind::StateChange, detail::quotaPart, "quota-part",
               {{"group", group.number}, {"part", part}});
}

void QuotaSync::askSoon(Group &group, Milliseconds interval)
{
    if (group.isAsking)
        return;
    const Microseconds since = now(SteadyClock()) - group.requestedAt;
    if (since >= interval) {
        ask(group);
        return;
    }
    const auto delay = std::chrono::duration_cast<Milliseconds>(interval - since) + Milliseconds(1);
    group.askTimer = loop_.after(delay, [this, &group] { ask(group); });
}

void QuotaSync::ask(Group &group)
{
    // A node that does not know the fleet yet would take its part for the whole.
    if (group.isAsking || !isActive())
        return;
    const TimePoint time = now(SteadyClock());
    if (group.requestedAt == TimePoint())
        group.home.update(handlers_.nodes(), time);
    group.askTimer = Timer();
    group.isAsking = true;
    group.requestedAt = time;
    const QuotaRequest request{own_, group.home.isCounted(time), false, group.tokens.demands(time),
                               static_cast<std::uint32_t>(handlers_.fleetSize())};
    group.home.recordRequest(time);
    const Address home = group.home.current();
    if (home == own_) {
        // Not inside `admit`, whose caller need not expect that others are decided.
        group.askTimer = loop_.after(Milliseconds(0),
                                     [this, &group, time, grants = grantHere(group, request)] {
                                         onGrants(group, time, grants);
                                     });
        return;
    }
    send(group, home, request, [this, &group, home, time](const Result<HttpResponse> &response) {
        onResponse(group, home, time, response);
    });
}

std::vector<QuotaGrant> QuotaSync::grantHere(Group &group, const QuotaRequest &request)
{
    return group.ledger.grant(
            request, [this](const CustomerId &customer) { return quotaOf(customer); },
            handlers_.fleetSize(), now(SteadyClock()));
}

void QuotaSync::send(Group &group, const Address &to, const QuotaRequest &request,
                     std::function<void(const Result<HttpResponse> &)> onResponse)
{
    requests_.add();
    const HttpRequest message{
            HttpMethod::Post, quotaPath, {}, {}, encodeQuotaMessage({group.number, request})};
    client_.send(to, message, detail::requestTimeout, std::move(onResponse));
}

bool QuotaSync::noteOutcome(Group &group, const Address &asked, TimePoint sentAt,
                            const Result<HttpResponse> &response)
{
    // Since then this node may have left the home.
    if (group.home.current() != asked)
        return response && response->status == detail::statusOk;
    if (response && response->status == detail::statusOk) {
        group.home.recordAnswer();
        return true;
    }
    failures_.add();
    const TimePoint time = now(SteadyClock());
    const Address before = group.home.current();
    const bool hasEnded = response && response->status == detail::statusUnavailable;
    const bool isRefused = !response && response.error().kind == ErrorKind::Unavailable
            && time - sentAt < detail::quickFailure;
    log_.write(EventKind::Failure, detail::quotaPart, "quota-request-failed",
               {{"group", group.number},
                {"home", before.toString()},
                {"why", response ? std::to_string(response->status) : response.error().message}});
    if (hasEnded)
        group.home.recordEnd(time);
    else if (isRefused)
        group.home.recordRefused(time);
    else
        group.home.recordFailure(time);
    logChanges(group, before);
    return false;
}

void QuotaSync::onResponse(Group &group, const Address &asked, TimePoint sentAt,
                           const Result<HttpResponse> &response)
{
    if (!noteOutcome(group, asked, sentAt, response)) {
        onGrants(group, sentAt, {});
        return;
    }
    const Result<std::vector<QuotaGrant>> grants = decodeQuotaGrants(response->body);
    if (!grants) {
        log_.write(EventKind::Failure, detail::quotaPart, "quota-grants-refused",
                   {{"why", grants.error().describe()}});
    }
    onGrants(group, sentAt, grants ? *grants : std::vector<QuotaGrant>());
}

void QuotaSync::onGrants(Group &group, TimePoint sentAt, const std::vector<QuotaGrant> &grants)
{
    group.isAsking = false;
    group.tokens.apply(grants, sentAt, now(SteadyClock()));
    decideWaiting(group);
    if (!group.waiting.empty())
        askSoon(group, detail::waitingInterval);
}

void QuotaSync::decideWaiting(Group &group)
{
    const TimePoint time = now(SteadyClock());
    for (WaitingCall &call : std::exchange(group.waiting, {})) {
        const QuotaDecision decision = group.tokens.decideAgain(call.customer, time);
        if (decision == QuotaDecision::Waiting)
            group.waiting.push_back(std::move(call));
        else if (decision == QuotaDecision::Admitted)
            call.decide({});
        else
            call.decide(retryAfter(group, call.customer, time));
    }
}

void QuotaSync::refuseLate(Group &group, TimePoint time)
{
    while (!group.waiting.empty() && time - group.waiting.front().arrivedAt >= maxWait) {
        const WaitingCall call = std::move(group.waiting.front());
        group.waiting.pop_front();
        group.tokens.stopWaiting(call.customer);
        unanswered_.add();
        call.decide(detail::unansweredRetry + random_.jitter(detail::unansweredRetry));
    }
}

void QuotaSync::move(Group &group)
{
    if (group.isAsking || group.isProbing)
        return;
    const Address next = group.home.best();
    if (next == own_) {
        leave(group, next);
        return;
    }
    group.isProbing = true;
    const QuotaRequest probe{own_, false, false, {}, 0};
    send(group, next, probe, [this, &group, next](const Result<HttpResponse> &response) {
        group.isProbing = false;
        const bool isAlive = response && response->status == detail::statusOk;
        // While a request is under way, the next update probes again.
        if (isAlive && !group.isAsking)
            leave(group, next);
        else if (!isAlive)
            group.home.recordUnfit(next, now(SteadyClock()));
    });
}

void QuotaSync::leave(Group &group, const Address &next)
{
    const TimePoint time = now(SteadyClock());
    const Address before = group.home.current();
    const QuotaRequest request{own_, false, true, group.tokens.surrender(time), 0};
    if (before == own_) {
        grantHere(group, request);
        group.home.recordMove(next);
        logChanges(group, before);
        ask(group);
        return;
    }
    group.isAsking = true;
    send(group, before, request,
         [this, &group, next, before, time](const Result<HttpResponse> &response) {
             group.isAsking = false;
             if (noteOutcome(group, before, time, response))
                 group.home.recordMove(next);
             logChanges(group, before);
             ask(group);
         });
}

detail::LocalResponse QuotaSync::serve(std::string_view body)
{
    if (isStopping_ || !isActive())
        return detail::LocalResponse{detail::statusUnavailable, {}, {}};
    const Result<QuotaMessage> message = decodeQuotaMessage(body);
    if (!message) {
        log_.write(EventKind::Failure, detail::quotaPart, "quota-request-refused",
                   {{"why", message.error().describe()}});
        return detail::LocalResponse{detail::statusBadRequest, {}, {}};
    }
    return detail::LocalResponse{
            detail::statusOk,
            {},
            encodeQuotaGrants(grantHere(*groups_[message->group], message->request))};
}

} // namespace cornelhead
