// Limits what the connections of an event loop hold in memory together, whatever their peers send.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace cornelhead {

class BufferBudget;

/// Whose bytes are given up first: those of calls.
enum class BufferUse { Call, Control };

/// The bytes that one connection or attempt holds, for as long as this object exists.  Must not
/// outlive its budget.
class HeldBytes
{
public:
    /// `onEvicted` runs at most once, when these bytes are to be given up.  It may run inside of a
    /// callback of a buffer, so it must not free a connection.
    HeldBytes(BufferBudget &budget, BufferUse use, std::function<void()> onEvicted);
    ~HeldBytes();
    HeldBytes(const HeldBytes &) = delete;
    HeldBytes &operator=(const HeldBytes &) = delete;

    void set(std::size_t bytes);
    std::size_t bytes() const { return bytes_; }

private:
    friend class BufferBudget;

    BufferBudget &budget_;
    const BufferUse use_;
    std::function<void()> onEvicted_;
    std::size_t index_ = 0;
    std::size_t bytes_ = 0;
    // The bytes are counted no longer, as they are about to be freed.
    bool isEvicted_ = false;
};

/// Counts the bytes of all holders and evicts the largest one when they exceed the limit.
///
/// Invariant: the counted bytes exceed the limit only inside of `HeldBytes::set`.
class BufferBudget
{
public:
    /// Bytes that were given up.
    struct Eviction
    {
        BufferUse use = BufferUse::Call;
        std::size_t bytes = 0;
    };

    BufferBudget() = default;
    BufferBudget(const BufferBudget &) = delete;
    BufferBudget &operator=(const BufferBudget &) = delete;

    void setLimit(std::size_t bytes) { limit_ = bytes; }
    std::size_t limit() const { return limit_; }
    /// Returns the bytes held now.
    std::size_t held() const { return held_; }
    std::uint64_t evictions() const { return evictions_; }
    /// Runs `observer` after each eviction.
    void onEviction(std::function<void(const Eviction &)> observer)
    {
        observer_ = std::move(observer);
    }

    static constexpr std::size_t defaultLimit = 256 * 1024 * 1024;

private:
    friend class HeldBytes;

    void add(HeldBytes &holder);
    void remove(const HeldBytes &holder);
    void evictLargest();

    std::size_t limit_ = defaultLimit;
    std::size_t held_ = 0;
    std::uint64_t evictions_ = 0;
    std::function<void(const Eviction &)> observer_;
    // Invariant: holders_[holder.index_] == &holder.
    std::vector<HeldBytes *> holders_;
};

} // namespace cornelhead
