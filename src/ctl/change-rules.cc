// Checks new declarations against the services in use.
#include "cornelhead/ctl/change-rules.h"

#include <map>

namespace cornelhead {
namespace detail {

const Move *findMove(const MoveTable &moves, const ServiceId &service)
{
    const auto found = moves.moves.find(service);
    return found == moves.moves.end() ? nullptr : &found->second;
}

Result<void> checkRemoval(const Service &service, const Move *move)
{
    if (!move || isFinal(move->state))
        return {};
    return fail(ErrorKind::Conflict,
                "service '" + service.id.value() + "' cannot be removed while its move to "
                        + move->newVersion.value() + " is in progress",
                "wait until the move ends, or roll it back with 'cornelheadctl take-back'");
}

// A change to the version in force is allowed: the move's record takes precedence.
Result<void> checkInitialVersion(const Service &inForce, const Service &desired, const Move *move)
{
    if (inForce.initialVersion == desired.initialVersion
        || (move && versionInForce(*move) == desired.initialVersion))
        return {};
    const std::string &name = desired.id.value();
    return fail(ErrorKind::Conflict,
                "initial-version of service '" + name + "' cannot change from "
                        + inForce.initialVersion.value() + " to " + desired.initialVersion.value(),
                "keep initial-version, and run 'cornelheadctl start " + name + " "
                        + desired.initialVersion.value() + " --deadline ...'");
}

} // namespace detail

Result<void> checkChange(const Declarations &inForce, const Declarations &desired,
                         const MoveTable &moves)
{
    std::map<ServiceId, const Service *> services;
    for (const Service &service : desired.services)
        services.emplace(service.id, &service);
    for (const Service &service : inForce.services) {
        const Move *move = detail::findMove(moves, service.id);
        const auto found = services.find(service.id);
        Result<void> checked = found == services.end()
                ? detail::checkRemoval(service, move)
                : detail::checkInitialVersion(service, *found->second, move);
        if (!checked)
            return checked;
    }
    return {};
}

} // namespace cornelhead
