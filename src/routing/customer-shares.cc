// Implements the shares of customers.
#include "cornelhead/routing/customer-shares.h"

#include <cmath>

namespace cornelhead {
namespace detail {

// The weight of the latest start in the mean level.
constexpr double meanLevelWeight = 0.1;
// An entry whose usual demand has decayed below this, in microseconds, is removed.
constexpr double forgottenDemand = 1000.0;
// The rest of a weight is the mean customer's, as small ones send too few calls to learn it well.
constexpr double ownDemandShare = 0.8;

void DecayingSum::add(double amount, TimePoint now)
{
    value_ = valueAt(now) + amount;
    updatedAt_ = now;
}

double DecayingSum::valueAt(TimePoint now) const
{
    if (value_ == 0.0)
        return 0.0;
    const auto age = std::chrono::duration<double>(now - updatedAt_);
    return value_ * std::exp2(-age / std::chrono::duration<double>(halfLife_));
}

} // namespace detail

void CustomerShares::recordDemand(const CustomerId &customer, Microseconds work, TimePoint now)
{
    if (customer.empty())
        return;
    const auto demand = static_cast<double>(work.count());
    customers_[customer].usual.add(demand, now);
    usual_.add(demand, now);
    sweep(now);
}

void CustomerShares::recordStart(const CustomerId &customer, Microseconds work, TimePoint now)
{
    if (customer.empty())
        return;
    meanLevel_.add(detail::meanLevelWeight * (level(customer, now) - meanLevel_.valueAt(now)), now);
    customers_[customer].service.add(static_cast<double>(work.count()), now);
}

double CustomerShares::level(const CustomerId &customer, TimePoint now) const
{
    const auto found = customers_.find(customer);
    if (found == customers_.end())
        return 0.0;
    return found->second.service.valueAt(now) / weight(customer, now);
}

double CustomerShares::weight(const CustomerId &customer, TimePoint now) const
{
    const double sum = usual_.valueAt(now);
    const auto found = customers_.find(customer);
    if (found == customers_.end() || sum <= 0.0)
        return 1.0;
    const double relative
            = found->second.usual.valueAt(now) * static_cast<double>(customers_.size()) / sum;
    return detail::ownDemandShare * relative + (1.0 - detail::ownDemandShare);
}

void CustomerShares::sweep(TimePoint now)
{
    if (now - sweptAt_ < usualHalfLife)
        return;
    sweptAt_ = now;
    std::erase_if(customers_, [&](const auto &entry) {
        return entry.second.usual.valueAt(now) < detail::forgottenDemand;
    });
}

} // namespace cornelhead
