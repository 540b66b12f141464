// The serving side of a relay: forwards changes of the key-value store to the other nodes of its
// data centre, which poll it instead of the store.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "cornelhead/base/error.h"
#include "cornelhead/platform/change-journal.h"
#include "cornelhead/sidecar/exchange.h"

namespace cornelhead {

/// The prefixes of the key-value store that a node follows.
enum class Subtree {
    Operators, ///< Written by operators: the configuration and the orders of moves.
    Fleet, ///< Written by nodes: host entries and records of moves.
};
constexpr std::size_t subtreeCount = 2;

/// The store revision up to which a node holds each subtree.
using SubtreeRevisions = std::array<ModRevision, subtreeCount>;

/// A relay's response to a poll.
struct FeedResponse
{
    /// The relay follows the store directly and has reached it recently; `changes` are empty
    /// otherwise.
    bool canRelay = false;
    std::array<WatchResponse, subtreeCount> changes;
};

/// Path of polls, on the address for other nodes.  Earlier versions of the node serve another path,
/// as their revisions hold no era; nodes of both versions then follow relays of their own.
constexpr const char *changeFeedPath = "/cornelhead/changes-by-era";
/// A relay responds to a poll after this time even if nothing has changed.
constexpr Milliseconds feedPollWait(600);

/// Renders path and query of a poll.
std::string encodeFeedPoll(const SubtreeRevisions &after);
/// Reads the query of a poll.  Fails with `InvalidMessage`.
Result<SubtreeRevisions> decodeFeedPoll(std::string_view query);
std::string encodeFeedResponse(const FeedResponse &response);
/// Fails with `InvalidMessage`.
Result<FeedResponse> decodeFeedResponse(std::string_view text);

namespace detail {

/// Whether a node can relay the store's changes.
enum class RelayState {
    Ready, ///< The journals are up to date with the store.
    NotYet, ///< The node follows a relay itself, or has not listed the store yet.
    Unable, ///< The node has lost the store, or is stopping.
};

/// Answers long polls of followers once something has changed for them.
///
/// All followers of a relay that failed poll the next one within milliseconds, so a node that is
/// not a relay yet holds their polls while it becomes one.
class ChangeFeed
{
public:
    ChangeFeed(EventLoop &loop, std::function<RelayState()> relayState);

    /// Applies what a listing or watch of the store returned, and answers polls that waited for it.
    /// Returns how many entries were passed over as not newer than those held.
    std::size_t apply(Subtree subtree, const WatchResponse &response);
    void serve(evhttp_request *request);
    /// Answers polls whose time is over, and all polls while this node is unable to relay.
    void sweep();
    /// Closes the connections of all polls.
    void closePolls() { polls_.clear(); }
    /// Returns whether another node polled within the last seconds.
    bool hasFollowers() const;
    const ChangeJournal &journal(Subtree subtree) const;

private:
    struct Poll
    {
        std::unique_ptr<Exchange> exchange;
        SubtreeRevisions after;
        TimePoint deadline{};
        bool isDisconnected = false;
    };

    bool isDue(const Poll &poll, RelayState state, TimePoint time) const;
    bool hasChanges(const SubtreeRevisions &after) const;
    /// Most followers have the same revisions, so each response is encoded once.
    using EncodedResponses = std::map<SubtreeRevisions, std::string>;
    void answer(Poll &poll, EncodedResponses &encoded);

    EventLoop &loop_;
    std::function<RelayState()> relayState_;
    std::array<ChangeJournal, subtreeCount> journals_;
    std::list<Poll> polls_;
    TimePoint lastPollAt_{};
};

} // namespace detail
} // namespace cornelhead
