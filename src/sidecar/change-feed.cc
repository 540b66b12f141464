// Implements the side of a relay.
#include "cornelhead/sidecar/change-feed.h"

#include <charconv>

#include <event2/http.h>

#include "cornelhead/platform/wire.h"

namespace cornelhead {
namespace detail {

/// A follower that has not polled for so long has gone elsewhere.
constexpr Milliseconds followerMemory(3000);
constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr std::array<const char *, subtreeCount> subtreeNames = {"operators", "own"};

std::size_t indexOf(Subtree subtree)
{
    return static_cast<std::size_t>(subtree);
}

} // namespace detail

std::string encodeFeedPoll(const SubtreeRevisions &after)
{
    std::string text = changeFeedPath;
    char separator = '?';
    for (const ModRevision revision : after) {
        text += separator + std::to_string(revision.value());
        separator = '-';
    }
    return text;
}

Result<SubtreeRevisions> decodeFeedPoll(std::string_view query)
{
    SubtreeRevisions after;
    const char *at = query.data();
    const char *end = query.data() + query.size();
    for (std::size_t i = 0; i < subtreeCount; ++i) {
        if (i > 0 && (at == end || *at++ != '-'))
            return fail(ErrorKind::InvalidMessage, "a poll for changes lacks a revision",
                        "check that all nodes run the same version");
        std::uint64_t revision = 0;
        const auto [stop, error] = std::from_chars(at, end, revision);
        if (error != std::errc())
            return fail(ErrorKind::InvalidMessage, "a poll for changes has no number",
                        "check that all nodes run the same version");
        after[i] = ModRevision(revision);
        at = stop;
    }
    if (at != end)
        return fail(ErrorKind::InvalidMessage, "a poll for changes is too long",
                    "check that all nodes run the same version");
    return after;
}

std::string encodeFeedAnswer(const FeedAnswer &answer)
{
    nlohmann::json json = {{"isFit", answer.isFit}};
    for (std::size_t i = 0; i < subtreeCount; ++i)
        json[detail::subtreeNames[i]] = detail::toJson(answer.changes[i]);
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<FeedAnswer> decodeFeedAnswer(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        FeedAnswer answer;
        answer.isFit = json.at("isFit").get<bool>();
        for (std::size_t i = 0; i < subtreeCount; ++i)
            answer.changes[i] = detail::readWatchResponse(json.at(detail::subtreeNames[i]));
        return answer;
    } catch (const nlohmann::json::exception &error) {
        return fail(ErrorKind::InvalidMessage,
                    std::string("an answer to a poll for changes cannot be read: ") + error.what(),
                    "check that all nodes run the same version");
    }
}

namespace detail {

ChangeFeed::ChangeFeed(EventLoop &loop, std::function<bool()> isFit)
    : loop_(loop), isFit_(std::move(isFit))
{ }

const ChangeJournal &ChangeFeed::journal(Subtree subtree) const
{
    return journals_[indexOf(subtree)];
}

void ChangeFeed::take(Subtree subtree, const WatchResponse &answer)
{
    journals_[indexOf(subtree)].take(answer);
    sweep();
}

bool ChangeFeed::hasChanges(const SubtreeRevisions &after) const
{
    for (std::size_t i = 0; i < subtreeCount; ++i) {
        if (journals_[i].hasChangesSince(after[i]))
            return true;
    }
    return false;
}

void ChangeFeed::serve(evhttp_request *request)
{
    const TimePoint time = now(SteadyClock());
    polledAt_ = time;
    const evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    const char *query = uri ? evhttp_uri_get_query(uri) : nullptr;
    const Result<SubtreeRevisions> after = decodeFeedPoll(query ? query : "");
    auto exchange = std::make_unique<Exchange>(loop_, request);
    if (!after) {
        exchange->send(OwnAnswer{statusBadRequest, {}, after.error().describe()});
        return;
    }
    Poll &poll = polls_.emplace_back(Poll{std::move(exchange), *after, time + feedWait});
    poll.exchange->watch([&poll] { poll.isGone = true; });
    sweep();
}

void ChangeFeed::sweep()
{
    const TimePoint time = now(SteadyClock());
    const bool isFit = isFit_();
    for (auto poll = polls_.begin(); poll != polls_.end();) {
        if (!poll->isGone && isFit && time < poll->due && !hasChanges(poll->after)) {
            ++poll;
            continue;
        }
        answer(*poll);
        poll = polls_.erase(poll);
    }
}

void ChangeFeed::answer(Poll &poll)
{
    if (poll.isGone) {
        poll.exchange->abandon();
        return;
    }
    FeedAnswer answer;
    answer.isFit = isFit_();
    for (std::size_t i = 0; answer.isFit && i < subtreeCount; ++i)
        answer.changes[i] = journals_[i].changesSince(poll.after[i]);
    poll.exchange->send(OwnAnswer{statusOk, {}, encodeFeedAnswer(answer)});
}

bool ChangeFeed::hasFollowers() const
{
    return !polls_.empty() || now(SteadyClock()) - polledAt_ < followerMemory;
}

} // namespace detail
} // namespace cornelhead
