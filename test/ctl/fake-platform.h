// An in-memory platform that can lose requests and responses and run concurrent operations.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "cornelhead/ctl/platform-operations.h"

namespace cornelhead {

/// The simulated outcome of one write.
enum class WriteOutcome {
    Normal,
    ResponseLost, ///< The write is processed, but its outcome is unknown to the caller.
    RequestLost, ///< The write has no effect, but its outcome is unknown to the caller.
    Refused, ///< The write has no effect and fails with `Unavailable`.
};

class FakePlatform
{
public:
    PlatformOperations operations()
    {
        return {[this](const std::string &key) { return get(key); },
                [this](const std::string &prefix) { return list(prefix); },
                [this](const std::string &key, const std::string &value,
                       ExpectedRevision expected) { return put(key, value, expected); },
                [this](const std::string &key, ExpectedRevision expected) {
                    return remove(key, expected);
                }};
    }

    /// Chooses the outcome of each write.
    std::function<WriteOutcome(const std::string &key)> writeOutcome;
    /// Runs before each operation.
    std::function<void(const std::string &operation, const std::string &key)> beforeOperation;
    bool isUnavailable = false;
    std::map<std::string, KeyValue> entries;
    std::size_t bytesPut = 0;

private:
    static constexpr std::size_t maxValueBytes = 1024 * 1024;

    using Found = std::optional<KeyValue>;

    Result<Found> get(const std::string &key)
    {
        runHook("get", key);
        if (isUnavailable)
            return unavailableError();
        const auto found = entries.find(key);
        return found == entries.end() ? Found() : Found(found->second);
    }

    Result<Listing> list(const std::string &prefix)
    {
        runHook("list", prefix);
        if (isUnavailable)
            return unavailableError();
        Listing listing;
        for (auto entry = entries.lower_bound(prefix);
             entry != entries.end() && entry->first.starts_with(prefix); ++entry)
            listing.entries.push_back(entry->second);
        listing.storeRevision = revision_;
        return listing;
    }

    Result<ModRevision> put(const std::string &key, const std::string &value,
                            ExpectedRevision expected)
    {
        runHook("put", key);
        const WriteOutcome outcome = writeOutcome ? writeOutcome(key) : WriteOutcome::Normal;
        if (isUnavailable || outcome == WriteOutcome::Refused)
            return unavailableError();
        if (value.size() > maxValueBytes)
            return fail(ErrorKind::TooLarge, "the value is too large", "split it");
        if (outcome == WriteOutcome::RequestLost)
            return unknownOutcomeError();
        const auto found = entries.find(key);
        const ModRevision currentRevision
                = found == entries.end() ? ModRevision() : found->second.modRevision;
        const bool isMatch = currentRevision == expected.modRevision;
        if (isMatch) {
            revision_ = revision_.next();
            entries[key] = {key, value, revision_};
            bytesPut += value.size();
        }
        if (outcome == WriteOutcome::ResponseLost)
            return unknownOutcomeError();
        if (!isMatch)
            return fail(ErrorKind::Conflict, "the key has another revision", "read it again");
        return revision_;
    }

    Result<void> remove(const std::string &key, ExpectedRevision expected)
    {
        runHook("remove", key);
        const auto found = entries.find(key);
        if (found == entries.end())
            return fail(ErrorKind::NotFound, "no such key", "");
        if (found->second.modRevision != expected.modRevision)
            return fail(ErrorKind::Conflict, "the key has another revision", "read it again");
        entries.erase(found);
        revision_ = revision_.next();
        return {};
    }

    // Copies the hook, which may replace itself; it may call operations after that.
    void runHook(const std::string &operation, const std::string &key)
    {
        const auto hook = beforeOperation;
        if (hook)
            hook(operation, key);
    }

    static tl::unexpected<Error> unavailableError()
    {
        return fail(ErrorKind::Unavailable, "the platform is unavailable", "wait");
    }

    static tl::unexpected<Error> unknownOutcomeError()
    {
        return fail(ErrorKind::Unknown, "the response was lost", "read");
    }

    ModRevision revision_;
};

} // namespace cornelhead
