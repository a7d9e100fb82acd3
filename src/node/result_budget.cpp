#include "node/result_budget.hpp"

#include <cassert>
#include <utility>

namespace gatetiller::node {

void ResultBudget::Reservation::release() {
    if (ResultBudget* const budget = std::exchange(budget_, nullptr))
        budget->release(*this);
}

void ResultBudget::set_limit(std::size_t limit) {
    limit_ = limit;
    schedule_serving();
}

void ResultBudget::reserve(Reservation& reservation, std::size_t bytes, std::function<void()> on_granted) {
    assert(!reservation.budget_);
    reservation.budget_ = this;
    reservation.bytes_ = bytes;
    if (!waiting_.empty() || !fits(bytes)) {
        ++waited_;
        reservation.on_granted_ = std::move(on_granted);
        waiting_.push_back(&reservation);
        return;
    }
    reserved_bytes_ += bytes;
    on_granted();
}

void ResultBudget::release(Reservation& reservation) {
    if (std::exchange(reservation.on_granted_, nullptr))
        waiting_.remove(&reservation);
    else
        reserved_bytes_ -= reservation.bytes_;
    schedule_serving();
}

bool ResultBudget::fits(std::size_t bytes) const {
    return reserved_bytes_ == 0 || (reserved_bytes_ <= limit_ && bytes <= limit_ - reserved_bytes_);
}

// In a later turn, as the caller may be in the middle of a change of its connection.
void ResultBudget::schedule_serving() {
    if (waiting_.empty() || serve_timer_ != 0)
        return;
    serve_timer_ = loop_.after(0, [this] {
        serve_timer_ = 0;
        serve();
    });
}

void ResultBudget::serve() {
    while (!waiting_.empty() && fits(waiting_.front()->bytes_)) {
        Reservation& next = *waiting_.front();
        waiting_.pop_front();
        reserved_bytes_ += next.bytes_;
        std::exchange(next.on_granted_, nullptr)();
    }
}

}  // namespace gatetiller::node
