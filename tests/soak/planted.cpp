// Which faults a program of the planted build has, by its environment.
#include "base/planted.hpp"

#include <cstdlib>

#include "base/text.hpp"

namespace gatetiller {

bool planted(std::string_view name) {
    static const char* const named = std::getenv("GATETILLER_PLANTED");
    if (!named)
        return false;
    for (const auto one : split(named, ','))
        if (one == name)
            return true;
    return false;
}

}  // namespace gatetiller
