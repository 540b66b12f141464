// Tests at-most-once execution: the key table, and a randomised fleet of home nodes under faults.
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <iostream>
#include <queue>
#include <string>

#include "cornelhead/base/random.h"
#include "cornelhead/routing/home-keys.h"

namespace cornelhead {

namespace {

std::string keyBornAt(std::int64_t ms, std::uint64_t serial)
{
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%08llx-%04llx-7000-8000-%012llx",
                  static_cast<unsigned long long>(ms >> 16),
                  static_cast<unsigned long long>(ms & 0xffff),
                  static_cast<unsigned long long>(serial));
    return text.data();
}

NodeInfo makeNode(const std::string &id, const std::string &dataCentre, std::uint16_t port,
                  std::int64_t startedAtMs)
{
    NodeInfo node;
    node.id = NodeId(id);
    node.dataCentre = DataCentreId(dataCentre);
    node.proxy = Address{"127.0.0.1", port};
    node.startedAtMs = startedAtMs;
    return node;
}

// Simulates a fleet of home nodes on one virtual clock.  Nodes crash, restart, freeze and see
// membership changes late; data centres get partitioned; messages are delayed; callers retry a key
// through any node.
//
// The simulation records for each key how often it ran and whether a refusal said `NotRun`.
class Fleet
{
public:
    explicit Fleet(std::uint64_t seed) : random_(seed)
    {
        for (int i = 0; i < nodeCount; ++i) {
            hosts_.emplace_back();
            startNode(i);
        }
    }

    void runFor(std::int64_t ms)
    {
        const std::int64_t end = nowMs_ + ms;
        for (; nowMs_ < end; ++nowMs_) {
            injectFaults();
            if (random_.chance(0.1))
                sendNewCall();
            while (!events_.empty() && events_.top().atMs <= nowMs_) {
                const auto run = events_.top().run;
                events_.pop();
                run();
            }
            if (nowMs_ % 200 == 0)
                tickNodes();
        }
    }

    int doubled = 0;
    int falseNotRun = 0;
    int answered = 0;
    int notRun = 0;
    int unknown = 0;
    int granted = 0;
    int retired = 0;

private:
    static constexpr int dataCentres = 2;
    static constexpr int nodesPerDataCentre = 4;
    static constexpr int nodeCount = dataCentres * nodesPerDataCentre;
    static constexpr std::int64_t firstMs = 1'700'000'000'000;
    static constexpr std::uint64_t maxMembershipDelayMs = 2000;
    static constexpr std::uint64_t maxMessageDelayMs = 300;
    static constexpr std::int64_t failureTimeoutMs = 2000;
    static constexpr std::int64_t callerTimeoutMs = 1500;

    struct Host
    {
        NodeInfo info;
        std::unique_ptr<HomeKeys> keys;
        std::int64_t frozenUntilMs = 0;
        int run = 0;
    };
    struct Event
    {
        std::int64_t atMs = 0;
        std::function<void()> run;
        bool operator<(const Event &other) const { return atMs > other.atMs; }
    };
    struct KeyRecord
    {
        int runs = 0;
        std::int64_t refusedNotRunMs = 0;
        int sends = 0;
    };
    // One send of a key; nodes drop it once its caller has timed out.
    struct Send
    {
        KeyedCall call;
        std::int64_t startedMs = 0;
        bool isDone = false;
    };
    using SendPtr = std::shared_ptr<Send>;

    Moment moment() const { return Moment{TimePoint(Milliseconds(nowMs_)), nowMs_}; }
    bool isUp(const Host &host) const { return host.keys && host.frozenUntilMs <= nowMs_; }
    int dataCentreOf(int host) const { return host / nodesPerDataCentre; }

    void after(std::int64_t ms, std::function<void()> run)
    {
        events_.push(Event{nowMs_ + ms, std::move(run)});
    }

    void startNode(int index)
    {
        Host &host = hosts_[static_cast<std::size_t>(index)];
        ++host.run;
        host.info = makeNode("n" + std::to_string(index) + "." + std::to_string(host.run),
                             "dc" + std::to_string(dataCentreOf(index)),
                             static_cast<std::uint16_t>(1000 + index), nowMs_);
        OwnershipLimits limits;
        limits.retention = Milliseconds(60'000);
        KeyTableLimits table;
        table.retention = limits.retention;
        host.keys = std::make_unique<HomeKeys>(
                host.info, std::vector{DataCentreId("dc0"), DataCentreId("dc1")}, limits, table);
        host.frozenUntilMs = 0;
        spreadMembership();
    }

    // Sends the present membership to all nodes, each after its own delay.
    void spreadMembership()
    {
        for (int i = 0; i < nodeCount; ++i)
            after(static_cast<std::int64_t>(random_.below(maxMembershipDelayMs)),
                  [this, i] { updateMembership(i); });
    }

    void updateMembership(int index)
    {
        Host &host = hosts_[static_cast<std::size_t>(index)];
        if (!host.keys)
            return;
        if (!isUp(host)) {
            after(host.frozenUntilMs - nowMs_ + 50, [this, index] { updateMembership(index); });
            return;
        }
        std::map<NodeId, NodeInfo> seen;
        for (int i = 0; i < nodeCount; ++i) {
            const Host &other = hosts_[static_cast<std::size_t>(i)];
            const bool isPartitioned = isPartitioned_ && dataCentreOf(i) != dataCentreOf(index);
            const bool isTimedOut = other.frozenUntilMs > nowMs_ && other.frozenUntilMs - nowMs_ > 0
                    && nowMs_ - frozenAt_[i] > failureTimeoutMs;
            if (other.keys && !isPartitioned && !isTimedOut)
                seen.emplace(other.info.id, other.info);
        }
        host.keys->observe(seen, nowMs_);
    }

    void injectFaults()
    {
        if (random_.chance(0.0002))
            kill(static_cast<int>(random_.below(nodeCount)));
        if (random_.chance(0.0002))
            freeze(static_cast<int>(random_.below(nodeCount)));
        if (random_.chance(0.00015))
            retire(static_cast<int>(random_.below(nodeCount)));
        if (random_.chance(0.0001)) {
            isPartitioned_ = !isPartitioned_;
            spreadMembership();
        }
    }

    void kill(int index)
    {
        hosts_[static_cast<std::size_t>(index)].keys = nullptr;
        spreadMembership();
        after(500 + static_cast<std::int64_t>(random_.below(8000)), [this, index] {
            if (!hosts_[static_cast<std::size_t>(index)].keys)
                startNode(index);
        });
    }

    void freeze(int index)
    {
        Host &host = hosts_[static_cast<std::size_t>(index)];
        if (!isUp(host))
            return;
        const auto length = 100 + static_cast<std::int64_t>(random_.below(12'000));
        host.frozenUntilMs = nowMs_ + length;
        frozenAt_[index] = nowMs_;
        after(failureTimeoutMs + 1, [this] { spreadMembership(); });
        after(length, [this] { spreadMembership(); });
    }

    void tickNodes()
    {
        for (Host &host : hosts_) {
            if (isUp(host))
                host.keys->tick(moment());
        }
    }

    void sendNewCall()
    {
        const std::string key = keyBornAt(nowMs_, ++serial_);
        KeyedCall call{makeCallKey("ana", key), keyCreatedAtMs(key), Digest("d")};
        // Clock skew between callers and nodes.
        *call.createdAtMs += static_cast<std::int64_t>(random_.below(1000)) - 500;
        send(call);
    }

    void send(const KeyedCall &call)
    {
        ++records_[call.key].sends;
        auto sent = std::make_shared<Send>(Send{call, nowMs_});
        after(callerTimeoutMs, [this, sent] {
            if (!std::exchange(sent->isDone, true))
                retry(sent->call);
        });
        const auto entry = static_cast<int>(random_.below(nodeCount));
        deliver(entry, sent, [this, entry, sent] { route(entry, sent); });
    }

    void retry(const KeyedCall &call)
    {
        if (records_[call.key].sends < 5 && random_.chance(0.7))
            after(static_cast<std::int64_t>(random_.below(6000)), [this, call] { send(call); });
    }

    // Runs `handle` at a host after the message delay, and after the end of a freeze.
    void deliver(int index, const SendPtr &sent, const std::function<void()> &handle)
    {
        const int run = hosts_[static_cast<std::size_t>(index)].run;
        after(static_cast<std::int64_t>(random_.below(maxMessageDelayMs)),
              [this, index, run, sent, handle] { arrive(index, run, sent, handle); });
    }

    void arrive(int index, int run, const SendPtr &sent, const std::function<void()> &handle)
    {
        const Host &host = hosts_[static_cast<std::size_t>(index)];
        if (sent->isDone || !host.keys || host.run != run)
            return;
        if (isUp(host))
            handle();
        else
            after(host.frozenUntilMs - nowMs_ + 1,
                  [this, index, run, sent, handle] { arrive(index, run, sent, handle); });
    }

    void route(int entry, const SendPtr &sent, const NodeId &leaving = NodeId())
    {
        const HomeKeys &keys = *hosts_[static_cast<std::size_t>(entry)].keys;
        const KeyHome home = leaving.empty() ? keys.homeOf(sent->call.key)
                                             : keys.homeWithout(leaving, sent->call.key);
        const int target = home.node ? home.node->proxy.port - 1000 : -1;
        const bool isPartitioned
                = target >= 0 && isPartitioned_ && dataCentreOf(target) != dataCentreOf(entry);
        const bool isReached = home.node && !isPartitioned
                && hosts_[static_cast<std::size_t>(target)].info.id == home.node->id;
        if (!isReached) {
            refuse(sent, Refusal{RefusalReason::HomeUnreachable, RunStatus::Unknown});
            return;
        }
        deliver(target, sent,
                [this, entry, target, sent, leaving] { runAt(target, entry, sent, leaving); });
    }

    void runAt(int index, int entry, const SendPtr &sent, const NodeId &leaving)
    {
        HomeKeys &keys = *hosts_[static_cast<std::size_t>(index)].keys;
        if (!leaving.empty())
            keys.markLeaving(leaving, moment());
        const bool isLimited = random_.chance(0.1);
        const auto predecessor
                = isLimited ? std::nullopt : keys.predecessorOf(sent->call, moment());
        if (predecessor) {
            askForRelease(index, *predecessor, sent);
            return;
        }
        const KeyDecision decision = isLimited
                ? keys.refuse(sent->call, RefusalReason::Rate, moment())
                : keys.begin(sent->call, moment());
        const auto *refusal = std::get_if<Refusal>(&decision);
        const bool isLeaving = refusal && refusal->reason == RefusalReason::HomeLeaving;
        if (isLeaving && leaving.empty()) {
            const NodeId left = hosts_[static_cast<std::size_t>(index)].info.id;
            deliver(entry, sent, [this, entry, sent, left] { route(entry, sent, left); });
            return;
        }
        applyDecision(index, sent, decision);
    }

    void applyDecision(int index, const SendPtr &sent, const KeyDecision &decision)
    {
        if (std::holds_alternative<ReplayResponse>(decision))
            respond(sent);
        else if (const auto *refusal = std::get_if<Refusal>(&decision))
            refuse(sent, *refusal);
        else
            callBackend(index, sent);
    }

    // Asks the former home of a key for its release; request and reply may get lost.
    void askForRelease(int index, const NodeInfo &predecessor, const SendPtr &sent)
    {
        const int former = predecessor.proxy.port - 1000;
        const NodeId successor = hosts_[static_cast<std::size_t>(index)].info.id;
        deliver(former, sent, [this, index, former, successor, sent, predecessor] {
            Host &host = hosts_[static_cast<std::size_t>(former)];
            if (host.info.id != predecessor.id || random_.chance(0.05))
                return;
            const Release release = host.keys->release(sent->call, successor, moment());
            if (random_.chance(0.05))
                return;
            deliver(index, sent, [this, index, sent, release] { onRelease(index, sent, release); });
        });
    }

    void onRelease(int index, const SendPtr &sent, Release release)
    {
        HomeKeys &keys = *hosts_[static_cast<std::size_t>(index)].keys;
        if (release == Release::Granted) {
            ++granted;
            applyDecision(index, sent, keys.beginReleased(sent->call, moment()));
            return;
        }
        refuse(sent, Refusal{RefusalReason::HomeYoung, RunStatus::Unknown});
    }

    // A planned stop: the node waits for its calls, hands over its keys, and leaves.
    void retire(int index)
    {
        Host &host = hosts_[static_cast<std::size_t>(index)];
        if (!isUp(host) || host.keys->isRetiring())
            return;
        host.keys->startRetiring();
        const int run = host.run;
        after(100, [this, index, run] { releaseRequest(index, run); });
        after(6000, [this, index, run] {
            if (hosts_[static_cast<std::size_t>(index)].run == run)
                kill(index);
        });
    }

    struct Handover
    {
        std::vector<NodeId> members;
        std::size_t accepted = 0;
    };

    void releaseRequest(int index, int run)
    {
        Host &host = hosts_[static_cast<std::size_t>(index)];
        if (!host.keys || host.run != run)
            return;
        if (!isUp(host) || !host.keys->isIdle()) {
            after(50, [this, index, run] { releaseRequest(index, run); });
            return;
        }
        auto progress = std::make_shared<Handover>();
        for (const NodeInfo &node : host.keys->successors())
            progress->members.push_back(node.id);
        for (const NodeInfo &node : host.keys->successors()) {
            const Retirement retirement = host.keys->retirementFor(node.id);
            sendToNode(node, [this, index, run, progress, retirement](HomeKeys &keys) {
                if (keys.takeOver(retirement, moment()) && !random_.chance(0.02))
                    after(static_cast<std::int64_t>(random_.below(maxMessageDelayMs)),
                          [this, index, run, progress] { onAccepted(index, run, progress); });
            });
        }
    }

    void onAccepted(int index, int run, const std::shared_ptr<Handover> &progress)
    {
        Host &host = hosts_[static_cast<std::size_t>(index)];
        if (!isUp(host) || host.run != run || ++progress->accepted < progress->members.size()
            || !host.keys->areSuccessors(progress->members))
            return;
        const NodeId left = host.info.id;
        for (const NodeInfo &node : host.keys->successors()) {
            sendToNode(node, [this, left, progress](HomeKeys &keys) {
                retired += keys.confirmRetired(left, progress->members, moment()) ? 1 : 0;
            });
        }
    }

    // Runs `handle` at another node, unless the message is lost.
    void sendToNode(const NodeInfo &node, const std::function<void(HomeKeys &)> &handle)
    {
        const int target = node.proxy.port - 1000;
        if (random_.chance(0.02))
            return;
        auto noCaller = std::make_shared<Send>();
        deliver(target, noCaller, [this, target, id = node.id, handle] {
            Host &host = hosts_[static_cast<std::size_t>(target)];
            if (host.info.id == id)
                handle(*host.keys);
        });
    }

    void callBackend(int index, const SendPtr &sent)
    {
        const int run = hosts_[static_cast<std::size_t>(index)].run;
        const bool isShed = random_.chance(0.1);
        const bool isBroken = !isShed && random_.chance(0.1);
        const auto runsAfter = static_cast<std::int64_t>(random_.below(100));
        if (!isShed)
            after(runsAfter, [this, sent] { runKey(*sent); });
        after(runsAfter + static_cast<std::int64_t>(random_.below(2500)),
              [this, index, run, sent, isShed, isBroken] {
                  finishAt(index, run, sent, isShed, isBroken);
              });
    }

    void runKey(const Send &sent)
    {
        KeyRecord &record = records_[sent.call.key];
        doubled += ++record.runs > 1 ? 1 : 0;
        // A run of an earlier send also makes the `NotRun` refusal false.
        falseNotRun += record.refusedNotRunMs > sent.startedMs ? 1 : 0;
    }

    void finishAt(int index, int run, const SendPtr &sent, bool isShed, bool isBroken)
    {
        Host &host = hosts_[static_cast<std::size_t>(index)];
        if (!host.keys || host.run != run)
            return;
        if (!isUp(host)) {
            after(host.frozenUntilMs - nowMs_ + 1, [this, index, run, sent, isShed, isBroken] {
                finishAt(index, run, sent, isShed, isBroken);
            });
            return;
        }
        KeyTable &table = host.keys->table();
        const TimePoint time = moment().time;
        if (isShed) {
            table.finishNotRun(sent->call.key);
            refuse(sent, Refusal{RefusalReason::Shed, RunStatus::NotRun});
        } else if (isBroken) {
            table.finishUnknown(sent->call.key, time);
            refuse(sent, Refusal{RefusalReason::BrokenConnection, RunStatus::Unknown});
        } else {
            table.finishAnswered(sent->call.key, std::make_shared<StoredResponse>(), time);
            respond(sent);
        }
    }

    void refuse(const SendPtr &sent, const Refusal &refusal)
    {
        if (std::exchange(sent->isDone, true))
            return;
        const bool isNotRun = refusal.run == RunStatus::NotRun;
        (isNotRun ? notRun : unknown) += 1;
        KeyRecord &record = records_[sent->call.key];
        falseNotRun += isNotRun && record.runs > 0 ? 1 : 0;
        if (isNotRun)
            record.refusedNotRunMs = nowMs_;
        retry(sent->call);
    }

    void respond(const SendPtr &sent)
    {
        if (!std::exchange(sent->isDone, true))
            ++answered;
    }

    Random random_;
    std::int64_t nowMs_ = firstMs;
    std::uint64_t serial_ = 0;
    bool isPartitioned_ = false;
    std::vector<Host> hosts_;
    std::map<int, std::int64_t> frozenAt_;
    std::map<CallKey, KeyRecord> records_;
    std::priority_queue<Event> events_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(keyHome)

BOOST_AUTO_TEST_CASE(onlyUuid7KeysHaveACreationTime)
{
    BOOST_TEST(keyCreatedAtMs("01931c5e-7d80-7abc-8def-0123456789ab").value() == 0x01931c5e7d80);
    BOOST_TEST(!keyCreatedAtMs("01931c5e-7d80-4abc-8def-0123456789ab"));
    BOOST_TEST(!keyCreatedAtMs("01931c5e-7d80-7abc-8def-0123456789a"));
    BOOST_TEST(!keyCreatedAtMs("01931c5e-7d8g-7abc-8def-0123456789ab"));
}

BOOST_AUTO_TEST_CASE(storesEachOutcomeOfACall)
{
    KeyTable table(KeyTableLimits{Milliseconds(1000), 2, 1024});
    const TimePoint time{Milliseconds(1)};
    const auto begin = [&](const char *key, const char *request = "r") {
        const KeyDecision decision = table.begin(CallKey(key), Digest(request));
        if (std::holds_alternative<StartRun>(decision))
            return std::string_view("run");
        const auto *refusal = std::get_if<Refusal>(&decision);
        return refusal ? refusalInfo(refusal->reason).name : std::string_view("again");
    };
    BOOST_TEST(begin("a") == "run");
    BOOST_TEST(begin("a") == "in-progress");
    table.finishNotRun(CallKey("a"));
    BOOST_TEST(begin("a") == "run");
    table.finishUnknown(CallKey("a"), time);
    BOOST_TEST(begin("a") == "outcome-unknown");
    BOOST_TEST(begin("b") == "run");
    table.finishAnswered(CallKey("b"), std::make_shared<StoredResponse>(), time);
    BOOST_TEST(begin("b") == "again");
    BOOST_TEST(begin("b", "other") == "key-reused");
    BOOST_TEST(begin("c") == "overload");
    table.expire(time + Milliseconds(1000));
    BOOST_TEST(table.size() == 0);
    BOOST_TEST(table.responseBytes() == 0);
}

BOOST_AUTO_TEST_CASE(dropsOldestResponsesButKeepsTheirKeys)
{
    KeyTable table(KeyTableLimits{Milliseconds(1000), 100, 1000});
    auto answer = std::make_shared<StoredResponse>();
    answer->body = std::string(600, 'x');
    for (const char *key : {"a", "b"}) {
        table.begin(CallKey(key), Digest("r"));
        table.finishAnswered(CallKey(key), answer, TimePoint{});
    }
    const auto forgotten = table.lookup(CallKey("a")).value();
    BOOST_REQUIRE(std::holds_alternative<Refusal>(forgotten));
    BOOST_TEST((std::get<Refusal>(forgotten).reason == RefusalReason::AnswerForgotten));
    BOOST_TEST(std::holds_alternative<ReplayResponse>(table.lookup(CallKey("b")).value()));
}

BOOST_AUTO_TEST_CASE(newHomeDoesNotRunOlderKeys)
{
    const std::int64_t start = 1'700'000'000'000;
    HomeKeys keys(makeNode("n1", "dc0", 1000, start), {}, {}, {});
    std::int64_t tickedMs = start;
    const auto runs = [&](const std::string &key, std::int64_t wallMs, bool isPaused = false) {
        const KeyedCall call{makeCallKey("ana", key), keyCreatedAtMs(key), Digest("r")};
        const Moment moment{TimePoint(Milliseconds(wallMs)), wallMs};
        for (; !isPaused && tickedMs < wallMs; tickedMs += 200)
            keys.tick(Moment{TimePoint(Milliseconds(tickedMs)), tickedMs});
        return std::holds_alternative<StartRun>(keys.begin(call, moment));
    };
    BOOST_TEST(!runs(keyBornAt(start + 1000, 1), start + 1000));
    BOOST_TEST(!runs(keyBornAt(start + 3999, 2), start + 6000));
    BOOST_TEST(runs(keyBornAt(start + 4000, 3), start + 6001));
    BOOST_TEST(!runs("no-birth", start + 6002));
    // Another node may have become the home during a pause.
    BOOST_TEST(!runs(keyBornAt(start + 19'000, 4), start + 20'000, true));
}

BOOST_AUTO_TEST_CASE(homeWithoutMembershipUpdatesStopsRunningKeys)
{
    const std::int64_t start = 1'700'000'000'000;
    HomeKeys keys(makeNode("n1", "dc0", 1000, start - 60'000), {}, {}, {});
    const auto runs = [&](std::int64_t wallMs) {
        const std::string key = keyBornAt(wallMs, static_cast<std::uint64_t>(wallMs));
        const KeyedCall call{makeCallKey("ana", key), keyCreatedAtMs(key), Digest("r")};
        const Moment moment{TimePoint(Milliseconds(wallMs)), wallMs};
        return std::holds_alternative<StartRun>(keys.begin(call, moment));
    };
    for (std::int64_t ms = start - 60'000; ms < start; ms += 500)
        keys.tick(Moment{TimePoint(Milliseconds(ms)), ms});
    for (std::int64_t ms = start; ms <= start + 10'000; ms += 500) {
        const bool isConfirmed = ms <= start + 1000 || ms >= start + 5000;
        if (isConfirmed)
            keys.confirm(Moment{TimePoint(Milliseconds(ms)), ms});
        const bool isOwner = ms <= start + 4000 || ms >= start + 9000;
        BOOST_TEST(runs(ms) == isOwner, "at " << ms - start << " ms");
    }
}

BOOST_AUTO_TEST_CASE(noKeyRunsTwiceAndNotRunIsNeverFalse)
{
    // The last seed; seeds start at 1.  Set the variable for a longer run.
    const char *seeds = std::getenv("CORNELHEAD_TEST_SEEDS");
    const std::uint64_t lastSeed = seeds ? std::stoull(seeds) : 20;
    for (std::uint64_t seed = 1; seed <= lastSeed; ++seed) {
        Fleet fleet(seed);
        fleet.runFor(120'000);
        std::cout << "seed=" << seed << " answered=" << fleet.answered
                  << " not_run=" << fleet.notRun << " unknown=" << fleet.unknown
                  << " granted=" << fleet.granted << " retired=" << fleet.retired
                  << " doubled=" << fleet.doubled << " false_not_run=" << fleet.falseNotRun << '\n';
        BOOST_TEST(fleet.doubled == 0, "seed " << seed);
        BOOST_TEST(fleet.falseNotRun == 0, "seed " << seed);
        BOOST_TEST(fleet.answered > 1000, "seed " << seed);
        BOOST_TEST(fleet.granted > 0, "seed " << seed);
        BOOST_TEST(fleet.retired > 0, "seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
