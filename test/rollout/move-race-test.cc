// Tests that concurrent writes of operators and controllers, with lost responses, leave a
// consistent record, over random interleavings.
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

/// A record with compare-and-swap, two controllers that both act as the leader, and operators who
/// act on stale reads.
class Race
{
public:
    explicit Race(std::uint64_t seed) : random_(seed), controllers_(2)
    {
        Move initial = startMove(std::nullopt, {service, oldVersion, newVersion, nowMs_ + 20'000},
                                 {EditId("start"), nowMs_})
                               .value();
        initial.modRevision = ModRevision(1);
        writes_.push_back(initial);
    }

    void run()
    {
        for (int tick = 0; tick < 600; ++tick) {
            nowMs_ += 100;
            for (MoveController &controller : controllers_)
                runController(controller);
            if (random_.chance(0.03))
                applyRandomEdit();
        }
        for (const std::string &edit : rollbackEdits_)
            BOOST_TEST(containsEdit(latest(), EditId(edit)));
    }

private:
    const Move &latest() const { return writes_.back(); }
    const Move &stale()
    {
        return writes_[writes_.size() - 1
                       - random_.below(std::min<std::size_t>(writes_.size(), 3))];
    }

    void runController(MoveController &controller)
    {
        // A controller that was suspended until its lease expired still acts on a stale record.
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

    Result<Move> randomAction(const Move &record, const OperatorEdit &edit)
    {
        switch (random_.below(5)) {
        case 0:
            return pauseMove(record, edit);
        case 1:
        case 2:
            return resumeMove(record, edit);
        case 3:
            return hastenMove(record, record.deadlineMs - 1'000, edit);
        default:
            return random_.chance(0.2) ? rollBackMove(record, "", edit) : pauseMove(record, edit);
        }
    }

    void applyRandomEdit()
    {
        const OperatorEdit edit{EditId("edit-" + std::to_string(nowMs_)), nowMs_};
        const Result<Move> next = randomAction(stale(), edit);
        if (!next || !write(*next))
            return;
        if (next->state == MoveState::RolledBack)
            rollbackEdits_.push_back(edit.id.value());
        // The response was lost; the operator reads the record again and repeats the action.
        const Result<Move> again = repeatAction(*next, edit);
        BOOST_TEST(again.has_value());
        BOOST_TEST(encodeMove(*again) == encodeMove(latest()));
    }

    Result<Move> repeatAction(const Move &written, const OperatorEdit &edit)
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
    std::vector<std::string> rollbackEdits_;
    std::int64_t nowMs_ = 1'000'000;
};

} // namespace

BOOST_AUTO_TEST_SUITE(moveRaces)

BOOST_AUTO_TEST_CASE(operatorsAndControllersLeaveAConsistentRecord)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
        BOOST_TEST_CONTEXT("seed " << seed) Race(seed).run();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
