// The value below which a share `p` of all lies; 0 of none.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace gatetiller::lab {

inline double percentile(std::vector<double> values, double p) {
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1,
                           static_cast<std::size_t>(p * static_cast<double>(values.size())))];
}

}  // namespace gatetiller::lab
