// The customers of a route table, which callers name by keys.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cornelhead/base/error.h"
#include "cornelhead/base/ids.h"

namespace cornelhead {

/// A secret that names the customer of a call.  Never written to logs, metrics, errors or other
/// hosts.
using CustomerKey = Id<struct CustomerKeyTag>;

/// How many calls of a customer all nodes together may forward.
struct CallQuota
{
    /// Calls per second on average; 0 for no limit.
    double ratePerSecond = 0.0;
    /// Calls that may arrive at once above the rate.
    double burst = 0.0;

    bool isLimited() const { return ratePerSecond > 0.0; }

    friend bool operator==(const CallQuota &, const CallQuota &) = default;
};

/// A customer as the operators declare it for sidecars.
struct HostCustomer
{
    CustomerId id;
    std::vector<CustomerKey> keys;
    /// 0 is the most urgent; nothing if the routes alone decide.
    std::optional<std::uint32_t> priority;
    CallQuota quota;
};

/// An immutable, checked set of customers, indexed by their keys.
class CustomerKeys
{
public:
    /// Fails with `InvalidDeclaration` for a name that no header can carry, a name that is declared
    /// twice, a key of two customers, an empty key, and a quota that is not a finite number of at
    /// least 0.  The errors name customers, never keys.
    static Result<CustomerKeys> build(std::vector<HostCustomer> customers);

    CustomerKeys(CustomerKeys &&) = default;
    CustomerKeys &operator=(CustomerKeys &&) = default;
    CustomerKeys(const CustomerKeys &) = delete;
    CustomerKeys &operator=(const CustomerKeys &) = delete;

    /// Returns the customer that holds `key`, or null.
    const HostCustomer *find(std::string_view key) const;
    /// Returns null for a customer that is not declared.
    const HostCustomer *findCustomer(const CustomerId &id) const;
    const std::vector<HostCustomer> &customers() const { return customers_; }
    /// Returns whether the quota of any customer is limited.
    bool hasQuotas() const { return hasQuotas_; }

private:
    CustomerKeys() = default;
    Result<void> index();

    // Not modified after `build`; the maps point into it.
    std::vector<HostCustomer> customers_;
    std::unordered_map<std::string_view, const HostCustomer *> byKey_;
    std::unordered_map<CustomerId, const HostCustomer *> byId_;
    bool hasQuotas_ = false;
};

} // namespace cornelhead
