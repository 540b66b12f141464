// Combines several lambdas into one visitor of a std::variant.
#pragma once

namespace cornelhead::detail {

///     std::visit(Overloaded{[](int) { }, [](double) { }}, value);
template <typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace cornelhead::detail
