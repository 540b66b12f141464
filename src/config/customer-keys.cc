// Validates and indexes customers and their keys.
#include "cornelhead/config/customer-keys.h"

#include <algorithm>
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

// The name travels in headers, in which "-" stands for no name.
bool isName(const std::string &name)
{
    constexpr std::size_t maxNameBytes = 1024;
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteByte = 0x7f;
    return !name.empty() && name.size() <= maxNameBytes && name != "-"
            && std::all_of(name.begin(), name.end(),
                           [](unsigned char c) { return c >= firstPrintable && c != deleteByte; });
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
        if (!detail::isName(customer.id.value()))
            return detail::invalidCustomer(customer, "has a name that no header can carry",
                                           "give it a printable name of 1 to 1024 bytes");
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
            if (!isNew && known->second != &customer) {
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
