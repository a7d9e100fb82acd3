#include "decide/resource_limits.hpp"

#include <algorithm>

#include "decide/client_sequence_numbers.hpp"
#include "decide/engine_exchange.hpp"

namespace gatetiller::decide {
namespace {

constexpr std::size_t kReservedDescriptors = 24;
constexpr double kEngineShare = 0.35;
constexpr std::size_t kBytesPerRequest = 8192;
constexpr std::size_t kMinRequests = 64;
constexpr std::size_t kMaxRequests = 20'000;
constexpr std::size_t kMinUnsentBytes = std::size_t{64} * 1024;
// What a response has besides the rows of its result.
constexpr std::size_t kResponseHeadBytes = 1'152;
constexpr std::size_t kMaxResponseBytes = ResultPages::kMaxResultBytes + kResponseHeadBytes;
constexpr std::size_t kMinMaxUnsentBytes = ClientSequenceNumbers::kMaxOpen * kMaxResponseBytes;
constexpr std::size_t kBytesPerMebibyte = 1 << 20;

std::size_t connection_descriptors(std::int64_t descriptors) {
    const std::size_t all = descriptors > 0 ? static_cast<std::size_t>(descriptors) : 0;
    return all > 2 * kReservedDescriptors ? all - kReservedDescriptors : all / 2;
}

}  // namespace

ResourceLimits derive_limits(std::int64_t descriptors, std::int64_t memory_mb) {
    const std::size_t connections = connection_descriptors(descriptors);
    const auto for_engines = static_cast<std::size_t>(static_cast<double>(connections) * kEngineShare);
    const std::size_t memory =
        static_cast<std::size_t>(std::max<std::int64_t>(memory_mb, 1)) * kBytesPerMebibyte;
    ResourceLimits limits;
    limits.engine_connections = std::max<std::size_t>(1, for_engines);
    limits.client_connections =
        std::max<std::size_t>(1, connections - std::min(connections, limits.engine_connections));
    limits.statement_bytes = memory / 8;
    limits.requests = std::clamp(memory / 4 / kBytesPerRequest, kMinRequests, kMaxRequests);
    limits.input_bytes = memory / 16;
    limits.result_bytes = memory / 16;
    limits.unsent_bytes = std::max(kMinUnsentBytes, memory / 32);
    limits.max_unsent_bytes = std::max(kMinMaxUnsentBytes, 4 * limits.unsent_bytes);
    limits.total_unsent_bytes = memory / 4;
    return limits;
}

}  // namespace gatetiller::decide
