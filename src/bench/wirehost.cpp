// The adapter: the decisions on the simulator's wire, on standard input and output.
#include <iostream>

#include "bench/wire.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    return gatetiller::wire::serve(std::cin, std::cout, std::cerr);
}
