// Generates valid declarations and corrupted bytes.
#pragma once

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "cornelhead/base/random.h"
#include "cornelhead/config/declarations.h"

namespace cornelhead {

inline std::string numberedName(const char *prefix, int number)
{
    return prefix + std::to_string(number);
}

/// Generates a set of numbers below `bound`, from which records are named.
inline std::set<int> generateNumbers(int bound)
{
    const auto numbers = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, bound));
    return {numbers.begin(), numbers.end()};
}

inline Route generateRoute(const Service &service, int number)
{
    const std::string name = numberedName("r", number);
    return Route{RouteId(service.id.value() + "/" + name),
                 service.id,
                 "/" + name,
                 *rc::gen::element(CallPriority::High, CallPriority::Normal, CallPriority::Low),
                 *rc::gen::element(Idempotency::Idempotent, Idempotency::Keyed),
                 Milliseconds(*rc::gen::inRange(10, 300'000))};
}

/// Generates valid declarations.  There are only a few names, so that two declarations overlap.
inline Declarations generateDeclarations()
{
    Declarations all;
    for (const int number : generateNumbers(5)) {
        const Service service{ServiceId(numberedName("s", number)),
                              VersionId(numberedName("v", *rc::gen::inRange(0, 3)))};
        all.services.push_back(service);
        for (const int route : generateNumbers(4))
            all.routes.push_back(generateRoute(service, route));
    }
    for (const int number : generateNumbers(6)) {
        Plan plan{PlanId(numberedName("p", number)), {}, {}, 1, 1, 1};
        plan.ratePerSecond = *rc::gen::inRange<std::uint32_t>(1, 1'000'001);
        plan.burst = *rc::gen::inRange<std::uint32_t>(1, 4);
        for (const Service &service : all.services) {
            if (*rc::gen::arbitrary<bool>())
                plan.services.push_back(service.id);
        }
        for (const Route &route : all.routes) {
            if (*rc::gen::arbitrary<bool>())
                plan.routes.push_back(route.id);
        }
        all.plans.push_back(plan);
    }
    if (all.plans.empty())
        return all;
    for (const int number : generateNumbers(50))
        all.customers.push_back(
                {CustomerId(numberedName("c", number)), (*rc::gen::elementOf(all.plans)).id});
    return all;
}

template <typename T>
void shuffle(std::vector<T> &items, Random &random)
{
    std::shuffle(items.begin(), items.end(), random.engine());
}

/// Corrupts up to four places: changes, inserts, erases or duplicates bytes, or truncates the rest.
inline std::string corrupt(std::string bytes, Random &random)
{
    static constexpr char special[] = "\0\x04\n\t \"'{}[]:,-&*!|>#%@`?~\xff\xc3\x80";
    for (std::uint64_t i = 0; i <= random.below(4) && !bytes.empty(); ++i) {
        const std::size_t at = random.below(bytes.size());
        const std::size_t length = 1 + random.below(std::min<std::size_t>(40, bytes.size() - at));
        switch (random.below(5)) {
        case 0:
            bytes[at] = static_cast<char>(random.below(256));
            break;
        case 1:
            bytes.insert(at, 1 + random.below(3), special[random.below(sizeof special - 1)]);
            break;
        case 2:
            bytes.erase(at, length);
            break;
        case 3:
            bytes.insert(random.below(bytes.size()), bytes.substr(at, length));
            break;
        default:
            bytes.resize(at);
        }
    }
    return bytes;
}

} // namespace cornelhead
