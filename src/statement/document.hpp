// statement: the Trino statement API (HTTP with polling), both sides. It decides nothing: who may run, where
// and how often is the front's. This file: its documents. Source: the public client protocol's pages.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/result.hpp"

namespace gatetiller::statement {

struct Stats {
    std::string state = "QUEUED";
    bool queued = false, scheduled = false;
    std::optional<double> progress{};  // per cent
    std::int64_t nodes = 0, total_splits = 0, queued_splits = 0, running_splits = 0, completed_splits = 0;
    std::int64_t cpu_ms = 0, wall_ms = 0, queued_ms = 0, elapsed_ms = 0;
    std::int64_t rows = 0, bytes = 0, input_bytes = 0, peak_memory_bytes = 0, spilled_bytes = 0;
    // Whether the state was told, and each other member that was told could be read. Otherwise the query may
    // have executed, whatever the members say.
    bool valid = true;
};

struct StatementError {
    std::string message, name, type;
    std::int64_t code = 0;
};

// A QueryResults document. The members that pass through a front are held as JSON text.
struct Document {
    std::string id, info_uri, next_uri, partial_cancel_uri;  // empty: absent
    std::string columns, data, warnings, update_count;       // JSON text; empty: absent
    std::string update_type;
    Stats stats;
    std::string stats_text;  // as it came; empty: written from `stats`
    std::optional<StatementError> error;
    std::string error_text;  // as it came; empty: written from `error`

    bool final() const {
        return next_uri.empty();
    }
    bool has_rows() const {
        return data.size() > 2;
    }
    std::size_t held_bytes() const {
        return columns.size() + data.size() + error_text.size() + stats_text.size();
    }
};

Result<Document> read_document(std::string_view text);
std::string write_document(const Document& document);
std::string write_stats(const Stats& stats);

// The errors that a front answers by itself, with the public numbers of their names.
StatementError error_named(std::string_view name, std::string message);

}  // namespace gatetiller::statement
