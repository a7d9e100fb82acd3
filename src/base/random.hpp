// Seeded pseudo-random number generator (SplitMix64). A seed gives the same sequence on every platform, which
// the distributions of the standard library do not guarantee.
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
    // Returns a number in [0, 1).
    double uniform() {
        return static_cast<double>(next() >> 11) * 0x1p-53;
    }
    double uniform(double low, double high) {
        return low + (high - low) * uniform();
    }
    // Returns an integer in [0, limit), or 0 if the limit is 0.
    std::uint64_t below(std::uint64_t limit) {
        return limit == 0 ? 0 : next() % limit;
    }
    // Returns true with the given probability.
    bool chance(double probability) {
        return uniform() < probability;
    }
    double exponential(double mean) {
        return -mean * std::log1p(-uniform());
    }
    // Log-normal distribution with the given mean and coefficient of variation (standard deviation divided by
    // mean). Uses the Box-Muller transform.
    double lognormal(double mean, double coefficient_of_variation) {
        const double variance = std::log1p(coefficient_of_variation * coefficient_of_variation);
        const double radius = std::sqrt(-2 * std::log(std::max(uniform(), 1e-300)));
        const double angle = 2 * std::numbers::pi * uniform();
        return mean * std::exp(std::sqrt(variance) * radius * std::cos(angle) - variance / 2);
    }
    // Returns `digits` random lower-case hexadecimal digits.
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
