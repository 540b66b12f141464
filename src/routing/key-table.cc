// Implements the at-most-once state machine.
#include "cornelhead/routing/key-table.h"

#include "cornelhead/base/check.h"

namespace cornelhead {

CallKey makeCallKey(std::string_view customer, std::string_view idempotencyKey)
{
    std::string text(customer);
    // Header values hold no line feed, so no two pairs give the same text.
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

KeyDecision KeyTable::verdictOf(const Entry &entry)
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
    return verdictOf(found->second);
}

std::optional<KeyDecision> KeyTable::lookup(const CallKey &key) const
{
    const auto found = entries_.find(key);
    if (found == entries_.end())
        return std::nullopt;
    return verdictOf(found->second);
}

KeyTable::Entry &KeyTable::running(const CallKey &key)
{
    const auto found = entries_.find(key);
    CORNELHEAD_CHECK(found != entries_.end() && found->second.state == State::Running);
    return found->second;
}

void KeyTable::finishNotRun(const CallKey &key)
{
    running(key);
    entries_.erase(key);
}

void KeyTable::finish(const CallKey &key, Entry &entry, TimePoint now)
{
    entry.finishedAt = now;
    finished_.push_back(key);
}

void KeyTable::finishUnknown(const CallKey &key, TimePoint now)
{
    Entry &entry = running(key);
    entry.state = State::Unknown;
    finish(key, entry, now);
}

void KeyTable::finishAnswered(const CallKey &key, std::shared_ptr<const StoredResponse> answer,
                              TimePoint now)
{
    Entry &entry = running(key);
    entry.state = State::Answered;
    finish(key, entry, now);
    keepAnswer(key, entry, std::move(answer));
}

void KeyTable::keepAnswer(const CallKey &key, Entry &entry,
                          std::shared_ptr<const StoredResponse> answer)
{
    entry.answer = std::move(answer);
    if (!entry.answer)
        return;
    answerBytes_ += entry.answer->bytes();
    answered_.push_back(key);
    dropAnswers();
}

void KeyTable::release(const CallKey &key, const NodeId &to, TimePoint now)
{
    const auto [place, isNew]
            = entries_.emplace(key, Entry{State::Released, Digest(), nullptr, {}, to});
    CORNELHEAD_CHECK(isNew);
    finish(key, place->second, now);
}

bool KeyTable::isReleasedTo(const CallKey &key, const NodeId &to) const
{
    const auto found = entries_.find(key);
    return found != entries_.end() && found->second.state == State::Released
            && found->second.releasedTo == to;
}

void KeyTable::importKey(const FinishedKey &known, TimePoint now)
{
    const State state = known.isAnswered ? State::Answered : State::Unknown;
    const auto [place, isNew]
            = entries_.emplace(known.key, Entry{state, known.request, nullptr, {}, {}});
    if (!isNew)
        return;
    finish(known.key, place->second, now);
    keepAnswer(known.key, place->second, known.answer);
}

std::vector<FinishedKey> KeyTable::finishedKeys(const NodeId &reader) const
{
    std::vector<FinishedKey> known;
    known.reserve(finished_.size());
    for (const CallKey &key : finished_) {
        const Entry &entry = entries_.at(key);
        if (!isReleasedTo(key, reader))
            known.push_back({key, entry.request, entry.answer, entry.state == State::Answered});
    }
    return known;
}

void KeyTable::dropAnswers()
{
    while (answerBytes_ > limits_.answerBytes && !answered_.empty()) {
        Entry &oldest = entries_.at(answered_.front());
        answered_.pop_front();
        answerBytes_ -= oldest.answer->bytes();
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
            // Answers are kept in the order in which keys finished.
            CORNELHEAD_CHECK(answered_.front() == oldest->first);
            answerBytes_ -= oldest->second.answer->bytes();
            answered_.pop_front();
        }
        entries_.erase(oldest);
        finished_.pop_front();
    }
}

} // namespace cornelhead
