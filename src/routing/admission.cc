// Implements the admission of calls.
#include "cornelhead/routing/admission.h"

namespace cornelhead {
namespace detail {
namespace {

int hexDigit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

// Decodes the escape at `offset`; returns -1 if it is invalid.
int decodeEscape(std::string_view text, std::size_t offset)
{
    if (offset + 2 >= text.size())
        return -1;
    const int high = hexDigit(text[offset + 1]);
    const int low = hexDigit(text[offset + 2]);
    return high < 0 || low < 0 ? -1 : high * 16 + low;
}

bool isControl(int byte)
{
    return byte < 0x20 || byte == 0x7f;
}

bool hasDotSegment(std::string_view path)
{
    std::size_t begin = 0;
    while (begin <= path.size()) {
        const std::size_t end = std::min(path.find('/', begin), path.size());
        const std::string_view segment = path.substr(begin, end - begin);
        if (segment == "." || segment == "..")
            return true;
        begin = end + 1;
    }
    return false;
}

} // namespace
} // namespace detail

SplitPath splitPath(std::string_view path)
{
    if (path.empty() || path.front() != '/')
        return {};
    const std::size_t slash = path.find('/', 1);
    if (slash == std::string_view::npos)
        return SplitPath{path.substr(1), "/"};
    return SplitPath{path.substr(1, slash - 1), path.substr(slash)};
}

tl::expected<std::string, RefusalReason> decodePath(std::string_view path)
{
    std::string decoded;
    decoded.reserve(path.size());
    for (std::size_t i = 0; i < path.size(); ++i) {
        const bool isEscape = path[i] == '%';
        const int byte
                = isEscape ? detail::decodeEscape(path, i) : static_cast<unsigned char>(path[i]);
        if (byte < 0 || detail::isControl(byte) || (isEscape && byte == '/'))
            return tl::make_unexpected(RefusalReason::BadRequest);
        decoded += static_cast<char>(byte);
        i += isEscape ? 2 : 0;
    }
    if (detail::hasDotSegment(decoded))
        return tl::make_unexpected(RefusalReason::BadRequest);
    return decoded;
}

tl::expected<Admission, RefusalReason> admit(const Snapshot &config, const CallHead &head)
{
    const auto decoded = decodePath(head.path);
    if (!decoded)
        return tl::make_unexpected(decoded.error());
    Admission admission;
    admission.customer = config.findCustomer(CustomerId(std::string(head.customer)));
    if (!admission.customer)
        return tl::make_unexpected(RefusalReason::UnknownCustomer);
    const SplitPath path = splitPath(*decoded);
    admission.service = config.findService(ServiceId(std::string(path.service)));
    if (!admission.service)
        return tl::make_unexpected(RefusalReason::UnknownService);
    admission.route = config.matchRoute(admission.service->id, path.rest);
    if (!admission.route)
        return tl::make_unexpected(RefusalReason::NoRoute);
    admission.plan = config.findPlan(admission.customer->plan);
    if (!admission.plan || !config.allows(*admission.plan, *admission.route))
        return tl::make_unexpected(RefusalReason::PlanLacksService);
    if (admission.route->idempotency == Idempotency::Keyed && head.idempotencyKey.empty())
        return tl::make_unexpected(RefusalReason::KeyMissing);
    return admission;
}

} // namespace cornelhead
