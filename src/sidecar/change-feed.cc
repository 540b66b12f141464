// Implements the serving side of a relay.
#include "cornelhead/sidecar/change-feed.h"

#include <charconv>

#include <event2/http.h>

#include "cornelhead/platform/wire.h"

namespace cornelhead {
namespace detail {

/// A follower that has not polled for this long has switched to another source.
constexpr Milliseconds followerTimeout(3000);
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
    const char *cursor = query.data();
    const char *end = query.data() + query.size();
    for (std::size_t i = 0; i < subtreeCount; ++i) {
        if (i > 0 && (cursor == end || *cursor++ != '-'))
            return fail(ErrorKind::InvalidMessage, "a poll for changes lacks a revision",
                        "check that all nodes run the same version");
        std::uint64_t revision = 0;
        const auto [stop, error] = std::from_chars(cursor, end, revision);
        if (error != std::errc())
            return fail(ErrorKind::InvalidMessage,
                        "a poll for changes has a revision that is not a number",
                        "check that all nodes run the same version");
        after[i] = ModRevision(revision);
        cursor = stop;
    }
    if (cursor != end)
        return fail(ErrorKind::InvalidMessage,
                    "a poll for changes has text after its last revision",
                    "check that all nodes run the same version");
    return after;
}

std::string encodeFeedResponse(const FeedResponse &response)
{
    nlohmann::json json = {{"isFit", response.canRelay}};
    for (std::size_t i = 0; i < subtreeCount; ++i)
        json[detail::subtreeNames[i]] = detail::toJson(response.changes[i]);
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<FeedResponse> decodeFeedResponse(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        FeedResponse response;
        response.canRelay = json.at("isFit").get<bool>();
        for (std::size_t i = 0; i < subtreeCount; ++i)
            response.changes[i] = detail::readWatchResponse(json.at(detail::subtreeNames[i]));
        return response;
    } catch (const nlohmann::json::exception &error) {
        return fail(ErrorKind::InvalidMessage,
                    std::string("the response to a poll for changes cannot be parsed: ")
                            + error.what(),
                    "check that all nodes run the same version");
    }
}

namespace detail {

ChangeFeed::ChangeFeed(EventLoop &loop, std::function<RelayState()> relayState)
    : loop_(loop), relayState_(std::move(relayState))
{ }

const ChangeJournal &ChangeFeed::journal(Subtree subtree) const
{
    return journals_[indexOf(subtree)];
}

std::size_t ChangeFeed::apply(Subtree subtree, const WatchResponse &response)
{
    const std::size_t passedOver = journals_[indexOf(subtree)].apply(response);
    sweep();
    return passedOver;
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
    lastPollAt_ = time;
    const evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    const char *query = uri ? evhttp_uri_get_query(uri) : nullptr;
    const Result<SubtreeRevisions> after = decodeFeedPoll(query ? query : "");
    auto exchange = std::make_unique<Exchange>(loop_, request);
    if (!after) {
        exchange->send(LocalResponse{statusBadRequest, {}, after.error().describe()});
        return;
    }
    Poll &poll = polls_.emplace_back(Poll{std::move(exchange), *after, time + feedPollWait});
    poll.exchange->watchConnection([&poll] { poll.isDisconnected = true; });
    sweep();
}

bool ChangeFeed::isDue(const Poll &poll, RelayState state, TimePoint time) const
{
    if (poll.isDisconnected || state == RelayState::Unable || time >= poll.deadline)
        return true;
    return state == RelayState::Ready && hasChanges(poll.after);
}

void ChangeFeed::sweep()
{
    const TimePoint time = now(SteadyClock());
    const RelayState state = relayState_();
    EncodedResponses encoded;
    for (auto poll = polls_.begin(); poll != polls_.end();) {
        if (!isDue(*poll, state, time)) {
            ++poll;
            continue;
        }
        answer(*poll, encoded);
        poll = polls_.erase(poll);
    }
}

void ChangeFeed::answer(Poll &poll, EncodedResponses &encoded)
{
    if (poll.isDisconnected) {
        poll.exchange->abandon();
        return;
    }
    std::string &body = encoded[poll.after];
    if (body.empty()) {
        FeedResponse response;
        response.canRelay = relayState_() == RelayState::Ready;
        for (std::size_t i = 0; response.canRelay && i < subtreeCount; ++i)
            response.changes[i] = journals_[i].changesSince(poll.after[i]);
        body = encodeFeedResponse(response);
    }
    poll.exchange->send(LocalResponse{statusOk, {}, body});
}

bool ChangeFeed::hasFollowers() const
{
    return !polls_.empty() || now(SteadyClock()) - lastPollAt_ < followerTimeout;
}

} // namespace detail
} // namespace cornelhead
