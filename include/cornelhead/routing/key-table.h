// Remembers what became of calls with an idempotency key, so that none is run twice.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/routing/refusal.h"

namespace cornelhead {

/// Names a call over the whole fleet: its customer and its idempotency key.
using CallKey = Id<struct CallKeyTag>;

CallKey makeCallKey(std::string_view customer, std::string_view idempotencyKey);

struct HeaderField
{
    std::string name;
    std::string value;
};

/// An answer kept for callers that send the same key again.
struct StoredResponse
{
    int status = 200;
    std::string phrase;
    std::vector<HeaderField> headers;
    std::string body;

    std::size_t bytes() const;
};

/// The call may be run now; the key is marked as running.
struct StartRun
{ };

/// The call was run before, and this is its answer.
struct ReplayResponse
{
    std::shared_ptr<const StoredResponse> answer;
};

using KeyDecision = std::variant<StartRun, ReplayResponse, Refusal>;

/// What one node remembers of a finished key, for the node that becomes its home.
struct FinishedKey
{
    CallKey key;
    Digest request;
    /// Null when the outcome is unknown or the answer was dropped.
    std::shared_ptr<const StoredResponse> answer;
    /// False when the outcome is unknown.
    bool isAnswered = false;
};

struct KeyTableLimits
{
    Milliseconds retention = Milliseconds(300'000);
    std::size_t keys = 100'000;
    /// Of all remembered answers; the oldest are dropped first, their keys stay.
    std::size_t answerBytes = 16 * 1024 * 1024;
};

/// The at-most-once state machine of each key: unseen, running, answered, unknown or released.
///
/// Invariant: a key leaves `running` only by one of the three `finish` functions, and a key that
/// may have been run is not forgotten before its retention ends.
class KeyTable
{
public:
    explicit KeyTable(KeyTableLimits limits) : limits_(limits) { }

    /// Decides about a call.  `request` is the digest of its method, path and body.
    KeyDecision begin(const CallKey &key, const Digest &request);
    /// Tells what is remembered without starting anything; nothing for an unseen key.
    std::optional<KeyDecision> lookup(const CallKey &key) const;

    /// The call was certainly not run; the key is unseen again.
    void finishNotRun(const CallKey &key);
    void finishUnknown(const CallKey &key, TimePoint now);
    void finishAnswered(const CallKey &key, std::shared_ptr<const StoredResponse> answer,
                        TimePoint now);

    /// Gives up an unseen key to the node `to`; this node does not run it any more.
    void release(const CallKey &key, const NodeId &to, TimePoint now);
    /// Tells whether the key was given up to `to` and to no other.
    bool isReleasedTo(const CallKey &key, const NodeId &to) const;
    /// Takes over what another node remembers; what is known here stays.
    void importKey(const FinishedKey &known, TimePoint now);
    /// Returns all finished keys but those given up to `reader`, which knows what it did itself.
    std::vector<FinishedKey> finishedKeys(const NodeId &reader) const;
    std::size_t runningKeys() const { return entries_.size() - finished_.size(); }

    /// Forgets keys whose retention has ended.
    void expire(TimePoint now);
    std::size_t size() const { return entries_.size(); }
    std::size_t answerBytes() const { return answerBytes_; }
    const KeyTableLimits &limits() const { return limits_; }

private:
    enum class State { Running, Answered, Unknown, Released };

    struct Entry
    {
        State state = State::Running;
        Digest request;
        // Null for an answered key whose answer was dropped.
        std::shared_ptr<const StoredResponse> answer;
        TimePoint finishedAt{};
        // Of a released key: who may run it now.
        NodeId releasedTo;
    };

    Entry &running(const CallKey &key);
    void finish(const CallKey &key, Entry &entry, TimePoint now);
    void keepAnswer(const CallKey &key, Entry &entry, std::shared_ptr<const StoredResponse> answer);
    void dropAnswers();
    static KeyDecision verdictOf(const Entry &entry);

    const KeyTableLimits limits_;
    std::unordered_map<CallKey, Entry> entries_;
    // Finished keys, oldest first.
    std::list<CallKey> finished_;
    // Answered keys whose answer is kept, oldest first.
    std::list<CallKey> answered_;
    // Invariant: the sum of the bytes of all kept answers.
    std::size_t answerBytes_ = 0;
};

} // namespace cornelhead
