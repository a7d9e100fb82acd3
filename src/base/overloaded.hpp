// One visitor made of several lambdas, for std::visit.
#pragma once

namespace gatetiller {

template <typename... Ts>
struct Overloaded : Ts... {
    using Ts::operator()...;
};

}  // namespace gatetiller
