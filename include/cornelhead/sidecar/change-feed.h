// The side of a relay: tells other nodes of its data centre what changes in the key-value service.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "cornelhead/base/error.h"
#include "cornelhead/platform/change-journal.h"
#include "cornelhead/sidecar/exchange.h"

namespace cornelhead {

/// The prefixes of the key-value service that a node follows.
enum class Subtree { Operators, Own };
constexpr std::size_t subtreeCount = 2;

/// How far a node is with each subtree.
using SubtreeRevisions = std::array<ModRevision, subtreeCount>;

/// What a relay answers.
struct FeedAnswer
{
    /// The relay follows the service itself and has heard of it just now.
    bool isFit = false;
    std::array<WatchResponse, subtreeCount> changes;
};

/// The path on the address for other nodes under which a relay tells changes.
constexpr const char *changeFeedPath = "/cornelhead/changes";
/// A relay answers after it, even if nothing has changed.
constexpr Milliseconds feedWait(600);

/// Renders path and query of a poll.
std::string encodeFeedPoll(const SubtreeRevisions &after);
/// Reads the query of a poll.  Fails with `InvalidMessage`.
Result<SubtreeRevisions> decodeFeedPoll(std::string_view query);
std::string encodeFeedAnswer(const FeedAnswer &answer);
/// Fails with `InvalidMessage`.
Result<FeedAnswer> decodeFeedAnswer(std::string_view text);

namespace detail {

/// Holds polls of followers until something has changed for them.
class ChangeFeed
{
public:
    /// `isFit` tells whether what the journals hold is what the service holds now.
    ChangeFeed(EventLoop &loop, std::function<bool()> isFit);

    void take(Subtree subtree, const WatchResponse &answer);
    void serve(evhttp_request *request);
    /// Answers polls that are due, and all of them once the node is unfit.
    void sweep();
    /// Closes the connections of all polls.
    void drop() { polls_.clear(); }
    /// Tells whether another node polled lately.
    bool hasFollowers() const;
    const ChangeJournal &journal(Subtree subtree) const;

private:
    struct Poll
    {
        std::unique_ptr<Exchange> exchange;
        SubtreeRevisions after;
        TimePoint due{};
        bool isGone = false;
    };

    bool hasChanges(const SubtreeRevisions &after) const;
    void answer(Poll &poll);

    EventLoop &loop_;
    std::function<bool()> isFit_;
    std::array<ChangeJournal, subtreeCount> journals_;
    std::list<Poll> polls_;
    TimePoint polledAt_{};
};

} // namespace detail
} // namespace cornelhead
