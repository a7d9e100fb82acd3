#include "decide/exchange.hpp"

#include "decide/client_request.hpp"

namespace gatetiller::decide {
namespace {

constexpr int kColumns = 3;
constexpr std::size_t kFieldsMost = 32;

}  // namespace

Outcome outcome_of(ExchangeEnd::How how) {
    using How = ExchangeEnd::How;
    switch (how) {
        case How::served:
            return Outcome::done;
        case How::shed:
            return Outcome::busy;
        case How::fault:
            return Outcome::err;
        case How::late:
            return Outcome::skipped;
        case How::refused:
            return Outcome::econnrefused;
        case How::unsent:
            return Outcome::skipped;
        case How::lost:
            break;
    }
    return Outcome::econnreset;
}

ExchangeEnd::How proved_by_end(LinkEnd end, Handed handed) {
    if (end == LinkEnd::never_up)
        return ExchangeEnd::How::refused;
    if (end == LinkEnd::lacked_locally)
        return ExchangeEnd::How::unsent;
    return handed == Handed::whole ? ExchangeEnd::How::lost : ExchangeEnd::How::unsent;
}

bool AnswerFields::read(std::string_view text) {
    fields_.clear();
    if (text == "-")
        return true;
    for (std::size_t at = 0; at <= text.size();) {
        const std::size_t end = std::min(text.find(',', at), text.size());
        const auto part = text.substr(at, end - at);
        const std::size_t equals = part.find('=');
        if (equals == std::string_view::npos || equals == 0 || fields_.size() >= kFieldsMost)
            return false;
        fields_.emplace_back(part.substr(0, equals), part.substr(equals + 1));
        at = end + 1;
    }
    return true;
}

std::string_view AnswerFields::find(std::string_view name) const {
    for (const auto& [key, value] : fields_)
        if (key == name)
            return value;
    return {};
}

bool ResultPages::fits(std::string_view page) {
    bytes_ += page.size();
    return page.size() <= kPageMost && bytes_ <= kResultMost && whole_rows(page, kColumns);
}

bool ResultPages::begin(std::size_t pages, std::string_view first) {
    if (pages == 0 || pages > kPagesMost || !fits(first))
        return false;
    pages_.resize(pages);
    pages_.front() = first;
    missing_ = pages - 1;
    return true;
}

ResultPages::Took ResultPages::take(std::size_t number, std::string_view page) {
    if (number == 0 || number >= pages_.size() || pages_[number])
        return Took::not_asked;
    if (!fits(page))
        return Took::spoilt;
    pages_[number] = page;
    --missing_;
    return Took::page;
}

std::string ResultPages::rows() {
    std::string rows;
    rows.reserve(bytes_);
    for (auto& page : pages_)
        rows += *page;
    pages_.clear();
    return rows;
}

}  // namespace gatetiller::decide
