// Tracks how much of a backend server's time each customer has had lately, so that the customers
// share it.
//
// Load pattern: one customer sends many times its usual calls for seconds, beside many customers
// that send as always.  In order of arrival each customer would be served in proportion to what it
// sends, so all would lose as much as the one that causes the overload.  Customers differ in size:
// with equal shares a large one would lose most of its calls whenever a server is full, though it
// sends no more than usual.  So each customer's time is compared with its usual demand, which is
// learnt slowly enough that a burst hardly raises it.
#pragma once

#include <map>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/ids.h"

namespace cornelhead {

namespace detail {

/// A sum whose terms lose half of their value in each half-life.
class DecayingSum
{
public:
    explicit DecayingSum(Microseconds halfLife) : halfLife_(halfLife) { }

    void add(double amount, TimePoint now);
    double valueAt(TimePoint now) const;

private:
    Microseconds halfLife_;
    double value_ = 0.0;
    TimePoint updatedAt_{};
};

} // namespace detail

/// The shares of one server.  Does no I/O and reads no clock.  Not thread-safe.
///
/// Calls without a customer have no share of their own; they are placed at the mean level.
class CustomerShares
{
public:
    /// Half of the time that a customer has had is forgotten after this time.
    static constexpr Microseconds serviceHalfLife{2'000'000};
    /// The same for what it usually asks for.
    static constexpr Microseconds usualHalfLife{30'000'000};

    /// Records a call that a customer asks for, with its expected service time.
    void recordDemand(const CustomerId &customer, Microseconds work, TimePoint now);
    /// Records a call that the server starts to run.
    void recordStart(const CustomerId &customer, Microseconds work, TimePoint now);

    /// Returns whether no customer is known, so that all calls are at the same level.
    bool isEmpty() const { return customers_.empty(); }
    /// Returns the service time that the customer has had lately, in microseconds, divided by its
    /// weight.  Customers of lower levels start first.
    double level(const CustomerId &customer, TimePoint now) const;
    /// Returns the mean level of the customers whose calls started lately.
    double meanLevel(TimePoint now) const { return meanLevel_.valueAt(now); }
    /// Returns the customer's weight: 1 for a usual demand like the mean of all customers, at least
    /// 0.2.
    double weight(const CustomerId &customer, TimePoint now) const;

private:
    struct Customer
    {
        detail::DecayingSum service{serviceHalfLife};
        detail::DecayingSum usual{usualHalfLife};
    };

    // Customers that have asked for almost nothing for long have no entry.
    std::map<CustomerId, Customer> customers_;
    // The sum of the usual demands.
    detail::DecayingSum usual_{usualHalfLife};
    detail::DecayingSum meanLevel_{serviceHalfLife};
    TimePoint sweptAt_{};

    void sweep(TimePoint now);
};

} // namespace cornelhead
