// Tests that operators, controllers and lost answers end in one truth, over random interleavings.
#include <optional>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "cornelhead/base/random.h"
#include "cornelhead/rollout/controller.h"
#include "cornelhead/rollout/move-actions.h"

namespace cornelhead {
namespace {

const ServiceId service("bookings");
const VersionId oldVersion("v1");
const VersionId newVersion("v2");

/// A record with compare-and-swap, two controllers that both think they drive it, and operators who
/// act on what they read some time ago.
class Race
{
public:
    explicit Race(std::uint64_t seed) : random_(seed), controllers_(2)
    {
        Move first = startMove(std::nullopt, {service, oldVersion, newVersion, nowMs_ + 20'000},
                               {EditId("start"), nowMs_})
                             .value();
        first.modRevision = ModRevision(1);
        writes_.push_back(first);
    }

    void run()
    {
        for (int tick = 0; tick < 600; ++tick) {
            nowMs_ += 100;
            for (MoveController &controller : controllers_)
                drive(controller);
            if (random_.chance(0.03))
                act();
        }
        for (const std::string &edit : takenBackBy_)
            BOOST_TEST(containsEdit(latest(), EditId(edit)));
    }

private:
    const Move &latest() const { return writes_.back(); }
    const Move &stale()
    {
        return writes_[writes_.size() - 1
                       - random_.below(std::min<std::size_t>(writes_.size(), 3))];
    }

    void drive(MoveController &controller)
    {
        // A paused holder of a lapsed lease still thinks that it drives.
        if (random_.chance(0.3))
            controller.observe(stale());
        OutcomeBatch batch;
        OutcomeSums sums{.calls = 20};
        sums.latencies[4] = 20;
        batch[{service, oldVersion, RouteId("/book"), DataCentreId("akl-a")}] = sums;
        batch[{service, newVersion, RouteId("/book"), DataCentreId("akl-a")}] = sums;
        controller.addEvidence(batch, nowMs_);
        if (const auto next = controller.next(service, nowMs_))
            write(*next);
    }

    bool write(Move next)
    {
        if (next.modRevision != latest().modRevision)
            return false;
        BOOST_TEST(!isFinal(latest().state));
        BOOST_TEST((latest().state != MoveState::Paused || next.share <= latest().share));
        next.modRevision = latest().modRevision.next();
        writes_.push_back(std::move(next));
        return true;
    }

    Result<Move> decide(const Move &read, const OperatorEdit &edit)
    {
        switch (random_.below(5)) {
        case 0:
            return pauseMove(read, edit);
        case 1:
        case 2:
            return resumeMove(read, edit);
        case 3:
            return hastenMove(read, read.deadlineMs - 1'000, edit);
        default:
            return random_.chance(0.2) ? rollBackMove(read, "", edit) : pauseMove(read, edit);
        }
    }

    void act()
    {
        const OperatorEdit edit{EditId("edit-" + std::to_string(nowMs_)), nowMs_};
        const Result<Move> next = decide(stale(), edit);
        if (!next || !write(*next))
            return;
        if (next->state == MoveState::RolledBack)
            takenBackBy_.push_back(edit.id.value());
        // The answer was lost; the operator reads again and repeats.
        const Result<Move> again = decideSame(*next, edit);
        BOOST_TEST(again.has_value());
        BOOST_TEST(encodeMove(*again) == encodeMove(latest()));
    }

    Result<Move> decideSame(const Move &written, const OperatorEdit &edit)
    {
        if (written.state == MoveState::Paused)
            return pauseMove(latest(), edit);
        if (written.state == MoveState::RolledBack)
            return rollBackMove(latest(), "", edit);
        return hastenMove(latest(), written.deadlineMs, edit);
    }

    Random random_;
    std::vector<MoveController> controllers_;
    std::vector<Move> writes_;
    std::vector<std::string> takenBackBy_;
    std::int64_t nowMs_ = 1'000'000;
};

} // namespace

BOOST_AUTO_TEST_SUITE(moveRaces)

BOOST_AUTO_TEST_CASE(operatorsAndControllersEndInOneTruth)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
        BOOST_TEST_CONTEXT("seed " << seed) Race(seed).run();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
