// The table of idempotency keys at a node: stores the outcome of each call so that none runs twice.
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

/// Identifies a keyed call in the whole fleet by its customer and its idempotency key.
using CallKey = Id<struct CallKeyTag>;

CallKey makeCallKey(std::string_view customer, std::string_view idempotencyKey);

struct HeaderField
{
    std::string name;
    std::string value;
};

/// A response stored for replay to callers that send the same key again.
struct StoredResponse
{
    int status = 200;
    /// The reason phrase of the status line.
    std::string phrase;
    std::vector<HeaderField> headers;
    std::string body;

    /// Returns the approximate memory use.
    std::size_t bytes() const;
};

/// The call may run now; its key is marked as running.
struct StartRun
{ };

/// The call has run before and got this response.
struct ReplayResponse
{
    std::shared_ptr<const StoredResponse> answer;
};

using KeyDecision = std::variant<StartRun, ReplayResponse, Refusal>;

/// A finished key as handed over to the node that becomes its home.
struct FinishedKey
{
    CallKey key;
    Digest request;
    /// Null if the outcome is unknown or the response was dropped.
    std::shared_ptr<const StoredResponse> answer;
    /// False when the outcome is unknown.
    bool isAnswered = false;
};

struct KeyTableLimits
{
    /// How long a finished key is kept.
    Milliseconds retention = Milliseconds(300'000);
    std::size_t keys = 100'000;
    /// Total of all stored responses.  The oldest responses are dropped first; their keys stay.
    std::size_t responseBytes = 16 * 1024 * 1024;
};

/// The at-most-once state machine of each key: absent, running, answered, unknown or released.
///
/// Invariant: a key leaves `running` only through one of the three `finish` functions, and a key
/// whose call may have run is not removed before its retention ends.
class KeyTable
{
public:
    explicit KeyTable(KeyTableLimits limits) : limits_(limits) { }

    /// Decides whether a call may run.  `request` is the digest of its method, path and body.
    KeyDecision begin(const CallKey &key, const Digest &request);
    /// Returns the decision for a key that has an entry; changes nothing.
    std::optional<KeyDecision> lookup(const CallKey &key) const;

    /// The call certainly did not run; removes the key.
    void finishNotRun(const CallKey &key);
    /// The call may have run.
    void finishUnknown(const CallKey &key, TimePoint now);
    void finishAnswered(const CallKey &key, std::shared_ptr<const StoredResponse> answer,
                        TimePoint now);

    /// Releases an absent key to the node `to`; this node no longer runs calls with it.
    void release(const CallKey &key, const NodeId &to, TimePoint now);
    /// Returns whether the key was released to `to` and to no other node.
    bool isReleasedTo(const CallKey &key, const NodeId &to) const;
    /// Adds a key that another node hands over; an existing entry stays.
    void importKey(const FinishedKey &finished, TimePoint now);
    /// Returns all finished keys, except those released to `recipient`, which has its own entries.
    std::vector<FinishedKey> finishedKeys(const NodeId &recipient) const;
    std::size_t runningKeys() const { return entries_.size() - finished_.size(); }

    /// Removes keys whose retention has ended.
    void expire(TimePoint now);
    std::size_t size() const { return entries_.size(); }
    std::size_t responseBytes() const { return responseBytes_; }
    const KeyTableLimits &limits() const { return limits_; }

private:
    enum class State { Running, Answered, Unknown, Released };

    struct Entry
    {
        State state = State::Running;
        Digest request;
        // Null unless answered, and after the response was dropped.
        std::shared_ptr<const StoredResponse> answer;
        TimePoint finishedAt{};
        // The node that may run calls with a released key.
        NodeId releasedTo;
    };

    Entry &runningEntry(const CallKey &key);
    void finish(const CallKey &key, Entry &entry, TimePoint now);
    void storeResponse(const CallKey &key, Entry &entry,
                       std::shared_ptr<const StoredResponse> answer);
    void dropOldestResponses();
    static KeyDecision decisionFor(const Entry &entry);

    const KeyTableLimits limits_;
    std::unordered_map<CallKey, Entry> entries_;
    // Keys that are not running, oldest first.
    std::list<CallKey> finished_;
    // Keys with a stored response, oldest first.
    std::list<CallKey> withResponse_;
    // Invariant: the total size of all stored responses.
    std::size_t responseBytes_ = 0;
};

} // namespace cornelhead
