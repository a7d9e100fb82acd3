// Seeded random numbers (SplitMix64): the same sequence for the same seed on every machine, which the
// standard library's distributions don't promise.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <numbers>
#include <string>

namespace gatetiller {

class Random {
public:
    explicit Random(std::uint64_t seed) : state_(seed) {}

    std::uint64_t next() {
        std::uint64_t z = state_ += 0x9e3779b97f4a7c15ULL;
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31);
    }
    double uniform() {
        return static_cast<double>(next() >> 11) * 0x1p-53;
    }  // in [0, 1)
    double uniform(double low, double high) {
        return low + (high - low) * uniform();
    }
    std::uint64_t below(std::uint64_t limit) {
        return limit == 0 ? 0 : next() % limit;
    }
    bool chance(double probability) {
        return uniform() < probability;
    }
    double exponential(double mean) {
        return -mean * std::log1p(-uniform());
    }
    // By its mean and its coefficient of variation (standard deviation over mean); by the Box-Muller
    // transform.
    double lognormal(double mean, double coefficient_of_variation) {
        const double variance = std::log1p(coefficient_of_variation * coefficient_of_variation);
        const double radius = std::sqrt(-2 * std::log(std::max(uniform(), 1e-300)));
        const double angle = 2 * std::numbers::pi * uniform();
        return mean * std::exp(std::sqrt(variance) * radius * std::cos(angle) - variance / 2);
    }
    std::string hex(int digits) {
        std::string text;
        for (int i = 0; i < digits; ++i)
            text.push_back("0123456789abcdef"[next() >> 60]);
        return text;
    }

private:
    std::uint64_t state_;
};

}  // namespace gatetiller
