// libFuzzer target: any bytes as an engine's query-completed event. What is read, written and read again says
// the same, and nothing that it holds is negative or beyond what sums can bear.
#include <cstdlib>

#include "decide/account.hpp"
#include "statement/completed.hpp"

using namespace gatetiller;

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    if (const auto name = decide::parse_attempt_tag(text))
        if (!(decide::parse_attempt_tag(decide::format_attempt_tag(*name)) == name))
            std::abort();
    const auto first = statement::read_completed(text);
    if (!first)
        return 0;
    const std::string written = statement::write_completed(*first);
    const auto again = statement::read_completed(written);
    if (!again || written.find('\n') != std::string::npos)
        std::abort();
    if (again->tags.size() != first->tags.size() || again->spilled_bytes != first->spilled_bytes ||
        again->peak_memory_bytes != first->peak_memory_bytes || again->created != first->created)
        std::abort();
    if (first->cpu < 0 || first->cpu > 100'000'000'000'000 || first->spilled_bytes < 0 || first->ended < 0)
        std::abort();
    return 0;
}
