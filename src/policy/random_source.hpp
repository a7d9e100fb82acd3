// The policy's random draws: one sequence for each seed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace gatetiller::policy {

class RandomSource {
public:
    explicit RandomSource(std::uint64_t seed) : generator_(seed) {}

    // In [0, 1).
    double uniform() {
        return static_cast<double>(generator_() >> 11) * 0x1p-53;
    }
    // In [0, count); `count` is above 0.
    std::size_t index(std::size_t count) {
        return generator_() % count;
    }

private:
    std::mt19937_64 generator_;
};

}  // namespace gatetiller::policy
