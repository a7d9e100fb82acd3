// libFuzzer target: any bytes as an engine's document. What is read, written and read again is the same, and
// what is passed on is well-formed.
#include <cstdlib>

#include "statement/document.hpp"
#include "statement/json.hpp"

using namespace gatetiller::statement;

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    if (const auto found = members(text))
        for (const auto& m : *found)
            if (m.raw.empty() || array_length(m.raw) > m.raw.size())
                std::abort();
    const auto first = read_document(text);
    if (!first)
        return 0;
    const std::string written = write_document(*first);
    const auto again = read_document(written);
    if (!again || !members(written))
        std::abort();
    if (again->id != first->id || again->next_uri != first->next_uri || again->data != first->data ||
        again->columns != first->columns || again->error.has_value() != first->error.has_value() ||
        again->stats.state != first->stats.state)
        std::abort();
    return 0;
}
