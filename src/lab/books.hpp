// A ledger of a large month, made to measure: how fast rows are written, how soon a front is up on it again,
// and what the month's report takes.
#pragma once

#include <string>

#include "base/result.hpp"

namespace gatetiller::lab {

struct BooksOptions {
    std::string folder;
    std::int64_t requests = 1'000'000;
    int in_hand = 5000;  // open when the front is killed
    int teams = 40;
    std::uint64_t seed = 1;
    bool journal = true;  // make and collect the engines' journals too
};

Result<std::string> measure_books(const BooksOptions& options);  // a table in Markdown

}  // namespace gatetiller::lab
