// Faults planted on purpose, by which the soak shows that it finds what it is there to find. They exist only
// in a build with GATETILLER_PLANTED_FAULTS, which no release is; elsewhere every question is answered `no`
// by the compiler.
#pragma once

#include <string_view>

namespace gatetiller {

#ifdef GATETILLER_PLANTED_FAULTS
bool planted(std::string_view name);  // whether GATETILLER_PLANTED in the environment names it
#else
constexpr bool planted(std::string_view) {
    return false;
}
#endif

}  // namespace gatetiller
