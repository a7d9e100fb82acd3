// Combines several lambdas into one visitor for std::visit.
#pragma once

namespace gatetiller {

template <typename... Ts>
struct Overloaded : Ts... {
    using Ts::operator()...;
};
// Deduction guide for compilers without class template argument deduction for aggregates.
template <typename... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

}  // namespace gatetiller
