// Tests that with concurrent moves of two services, one of which calls the other, only the bad one
// is rolled back.
//
// Each call to the front service makes one call to the back service, whose version is chosen by its
// own share.  A bad back service therefore affects both versions of the front service equally.
#include <map>

#include <boost/test/unit_test.hpp>

#include "cornelhead/base/random.h"
#include "cornelhead/rollout/controller.h"
#include "cornelhead/rollout/move-actions.h"

namespace cornelhead {
namespace {

const ServiceId front("doorlist");
const ServiceId back("bookings");
const VersionId oldVersion("v1");
const VersionId newVersion("v2");

class TwoMoves
{
public:
    TwoMoves(std::uint64_t seed, double frontFailures, double backFailures)
        : random_(seed), failures_{{front, frontFailures}, {back, backFailures}}
    {
        for (const ServiceId &service : {front, back}) {
            Move &move = moves_[service];
            move = startMove(std::nullopt, {service, oldVersion, newVersion, nowMs_ + 20'000},
                             {EditId("start"), nowMs_})
                           .value();
            move.modRevision = ModRevision(1);
            controller_.observe(move);
        }
    }

    void run()
    {
        constexpr std::int64_t tickMs = 100;
        constexpr std::int64_t maxMs = 120'000;
        for (const std::int64_t endMs = nowMs_ + maxMs; nowMs_ < endMs; nowMs_ += tickMs) {
            OutcomeBatch batch;
            for (int i = 0; i < 20; ++i)
                callFront(batch);
            controller_.addEvidence(batch, nowMs_);
            for (auto &[service, move] : moves_)
                if (const auto next = controller_.next(service, nowMs_))
                    write(move, *next);
        }
    }

    MoveState stateOf(const ServiceId &service) const { return moves_.at(service).state; }

private:
    void write(Move &move, Move next)
    {
        next.modRevision = move.modRevision.next();
        move = std::move(next);
        controller_.observe(move);
    }

    bool fails(const ServiceId &service, bool isNew)
    {
        return random_.chance(isNew ? failures_.at(service) : 0.002);
    }

    void callFront(OutcomeBatch &batch)
    {
        const bool backFailed = record(batch, back, false);
        record(batch, front, backFailed);
    }

    bool record(OutcomeBatch &batch, const ServiceId &service, bool hasFailed)
    {
        const bool isNew = random_.below(1000) < moves_.at(service).share.value();
        const bool isFailure = fails(service, isNew) || hasFailed;
        OutcomeSums &sums = batch[{service, isNew ? newVersion : oldVersion, RouteId("/r"),
                                   DataCentreId("akl-a")}];
        sums.calls += 1;
        sums.failures += isFailure ? 1 : 0;
        sums.latencies[4 + random_.below(3)] += 1;
        return isFailure;
    }

    Random random_;
    std::map<ServiceId, double> failures_;
    std::map<ServiceId, Move> moves_;
    MoveController controller_;
    std::int64_t nowMs_ = 1'000'000;
};

} // namespace

BOOST_AUTO_TEST_SUITE(twoMoves)

BOOST_AUTO_TEST_CASE(rollsBackTheCalledService)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        TwoMoves moves(seed, 0.002, 0.3);
        moves.run();
        BOOST_TEST((moves.stateOf(back) == MoveState::RolledBack), "seed " << seed);
        BOOST_TEST((moves.stateOf(front) == MoveState::Done), "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(rollsBackTheCallingService)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        TwoMoves moves(seed, 0.3, 0.002);
        moves.run();
        BOOST_TEST((moves.stateOf(front) == MoveState::RolledBack), "seed " << seed);
        BOOST_TEST((moves.stateOf(back) == MoveState::Done), "seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
