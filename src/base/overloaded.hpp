// One visitor made of several lambdas, for std::visit.
#pragma once

namespace gatetiller {

template <typename... Ts>
struct Overloaded : Ts... {
    using Ts::operator()...;
};
// For compilers that do not deduce the arguments of aggregates.
template <typename... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

}  // namespace gatetiller
