// Implements the identification of customers.
#include "cornelhead/sidecar/customer-identity.h"

#include "cornelhead/proxy/message-head.h"

namespace cornelhead {
namespace detail {

namespace {

// Returns the key of an authorization header; empty if the header has another form.
std::string_view keyOf(const CallCredentials &call)
{
    const std::string_view text = call.authorization;
    const std::size_t schemeEnd = call.scheme.size();
    if (text.size() <= schemeEnd || text[schemeEnd] != ' '
        || !isSameHeader(text.substr(0, schemeEnd), call.scheme))
        return {};
    const std::size_t keyBegin = text.find_first_not_of(' ', schemeEnd);
    return keyBegin == std::string_view::npos ? std::string_view() : text.substr(keyBegin);
}

} // namespace
} // namespace detail

tl::expected<const HostCustomer *, IdentityFault>
identifyCustomer(const RouteTable &table, const HostRoute &route, const CallCredentials &call)
{
    const CustomerKeys *customers = table.customers();
    if (!customers)
        return nullptr;
    const HostCustomer *customer = customers->find(detail::keyOf(call));
    if (customer || route.isPublic)
        return customer;
    if (!call.authorization.empty())
        return tl::make_unexpected(IdentityFault::UnknownKey);
    if (call.isNested)
        return nullptr;
    return tl::make_unexpected(call.hasNestedId ? IdentityFault::UnknownParent
                                                : IdentityFault::UnknownKey);
}

} // namespace cornelhead
