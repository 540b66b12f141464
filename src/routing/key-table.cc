// Implements the table of idempotency keys.
#include "cornelhead/routing/key-table.h"

#include "cornelhead/base/check.h"

namespace cornelhead {

CallKey makeCallKey(std::string_view customer, std::string_view idempotencyKey)
{
    std::string text(customer);
    // Header values contain no line feed, so different pairs give different texts.
    text.append("\n").append(idempotencyKey);
    return CallKey(std::move(text));
}

std::size_t StoredResponse::bytes() const
{
    std::size_t total = sizeof(*this) + phrase.size() + body.size();
    for (const HeaderField &field : headers)
        total += sizeof field + field.name.size() + field.value.size();
    return total;
}

KeyDecision KeyTable::decisionFor(const Entry &entry)
{
    switch (entry.state) {
    case State::Running:
        return Refusal{RefusalReason::InProgress, RunStatus::Unknown};
    case State::Unknown:
        return Refusal{RefusalReason::OutcomeUnknown, RunStatus::Unknown};
    case State::Released:
        return Refusal{RefusalReason::HomeMoved, RunStatus::Unknown};
    case State::Answered:
        break;
    }
    if (!entry.answer)
        return Refusal{RefusalReason::AnswerForgotten, RunStatus::Unknown};
    return ReplayResponse{entry.answer};
}

KeyDecision KeyTable::begin(const CallKey &key, const Digest &request)
{
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
        if (entries_.size() >= limits_.keys)
            return Refusal{RefusalReason::Overload, RunStatus::NotRun};
        entries_.emplace(key, Entry{State::Running, request, nullptr, {}, {}});
        return StartRun{};
    }
    if (found->second.state != State::Released && found->second.request != request)
        return Refusal{RefusalReason::KeyReused, RunStatus::Unknown};
    return decisionFor(found->second);
}

std::optional<KeyDecision> KeyTable::lookup(const CallKey &key) const
{
    const auto found = entries_.find(key);
    if (found == entries_.end())
        return std::nullopt;
    return decisionFor(found->second);
}

KeyTable::Entry &KeyTable::runningEntry(const CallKey &key)
{
    const auto found = entries_.find(key);
    CORNELHEAD_CHECK(found != entries_.end() && found->second.state == State::Running);
    return found->second;
}

void KeyTable::finishNotRun(const CallKey &key)
{
    runningEntry(key);
    entries_.erase(key);
}

void KeyTable::finish(const CallKey &key, Entry &entry, TimePoint now)
{
    entry.finishedAt = now;
    finished_.push_back(key);
}

void KeyTable::finishUnknown(const CallKey &key, TimePoint now)
{
    Entry &entry = runningEntry(key);
    entry.state = State::Unknown;
    finish(key, entry, now);
}

void KeyTable::finishAnswered(const CallKey &key, std::shared_ptr<const StoredResponse> answer,
                              TimePoint now)
{
    Entry &entry = runningEntry(key);
    entry.state = State::Answered;
    finish(key, entry, now);
    storeResponse(key, entry, std::move(answer));
}

void KeyTable::storeResponse(const CallKey &key, Entry &entry,
                             std::shared_ptr<const StoredResponse> answer)
{
    entry.answer = std::move(answer);
    if (!entry.answer)
        return;
    responseBytes_ += entry.answer->bytes();
    withResponse_.push_back(key);
    dropOldestResponses();
}

void KeyTable::release(const CallKey &key, const NodeId &to, TimePoint now)
{
    const auto [entry, isNew]
            = entries_.emplace(key, Entry{State::Released, Digest(), nullptr, {}, to});
    CORNELHEAD_CHECK(isNew);
    finish(key, entry->second, now);
}

bool KeyTable::isReleasedTo(const CallKey &key, const NodeId &to) const
{
    const auto found = entries_.find(key);
    return found != entries_.end() && found->second.state == State::Released
            && found->second.releasedTo == to;
}

void KeyTable::importKey(const FinishedKey &finished, TimePoint now)
{
    const State state = finished.isAnswered ? State::Answered : State::Unknown;
    const auto [entry, isNew]
            = entries_.emplace(finished.key, Entry{state, finished.request, nullptr, {}, {}});
    if (!isNew)
        return;
    finish(finished.key, entry->second, now);
    storeResponse(finished.key, entry->second, finished.answer);
}

std::vector<FinishedKey> KeyTable::finishedKeys(const NodeId &recipient) const
{
    std::vector<FinishedKey> keys;
    keys.reserve(finished_.size());
    for (const CallKey &key : finished_) {
        const Entry &entry = entries_.at(key);
        if (!isReleasedTo(key, recipient))
            keys.push_back({key, entry.request, entry.answer, entry.state == State::Answered});
    }
    return keys;
}

void KeyTable::dropOldestResponses()
{
    while (responseBytes_ > limits_.responseBytes && !withResponse_.empty()) {
        Entry &oldest = entries_.at(withResponse_.front());
        withResponse_.pop_front();
        responseBytes_ -= oldest.answer->bytes();
        oldest.answer = nullptr;
    }
}

void KeyTable::expire(TimePoint now)
{
    while (!finished_.empty()) {
        const auto oldest = entries_.find(finished_.front());
        CORNELHEAD_CHECK(oldest != entries_.end());
        if (oldest->second.finishedAt + limits_.retention > now)
            return;
        if (oldest->second.answer) {
            // Responses are stored in the order in which keys finish.
            CORNELHEAD_CHECK(withResponse_.front() == oldest->first);
            responseBytes_ -= oldest->second.answer->bytes();
            withResponse_.pop_front();
        }
        entries_.erase(oldest);
        finished_.pop_front();
    }
}

} // namespace cornelhead
