// The result of one exchange with an engine over the platform's protocol: the pages of a result, the outcome
// for the policy, and what the end of a connection proves about a request on it.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

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
        not_sent,  // not wholly written when its connection ended, taken back unwritten, or kept by this
                   // machine for want of a descriptor, a port or the like: it never ran, and its engine is
                   // not to blame
        connection_lost,  // the connection ended, or was spoilt by whatever came on it: it may have run
    };
    Status status = Status::connection_lost;
    std::string rows;                   // served
    double work_ms = 0, needed_mb = 0;  // served, where told
    std::optional<LoadReport> load_report;
    std::string detail;  // for logs
};

AttemptOutcome outcome_of(ExchangeResult::Status how);

// What the end of a connection proves of a request that stood on it, by how much of it the kernel had taken:
// what was not written whole can't have arrived whole, and an engine runs nothing less.
enum class WriteProgress {
    none,
    partial,
    complete
};
// How the connection ended: it had come up; or never did, because of the peer or of this machine.
enum class ConnectionEnd {
    broken,
    never_established,
    local_resource_exhausted
};
ExchangeResult::Status classify_connection_end(ConnectionEnd end, WriteProgress handed);

// The fields of a message on an engine's connection: "name=value,name=value" or "-". Views of the text read.
class ResponseFields {
public:
    bool parse(std::string_view text);                   // false where it can't be read
    std::string_view find(std::string_view name) const;  // the first of that name; empty where there is none

private:
    std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

// The result of one attempt, page by page: bounded, each page once, each of whole rows.
class ResultPages {
public:
    static constexpr std::size_t kMaxPageBytes = 6'000, kMaxResultBytes = 48'000, kMaxPages = 512;
    bool started() const {
        return !pages_.empty();
    }
    // The first answer's page and the number of all. False where no result can be like that.
    bool start(std::size_t pages, std::string_view first);
    enum class PageVerdict {
        accepted,
        not_requested,
        malformed
    };
    PageVerdict add(std::size_t number, std::string_view page);  // a further page, from 1
    bool complete() const {
        return started() && missing_ == 0;
    }
    std::size_t pages() const {
        return pages_.size();
    }
    std::string take_rows();  // of all pages in order; to be taken once

private:
    bool fits(std::string_view page);
    std::vector<std::optional<std::string>> pages_;
    std::size_t missing_ = 0, bytes_ = 0;
};

}  // namespace gatetiller::decide
