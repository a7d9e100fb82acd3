// What the answers of a platform engine come to: pages that make a whole result, and what an end proves.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "policy/brain.hpp"

namespace gatetiller::decide {

struct ExchangeEnd {
    enum class How {
        served,   // every page is there
        shed,     // SHED: it never ran
        fault,    // FAULT: it may have run
        late,     // LATE: it never ran
        refused,  // no connection came about: it never ran
        unsent,   // not wholly written when its connection ended, taken back unwritten, or kept by this
                  // machine for want of a descriptor, a port or the like: it never ran, and its engine is not
                  // to blame
        lost,     // the connection ended, or was spoilt by whatever came on it: it may have run
    };
    How how = How::lost;
    std::string rows;                   // served
    double work_ms = 0, needed_mb = 0;  // served, where told
    std::optional<Report> report;
    std::string why;  // for logs
};

Outcome outcome_of(ExchangeEnd::How how);

// What the end of a connection proves of a request that stood on it, by how much of it the kernel had taken:
// what was not written whole can't have arrived whole, and an engine runs nothing less.
enum class Handed {
    nothing,
    part,
    whole
};
// How the connection ended: it had come up; or never did, because of the peer or of this machine.
enum class LinkEnd {
    broken,
    never_up,
    lacked_locally
};
ExchangeEnd::How proved_by_end(LinkEnd end, Handed handed);

// The fields of a message on an engine's connection: "name=value,name=value" or "-". Views of the text read.
class AnswerFields {
public:
    bool read(std::string_view text);                    // false where it can't be read
    std::string_view find(std::string_view name) const;  // the first of that name; empty where there is none

private:
    std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

// The result of one attempt, page by page: bounded, each page once, each of whole rows.
class ResultPages {
public:
    static constexpr std::size_t kPageMost = 6'000, kResultMost = 48'000, kPagesMost = 512;
    bool begun() const {
        return !pages_.empty();
    }
    // The first answer's page and the number of all. False where no result can be like that.
    bool begin(std::size_t pages, std::string_view first);
    enum class Took {
        page,
        not_asked,
        spoilt
    };
    Took take(std::size_t number, std::string_view page);  // a further page, from 1
    bool whole() const {
        return begun() && missing_ == 0;
    }
    std::size_t pages() const {
        return pages_.size();
    }
    std::string rows();  // of all pages in order; to be taken once

private:
    bool fits(std::string_view page);
    std::vector<std::optional<std::string>> pages_;
    std::size_t missing_ = 0, bytes_ = 0;
};

}  // namespace gatetiller::decide
