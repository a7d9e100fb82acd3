#include "decide/engine_exchange.hpp"

#include <algorithm>

#include "decide/client_request.hpp"

namespace gatetiller::decide {
namespace {

constexpr int kColumns = 3;
constexpr std::size_t kMaxFields = 32;

}  // namespace

AttemptOutcome outcome_of(ExchangeResult::Status status) {
    using Status = ExchangeResult::Status;
    switch (status) {
        case Status::completed:
            return AttemptOutcome::succeeded;
        case Status::rejected:
            return AttemptOutcome::rejected;
        case Status::failed:
            return AttemptOutcome::failed;
        case Status::deadline_passed:
            return AttemptOutcome::not_sent;
        case Status::connection_refused:
            return AttemptOutcome::connection_refused;
        case Status::not_sent:
            return AttemptOutcome::not_sent;
        case Status::connection_lost:
            break;
    }
    return AttemptOutcome::connection_reset;
}

ExchangeResult::Status classify_connection_end(ConnectionEnd end, WriteProgress written) {
    if (end == ConnectionEnd::never_established)
        return ExchangeResult::Status::connection_refused;
    if (end == ConnectionEnd::local_resource_exhausted)
        return ExchangeResult::Status::not_sent;
    return written == WriteProgress::complete ? ExchangeResult::Status::connection_lost
                                              : ExchangeResult::Status::not_sent;
}

bool ResponseFields::parse(std::string_view text) {
    fields_.clear();
    if (text == "-")
        return true;
    for (std::size_t at = 0; at <= text.size();) {
        const std::size_t end = std::min(text.find(',', at), text.size());
        const auto field = text.substr(at, end - at);
        const std::size_t equals = field.find('=');
        if (equals == std::string_view::npos || equals == 0 || fields_.size() >= kMaxFields)
            return false;
        fields_.emplace_back(field.substr(0, equals), field.substr(equals + 1));
        at = end + 1;
    }
    return true;
}

std::optional<std::string_view> ResponseFields::find(std::string_view name) const {
    std::optional<std::string_view> found;
    for (const auto& [key, value] : fields_) {
        if (key != name)
            continue;
        if (found)
            return std::nullopt;
        found = value;
    }
    return found;
}

bool ResponseFields::contains(std::string_view name) const {
    return std::any_of(fields_.begin(), fields_.end(), [&](const auto& field) {
        return field.first == name;
    });
}

bool ResultPages::check_and_count(std::string_view page) {
    bytes_ += page.size();
    return page.size() <= kMaxPageBytes && bytes_ <= kMaxResultBytes && is_complete_rows(page, kColumns);
}

bool ResultPages::start(std::size_t pages, std::string_view first) {
    if (pages == 0 || pages > kMaxPages || !check_and_count(first))
        return false;
    pages_.resize(pages);
    pages_.front() = first;
    missing_ = pages - 1;
    return true;
}

ResultPages::PageVerdict ResultPages::add(std::size_t number, std::string_view page) {
    if (number == 0 || number >= pages_.size() || pages_[number])
        return PageVerdict::not_requested;
    if (!check_and_count(page))
        return PageVerdict::malformed;
    pages_[number] = page;
    --missing_;
    return PageVerdict::accepted;
}

std::size_t ResultPages::max_missing_bytes() const {
    return std::min(missing_ * kMaxPageBytes, kMaxResultBytes - bytes_);
}

std::string ResultPages::take_rows() {
    std::string rows;
    rows.reserve(bytes_);
    for (auto& page : pages_)
        rows += *page;
    pages_.clear();
    return rows;
}

}  // namespace gatetiller::decide
