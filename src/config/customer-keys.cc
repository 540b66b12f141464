// Validates and indexes customers and their keys.
#include "cornelhead/config/customer-keys.h"

#include <cmath>
#include <utility>

namespace cornelhead {
namespace detail {

namespace {

tl::unexpected<Error> invalidCustomer(const HostCustomer &customer, const std::string &problem,
                                      const std::string &remedy)
{
    return fail(ErrorKind::InvalidDeclaration, "customer " + customer.id.value() + " " + problem,
                remedy);
}

bool isAmount(double value)
{
    return std::isfinite(value) && value >= 0.0;
}

} // namespace
} // namespace detail

Result<CustomerKeys> CustomerKeys::build(std::vector<HostCustomer> customers)
{
    CustomerKeys keys;
    keys.customers_ = std::move(customers);
    const Result<void> indexed = keys.index();
    if (!indexed)
        return tl::unexpected(indexed.error());
    return keys;
}

Result<void> CustomerKeys::index()
{
    for (const HostCustomer &customer : customers_) {
        if (customer.id.empty())
            return detail::invalidCustomer(customer, "has no name", "give each customer a name");
        if (!byId_.emplace(customer.id, &customer).second)
            return detail::invalidCustomer(customer, "is declared twice", "remove one of the two");
        if (!detail::isAmount(customer.quota.ratePerSecond)
            || !detail::isAmount(customer.quota.burst))
            return detail::invalidCustomer(customer, "has an invalid quota",
                                           "set rate and burst to numbers of at least 0");
        hasQuotas_ = hasQuotas_ || customer.quota.isLimited();
        for (const CustomerKey &key : customer.keys) {
            if (key.empty())
                return detail::invalidCustomer(customer, "has an empty key", "remove the key");
            const auto [known, isNew] = byKey_.emplace(key.value(), &customer);
            if (!isNew) {
                return detail::invalidCustomer(customer,
                                               "has a key that is declared twice, also for "
                                                       + known->second->id.value(),
                                               "give each key to one customer");
            }
        }
    }
    return {};
}

const HostCustomer *CustomerKeys::find(std::string_view key) const
{
    const auto found = byKey_.find(key);
    return found == byKey_.end() ? nullptr : found->second;
}

const HostCustomer *CustomerKeys::findCustomer(const CustomerId &id) const
{
    const auto found = byId_.find(id);
    return found == byId_.end() ? nullptr : found->second;
}

} // namespace cornelhead
