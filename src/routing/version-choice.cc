// Implements the choice of version.
#include "cornelhead/routing/version-choice.h"

namespace cornelhead {
namespace detail {
namespace {

constexpr double totalPerMille = 1000.0;

VersionChoice chooseByShare(const Move &move, double draw)
{
    const bool isNew = draw * totalPerMille < static_cast<double>(move.share.value());
    if (!isNew || move.refusedVersions.contains(move.newVersion))
        return VersionChoice{&move.oldVersion, nullptr};
    return VersionChoice{&move.newVersion, &move.oldVersion};
}

} // namespace
} // namespace detail

VersionChoice chooseVersion(const Service &service, const Move *move, double draw)
{
    if (!move)
        return VersionChoice{&service.initialVersion, nullptr};
    switch (move->state) {
    case MoveState::Running:
    case MoveState::Paused:
        return detail::chooseByShare(*move, draw);
    case MoveState::Watching:
        return VersionChoice{&move->newVersion, &move->oldVersion};
    case MoveState::Done:
        return VersionChoice{&move->newVersion, nullptr};
    case MoveState::RolledBack:
        return VersionChoice{&move->oldVersion, nullptr};
    }
    return VersionChoice{&move->oldVersion, nullptr};
}

} // namespace cornelhead
