// Implements the budget of buffered bytes.
#include "cornelhead/net/buffer-budget.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cornelhead {

HeldBytes::HeldBytes(BufferBudget &budget, BufferUse use, std::function<void()> onEvicted)
    : budget_(budget), use_(use), onEvicted_(std::move(onEvicted))
{
    budget_.add(*this);
}

HeldBytes::~HeldBytes()
{
    budget_.remove(*this);
}

void HeldBytes::set(std::size_t bytes)
{
    const std::size_t before = std::exchange(bytes_, bytes);
    if (isEvicted_)
        return;
    budget_.held_ += bytes - before;
    while (budget_.held_ > budget_.limit_)
        budget_.evictLargest();
}

void BufferBudget::add(HeldBytes &holder)
{
    holder.index_ = holders_.size();
    holders_.push_back(&holder);
}

void BufferBudget::remove(const HeldBytes &holder)
{
    if (!holder.isEvicted_)
        held_ -= holder.bytes_;
    holders_[holder.index_] = holders_.back();
    holders_[holder.index_]->index_ = holder.index_;
    holders_.pop_back();
}

void BufferBudget::evictLargest()
{
    const auto rank = [](const HeldBytes *holder) {
        const bool isCall = holder->use_ == BufferUse::Call && holder->bytes_ > 0;
        return std::tuple(!holder->isEvicted_, isCall, holder->bytes_);
    };
    const auto largest = std::max_element(
            holders_.begin(), holders_.end(),
            [&rank](const auto *left, const auto *right) { return rank(left) < rank(right); });
    HeldBytes &holder = **largest;
    holder.isEvicted_ = true;
    held_ -= holder.bytes_;
    ++evictions_;
    holder.onEvicted_();
    if (observer_)
        observer_(Eviction{holder.use_, holder.bytes_});
}

} // namespace cornelhead
