// A fleet under load on a virtual clock: the product's placement, hand-back policy, gates and work
// estimates, with modelled callers, servers and network.
#pragma once

#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cornelhead/routing/hand-back.h"
#include "cornelhead/routing/placement.h"
#include "cornelhead/routing/server-gate.h"
#include "cornelhead/routing/work-estimate.h"

namespace cornelhead {

/// The calls that arrive from some time on.
struct LoadPhase
{
    Milliseconds from{0};
    /// As `FleetLoadSettings::load`.
    double load = 0.65;
    /// The demand in each data centre, relative to the others; the same in all if empty.
    std::vector<double> demand;
};

/// A deployment with one service, and its callers.
struct FleetLoadSettings
{
    std::size_t nodes = 66;
    std::size_t servers = 54;
    std::uint32_t slots = 9;
    std::size_t dataCentres = 3;
    /// Mean service time of a server of normal speed; the slowest server takes `speedRange` times
    /// as long as the fastest.
    Milliseconds work{160};
    double speedRange = 2.5;
    Milliseconds objective{600};
    Microseconds delayBetweenDataCentres{1400};
    /// Calls that arrive, as a share of what the servers can finish.
    double load = 0.65;
    /// A server with more of its slots in use takes `slowdownWhenFull` times as long.
    double slowAbove = 0.8;
    double slowdownWhenFull = 1.5;
    Milliseconds duration{20'000};
    /// This share of the servers names a limit in its responses, as a share of what it can finish.
    double limitedShare = 0.0;
    double limit = 0.5;
    /// Interval at which the node of some server restarts; none do if 0.
    Milliseconds restartInterval{0};
    bool appliesLimits = true;
    PlacementPolicy policy;
    bool usesHandBack = true;
    std::uint64_t seed = 1;
    /// Replaces `load` unless empty.
    std::vector<LoadPhase> phases;
    double bytes = 500;
    /// How old a report is when the caller's node sees it, beyond its way there.
    Milliseconds reportAge{0};
    /// Calls between the first data centre and the others are lost from then until then.
    Milliseconds cutFrom{0};
    Milliseconds cutUntil{0};
    /// So many servers, the first ones, answer no calls.
    std::size_t silentServers = 0;
};

/// Calls of the callers of one data centre.
struct DataCentreCalls
{
    double calls = 0;
    double inTime = 0;
    /// Sent to hosts of the own and of other data centres, by the interval of their sending.
    std::vector<double> sent;
    std::vector<double> sentAway;

    static constexpr Milliseconds interval{250};
    double shareInTime() const { return inTime / calls; }
    /// Returns the share of the sent calls that left, between two times.
    double shareAway(Milliseconds from, Milliseconds until) const
    {
        double all = 0;
        double away = 0;
        for (auto i = static_cast<std::size_t>(from / interval);
             i < static_cast<std::size_t>(until / interval) && i < sent.size(); ++i) {
            all += sent[i];
            away += sentAway[i];
        }
        return away / all;
    }
};

/// What became of the calls that arrived after the first quarter of the time.
struct FleetLoadResult
{
    double calls = 0;
    double inTime = 0;
    double late = 0;
    double refused = 0;
    double handBacks = 0;
    double remote = 0;
    /// Busy time of the busiest server relative to the mean.
    double busiest = 0;
    /// The most calls that a limited server got, from hosts that had heard of its limit, within
    /// `limitWindow`, relative to what its limit allows; `limitSettleTime` after it first named the
    /// limit.
    double mostOfLimit = 0;
    std::map<DataCentreId, DataCentreCalls> byDataCentre;
    /// Choices of other data centres by the departure share.
    double byShare = 0;
    double toSilentServers = 0;

    static constexpr Milliseconds limitWindow{4000};
    static constexpr Milliseconds limitSettleTime{3000};
    /// What a limited server may get in the window.
    static double allowedCalls(CallRate limit) { return 4.0 * limit.perSecond() * 1.5 + 5.0; }

    double shareInTime() const { return inTime / calls; }
    double shareLate() const { return late / calls; }
    double handBacksPerCall() const { return handBacks / calls; }
};

class FleetLoad
{
public:
    explicit FleetLoad(const FleetLoadSettings &settings)
        : settings_(settings), random_(settings.seed)
    {
        buildServers();
        for (std::size_t i = 0; i < settings_.nodes; ++i)
            entries_.emplace_back(dataCentreOf(i), settings_.policy);
        for (Entry &entry : entries_)
            entry.placement.update(directory_.hosts(), time_);
    }

    FleetLoadResult run()
    {
        const double capacity = capacityPerSecond();
        const TimePoint end = time_ + settings_.duration;
        const TimePoint begin = time_;
        if (settings_.phases.empty())
            scheduleArrivals(capacity * settings_.load, time_, end, {});
        for (std::size_t i = 0; i < settings_.phases.size(); ++i) {
            const LoadPhase &phase = settings_.phases[i];
            const bool isLast = i + 1 == settings_.phases.size();
            scheduleArrivals(capacity * phase.load, begin + phase.from,
                             isLast ? end : begin + settings_.phases[i + 1].from, phase.demand);
        }
        for (TimePoint next = time_ + settings_.restartInterval;
             settings_.restartInterval > Milliseconds(0) && next < end;
             next += settings_.restartInterval)
            at(next, [this] { restartNode(); });
        while (!events_.empty()) {
            const Event event = events_.top();
            events_.pop();
            time_ = event.at;
            event.run();
        }
        for (const Entry &entry : entries_)
            result_.byShare += static_cast<double>(entry.placement.departures().byShare);
        double busy = 0;
        for (const Server &server : servers_) {
            busy += server.busyUs;
            result_.busiest = std::max(result_.busiest, server.busyUs);
        }
        result_.busiest /= busy / static_cast<double>(servers_.size());
        return result_;
    }

private:
    struct Entry
    {
        Entry(DataCentreId dataCentre, PlacementPolicy policy) : placement(dataCentre, policy) { }
        Placement placement;
        HandBackPolicy handBack;
        /// Nodes of servers that have named a limit in responses to this host.
        std::set<Address> limitsHeard;
    };
    struct Server
    {
        Address node;
        DataCentreId dataCentre;
        double slowness = 1.0;
        ServerGate gate;
        WorkEstimate work;
        double busyUs = 0;
        std::optional<CallRate> limit;
        /// This run of the node has heard of the limit from the server.
        bool hasHeardLimit = false;
        std::optional<TimePoint> namedAt;
        std::deque<TimePoint> starts;
    };
    struct Call
    {
        Entry *entry = nullptr;
        DataCentreId dataCentre;
        TimePoint arrivedAt{};
        PlacementRequest request;
        std::uint32_t handBacks = 0;
        std::uint32_t refusals = 0;
        Placement::Host host;
        std::optional<CallRate> knownLimit;
        GateTicket ticket;
    };
    using CallHandle = std::shared_ptr<Call>;
    struct Event
    {
        TimePoint at{};
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    DataCentreId dataCentreOf(std::size_t index) const
    {
        return DataCentreId("dc" + std::to_string(index % settings_.dataCentres));
    }

    void buildServers()
    {
        for (std::size_t i = 0; i < settings_.servers; ++i) {
            Server &server = servers_.emplace_back();
            server.node = Address{"10.0.0.1", static_cast<std::uint16_t>(1000 + i)};
            server.dataCentre = dataCentreOf(i);
            const double exponent = random_.unit() - 0.5;
            server.slowness = std::pow(settings_.speedRange, exponent);
            server.gate.setSlots(settings_.slots);
            HostEntry entry;
            entry.node = server.node;
            entry.run = NodeId("run" + std::to_string(i));
            entry.dataCentre = server.dataCentre;
            entry.server = HostedServer{ServerId("s" + std::to_string(i)), ServiceId("service"),
                                        VersionId("v1"), settings_.slots, ServerState::Serving};
            directory_.put(entry);
            byNode_[server.node] = i;
            if (static_cast<double>(i) < settings_.limitedShare * settings_.servers)
                server.limit = CallRate(capacityOf(server) * settings_.limit);
        }
    }

    double capacityPerSecond() const
    {
        double capacity = 0;
        for (const Server &server : servers_)
            capacity += capacityOf(server);
        return capacity;
    }

    double capacityOf(const Server &server) const
    {
        return settings_.slots / (server.slowness * settings_.work.count() / 1000.0);
    }

    /// The node forgets the limit and the calls that it has paced.
    void restartNode()
    {
        Server &server = servers_[random_.below(servers_.size())];
        server.gate.setLimit(std::nullopt, time_);
        server.hasHeardLimit = false;
    }

    void at(TimePoint when, std::function<void()> run)
    {
        events_.push(Event{when, ++order_, std::move(run)});
    }

    void scheduleArrivals(double perSecond, TimePoint next, TimePoint end,
                          const std::vector<double> &demand)
    {
        while (next < end) {
            next += Microseconds(
                    static_cast<std::int64_t>(-std::log(1.0 - random_.unit()) / perSecond * 1e6));
            at(next, [this, demand] { onArrival(demand); });
        }
    }

    bool isCounted(const Call &call) const
    {
        return call.arrivedAt > TimePoint(Milliseconds(10'000)) + settings_.duration / 4;
    }

    std::size_t drawNode(const std::vector<double> &demand)
    {
        if (demand.empty())
            return random_.below(entries_.size());
        std::discrete_distribution<std::size_t> drawn(demand.begin(), demand.end());
        const std::size_t dataCentre = drawn(random_.engine());
        const std::size_t nodes = (entries_.size() - dataCentre - 1) / settings_.dataCentres + 1;
        return dataCentre + settings_.dataCentres * random_.below(nodes);
    }

    void onArrival(const std::vector<double> &demand)
    {
        const std::size_t index = drawNode(demand);
        auto call = std::make_shared<Call>();
        call->entry = &entries_[index];
        call->dataCentre = dataCentreOf(index);
        call->arrivedAt = time_;
        call->request.service = ServiceId("service");
        call->request.objective = settings_.objective;
        call->request.bytes = settings_.bytes;
        if (isCounted(*call)) {
            ++result_.calls;
            ++result_.byDataCentre[call->dataCentre].calls;
        }
        send(call);
    }

    Microseconds delayTo(const Call &call) const
    {
        const bool isRemote = call.host->entry.dataCentre != call.dataCentre;
        return isRemote ? settings_.delayBetweenDataCentres : Microseconds(200);
    }

    void send(const CallHandle &call)
    {
        call->host = call->entry->placement.choose(call->request, time_, random_);
        if (!call->host) {
            end(*call, result_.refused);
            return;
        }
        call->knownLimit = call->entry->placement.knownLimit(*call->host);
        Placement::begin(*call->host);
        recordSend(*call);
        if (isCut(*call)) {
            at(time_ + connectTimeout, [this, call] { onLost(call); });
            return;
        }
        at(time_ + delayTo(*call), [this, call] { offer(call); });
    }

    void recordSend(const Call &call)
    {
        DataCentreCalls &calls = result_.byDataCentre[call.dataCentre];
        const auto index
                = static_cast<std::size_t>((time_ - startedAt) / DataCentreCalls::interval);
        if (calls.sent.size() <= index) {
            calls.sent.resize(index + 1);
            calls.sentAway.resize(index + 1);
        }
        ++calls.sent[index];
        calls.sentAway[index] += call.host->entry.dataCentre != call.dataCentre ? 1 : 0;
    }

    void onUnanswered(const Call &call)
    {
        Placement::end(*call.host);
        call.entry->placement.recordUnanswered(*call.host, UnansweredEnd::Deadline,
                                               settings_.objective, settings_.objective, time_);
        result_.toSilentServers += isCounted(call) ? 1 : 0;
        end(call, result_.late);
    }

    bool isCut(const Call &call) const
    {
        const DataCentreId first = dataCentreOf(0);
        return time_ >= startedAt + settings_.cutFrom && time_ < startedAt + settings_.cutUntil
                && (call.dataCentre == first) != (call.host->entry.dataCentre == first);
    }

    void onLost(const CallHandle &call)
    {
        Placement::end(*call->host);
        call->entry->placement.recordUnreachable(*call->host, ConnectFailure::TimedOut, time_);
        call->request.tried.insert(call->host->entry.node);
        if (time_ - call->arrivedAt < settings_.objective)
            send(call);
        else
            end(*call, result_.late);
    }

    void offer(const CallHandle &call)
    {
        const std::size_t index = byNode_.at(call->host->entry.node);
        if (index < settings_.silentServers) {
            at(call->arrivedAt + settings_.objective, [this, call] { onUnanswered(*call); });
            return;
        }
        Server &server = servers_[index];
        if (call->knownLimit && !server.hasHeardLimit)
            server.gate.setLimit(call->knownLimit, time_);
        server.gate.recordArrival(time_);
        const bool mayHandBack = settings_.usesHandBack
                && call->entry->handBack.allows(call->request.service, call->handBacks);
        if (mayHandBack && !server.gate.isOpen(time_)) {
            respond(call, server, [this, call] { onHandedBack(call); });
            return;
        }
        const Microseconds work = server.work.expected(RouteId("route"), settings_.objective);
        call->ticket = lastTicket_ = lastTicket_.next();
        const auto left = settings_.objective - (time_ - call->arrivedAt);
        const GateRequest request{call->ticket, 1, work,
                                  time_ + std::chrono::duration_cast<Microseconds>(left * 0.85)};
        std::vector<GateTicket> expired;
        const ServerGate::Verdict verdict = server.gate.offer(request, time_, expired);
        calls_[call->ticket] = call;
        refuseAll(server, expired);
        if (verdict == ServerGate::Verdict::Start)
            start(call, server);
        else if (verdict == ServerGate::Verdict::Refuse)
            refuseAll(server, {call->ticket});
        else
            startWaiting(server);
    }

    void startWaiting(Server &server)
    {
        std::vector<GateTicket> expired;
        while (const auto ticket = server.gate.startNext(time_, expired))
            start(calls_.at(*ticket), server);
        refuseAll(server, expired);
        if (const auto wait = server.gate.limitWait(time_))
            at(time_ + *wait, [this, &server] { startWaiting(server); });
    }

    /// Only calls of hosts that have heard of the limit count.
    void recordStart(const Call &call, Server &server)
    {
        if (!call.entry->limitsHeard.contains(call.host->entry.node) || !server.namedAt)
            return;
        std::deque<TimePoint> &starts = server.starts;
        starts.push_back(time_);
        while (time_ - starts.front() > FleetLoadResult::limitWindow)
            starts.pop_front();
        if (time_ - *server.namedAt > FleetLoadResult::limitSettleTime) {
            result_.mostOfLimit
                    = std::max(result_.mostOfLimit,
                               starts.size() / FleetLoadResult::allowedCalls(*server.limit));
        }
    }

    void refuseAll(Server &server, const std::vector<GateTicket> &tickets)
    {
        for (const GateTicket ticket : tickets) {
            const CallHandle call = calls_.at(ticket);
            calls_.erase(ticket);
            respond(call, server, [this, call] { onRefused(call); });
        }
    }

    /// Servers take longer for each call when they are nearly full.
    double slowdown(const Server &server) const
    {
        const double share = server.gate.load(time_).running / static_cast<double>(settings_.slots);
        return share > settings_.slowAbove ? settings_.slowdownWhenFull : 1.0;
    }

    void start(const CallHandle &call, Server &server)
    {
        const double us = static_cast<double>(Microseconds(settings_.work).count())
                * server.slowness * slowdown(server) * -std::log(1.0 - random_.unit());
        const Microseconds work(static_cast<std::int64_t>(us));
        server.busyUs += us;
        recordStart(*call, server);
        at(time_ + work, [this, call, work, &server] { finish(call, work, server); });
    }

    void finish(const CallHandle &call, Microseconds work, Server &server)
    {
        server.gate.remove(call->ticket);
        calls_.erase(call->ticket);
        server.work.record(RouteId("route"), work, settings_.objective, CallEnd::Answered);
        if (settings_.appliesLimits) {
            server.hasHeardLimit = true;
            server.gate.setLimit(server.limit, time_);
        }
        if (server.limit && !server.namedAt)
            server.namedAt = time_;
        respond(call, server, [this, call, isLimited = server.limit.has_value()] {
            if (isLimited)
                call->entry->limitsHeard.insert(call->host->entry.node);
            onServed(*call);
        });
        startWaiting(server);
    }

    void respond(const CallHandle &call, Server &server, std::function<void()> onResponse)
    {
        const GateLoad load = server.gate.load(time_);
        HostReport report;
        report.running = load.running;
        report.waiting = load.waiting;
        report.slots = load.slots;
        report.wait = load.wait;
        report.relativeWork = server.work.relativeWork();
        report.notice.limit = load.limit;
        report.demand = load.demand;
        at(time_ + delayTo(*call), [this, call, report, onResponse = std::move(onResponse)] {
            Placement::end(*call->host);
            applyReport(*call->entry, call->host, report);
            call->entry->handBack.record(call->request.service, report);
            onResponse();
        });
    }

    void applyReport(Entry &entry, const Placement::Host &host, const HostReport &report)
    {
        if (settings_.reportAge == Milliseconds(0)) {
            entry.placement.applyReport(*host, report, time_);
            return;
        }
        at(time_ + settings_.reportAge,
           [this, &entry, host, report] { entry.placement.applyReport(*host, report, time_); });
    }

    void onHandedBack(const CallHandle &call)
    {
        ++call->handBacks;
        if (isCounted(*call))
            ++result_.handBacks;
        call->request.busy.push_back(call->host);
        send(call);
    }

    void onRefused(const CallHandle &call)
    {
        constexpr std::uint32_t maxRefusals = 3;
        call->request.tried.insert(call->host->entry.node);
        if (++call->refusals >= maxRefusals)
            end(*call, result_.refused);
        else
            send(call);
    }

    void onServed(const Call &call)
    {
        if (isCounted(call) && call.host->entry.dataCentre != call.dataCentre)
            ++result_.remote;
        const bool isLate = time_ - call.arrivedAt > settings_.objective;
        if (isCounted(call) && !isLate)
            ++result_.byDataCentre[call.dataCentre].inTime;
        end(call, isLate ? result_.late : result_.inTime);
    }

    void end(const Call &call, double &counter)
    {
        if (isCounted(call))
            ++counter;
    }

    static constexpr TimePoint startedAt{Milliseconds(10'000)};
    static constexpr Milliseconds connectTimeout{250};

    const FleetLoadSettings settings_;
    Random random_;
    TimePoint time_ = startedAt;
    HostDirectory directory_;
    std::vector<Server> servers_;
    std::vector<Entry> entries_;
    std::map<Address, std::size_t> byNode_;
    std::priority_queue<Event> events_;
    std::map<GateTicket, CallHandle> calls_;
    GateTicket lastTicket_;
    std::uint64_t order_ = 0;
    FleetLoadResult result_;
};

} // namespace cornelhead
