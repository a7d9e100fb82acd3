// The result of one exchange with an engine over the platform's protocol: the pages of a result, the outcome
// for the policy, and what the end of a connection proves about a request on it.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/text.hpp"
#include "policy/gateway_policy.hpp"

namespace gatetiller::decide {

// How an exchange ended, and what the engine returned.
struct ExchangeResult {
    enum class Status {
        // Every page arrived.
        completed,
        // SHED: not executed.
        rejected,
        // FAULT: it may have been executed.
        failed,
        // LATE: not executed.
        deadline_passed,
        // No connection was established: not executed.
        connection_refused,
        // Not executed, and not a fault of the engine: the request was not completely written when its
        // connection ended, it was withdrawn before it was written, or this machine lacked a resource such as
        // a descriptor or a port.
        not_sent,
        // The connection ended, or a malformed message arrived on it: it may have been executed.
        connection_lost,
    };
    Status status = Status::connection_lost;
    // Where completed.
    std::string rows;
    // Where completed, core time in milliseconds and memory in MiB; 0 where the engine did not report them.
    double work_ms = 0, needed_mb = 0;
    std::optional<LoadReport> load_report;
    // For logs.
    std::string detail;
};

AttemptOutcome outcome_of(ExchangeResult::Status status);

// How much of a request was written to the kernel when its connection ended. A request that was not written
// completely cannot have arrived completely, and an engine executes only complete requests.
enum class WriteProgress {
    none,
    partial,
    complete
};
// How a connection ended.
enum class ConnectionEnd {
    // After it was established.
    broken,
    // The peer did not accept it.
    never_established,
    // This machine lacked a resource to establish it.
    local_resource_exhausted
};
// The status of a request on a connection that ended.
ExchangeResult::Status classify_connection_end(ConnectionEnd end, WriteProgress written);

// The fields of a message on an engine's connection: "name=value,name=value", or "-" for none. Refers to the
// parsed text, which must outlive it.
class ResponseFields {
public:
    // False where `text` is malformed.
    bool parse(std::string_view text);
    // The value of the field with that name; nothing where there is none, or more than one.
    std::optional<std::string_view> find(std::string_view name) const;
    // Whether there is at least one field with that name.
    bool contains(std::string_view name) const;
    // The value of the field with that name as a number from `least` to `most`; nothing where it is not one.
    template <typename T>
    std::optional<T> number(std::string_view name, T least, T most) const {
        const auto value = find(name);
        return value ? to_number_in<T>(*value, least, most) : std::nullopt;
    }

private:
    std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

// Collects the pages of one attempt's result, whose size is limited. Each page is accepted once and consists
// of complete rows.
class ResultPages {
public:
    static constexpr std::size_t kMaxPageBytes = 6'000, kMaxResultBytes = 48'000, kMaxPages = 512;
    bool started() const {
        return !pages_.empty();
    }
    // Starts with the first response: its page, and the number of all pages. False where one of them exceeds
    // its limit or the page is malformed.
    bool start(std::size_t pages, std::string_view first);
    enum class PageVerdict {
        accepted,
        // No page with that number is missing.
        not_requested,
        // The page is malformed or exceeds a limit.
        malformed
    };
    // Adds page `number`; the first response's page has the number 0.
    PageVerdict add(std::size_t number, std::string_view page);
    bool complete() const {
        return started() && missing_ == 0;
    }
    std::size_t pages() const {
        return pages_.size();
    }
    // Returns the maximum size in bytes of the pages that are missing.
    std::size_t max_missing_bytes() const;
    // Returns the rows of all pages in order and clears the pages. Precondition: complete().
    std::string take_rows();

private:
    bool check_and_count(std::string_view page);
    std::vector<std::optional<std::string>> pages_;
    std::size_t missing_ = 0, bytes_ = 0;
};

}  // namespace gatetiller::decide
