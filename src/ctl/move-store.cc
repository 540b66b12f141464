// Reads moves and writes operators' edits by compare-and-swap.
#include "cornelhead/ctl/move-store.h"

#include <utility>

#include "cornelhead/config/manifest.h"

namespace cornelhead {
namespace detail {

// The controller writes at most a few times per second, so this many conflicts indicate a fault.
constexpr int maxEditAttempts = 10;

std::string moveKey(const ServiceId &service)
{
    return movePrefix + service.value();
}

Result<Move> decodeStoredMove(const KeyValue &stored)
{
    Result<Move> move = decodeMove(stored.value);
    if (move)
        move->modRevision = stored.modRevision;
    return move;
}

// Applies one edit despite conflicts and lost responses.
class MoveEdit
{
public:
    MoveEdit(const PlatformOperations &platform, const ServiceId &service, const EditId &edit,
             const MoveAction &action)
        : platform_(platform), service_(service), edit_(edit), action_(action)
    { }

    Result<Move> run()
    {
        for (int i = 0; i < maxEditAttempts; ++i) {
            Result<std::optional<Move>> done = attempt();
            if (!done)
                return finalError(done.error());
            if (*done)
                return std::move(**done);
        }
        return finalError(Error{ErrorKind::Conflict, "the move's record changed at every attempt",
                                "check 'cornelheadctl report' and repeat the command"});
    }

private:
    // Returns nothing if the edit must be retried on the record as it is now.
    Result<std::optional<Move>> attempt()
    {
        const Result<std::optional<Move>> current = readMove(platform_, service_);
        if (!current)
            return tl::unexpected<Error>(current.error());
        if (*current && containsEdit(**current, edit_))
            return *current;
        Result<Move> updated = action_(*current);
        if (!updated) {
            hasUnknownOutcome_
                    = hasUnknownOutcome_ && current->has_value() && !isNewerThanBase(**current);
            return tl::unexpected<Error>(updated.error());
        }
        baseRevision_ = *current ? (*current)->modRevision : ModRevision();
        const Result<ModRevision> put
                = platform_.put(moveKey(service_), encodeMove(*updated), {baseRevision_});
        if (put) {
            updated->modRevision = *put;
            return std::optional<Move>(std::move(*updated));
        }
        hasUnknownOutcome_ = put.error().kind == ErrorKind::Unknown;
        if (hasUnknownOutcome_ || put.error().kind == ErrorKind::Conflict)
            return std::optional<Move>();
        return tl::unexpected<Error>(put.error());
    }

    // A write in flight fails if the record is newer than the revision that the write expects.
    bool isNewerThanBase(const Move &current) const { return current.modRevision > baseRevision_; }

    tl::unexpected<Error> finalError(const Error &error) const
    {
        if (!hasUnknownOutcome_)
            return tl::unexpected<Error>(error);
        return fail(ErrorKind::Unknown,
                    "unknown whether the move of " + service_.value()
                            + " was edited: " + error.describe(),
                    "check 'cornelheadctl report' before repeating the command");
    }

    const PlatformOperations &platform_;
    const ServiceId &service_;
    const EditId &edit_;
    const MoveAction &action_;
    // The revision that the last write expected.
    ModRevision baseRevision_;
    // The outcome of the last write is not known.
    bool hasUnknownOutcome_ = false;
};

} // namespace detail

Result<std::optional<Move>> readMove(const PlatformOperations &platform, const ServiceId &service)
{
    const Result<std::optional<KeyValue>> found = platform.get(detail::moveKey(service));
    if (!found)
        return tl::unexpected<Error>(found.error());
    if (!*found)
        return std::optional<Move>();
    return detail::decodeStoredMove(**found);
}

Result<MoveTable> readMoves(const PlatformOperations &platform)
{
    const Result<Listing> listing = platform.list(movePrefix);
    if (!listing)
        return tl::unexpected<Error>(listing.error());
    MoveTable table;
    for (const KeyValue &entry : listing->entries) {
        Result<Move> move = detail::decodeStoredMove(entry);
        if (!move)
            return tl::unexpected<Error>(move.error());
        const ServiceId service = move->service;
        table.moves.insert_or_assign(service, std::move(*move));
    }
    return table;
}

Result<Move> editMove(const PlatformOperations &platform, const ServiceId &service,
                      const EditId &edit, const MoveAction &action)
{
    return detail::MoveEdit(platform, service, edit, action).run();
}

} // namespace cornelhead
