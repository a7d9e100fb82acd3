// Random numbers of the policy, with a deterministic sequence for each seed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace gatetiller::policy {

class RandomSource {
public:
    explicit RandomSource(std::uint64_t seed) : generator_(seed) {}

    // Returns a number in [0, 1).
    double uniform() {
        return static_cast<double>(generator_() >> 11) * 0x1p-53;
    }
    // Returns a number in [0, count). `count` must be greater than 0.
    std::size_t index(std::size_t count) {
        return generator_() % count;
    }

private:
    std::mt19937_64 generator_;
};

}  // namespace gatetiller::policy
