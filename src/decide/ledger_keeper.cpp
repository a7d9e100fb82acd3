#include "decide/ledger_keeper.hpp"

#include <algorithm>

namespace gatetiller::decide {

const char* name_of(StoreTrouble t) {
    constexpr const char* kNames[] = {
        "none",      "disk full", "read-only", "corrupt", "kept by another process",
        "no access", "I/O error", "lagging",   "killed",  "not a ledger"};
    return kNames[static_cast<int>(t)];
}

Gap killed_gap(Micros last, Micros began, Micros tail) {
    constexpr Micros kUnsure = 10 * kSecondMicros;
    Gap g{StoreTrouble::killed, last, std::max(began, last + tail), -1, -1};
    if (began < last)
        g.from = began - kUnsure;
    return g;
}

void Intake::lose(Micros wall, bool request) {
    ++lost_;
    if (!gap_)
        gap_ = Gap{StoreTrouble::lagging, wall, wall, 0, 0};
    gap_->from = std::min(gap_->from, wall), gap_->to = std::max(gap_->to, wall);
    (request ? gap_->requests : gap_->updates) += 1;
}

bool Intake::admit(std::size_t waiting, Micros wall) {
    if (static_cast<double>(waiting) < limits_.new_share * static_cast<double>(limits_.waiting))
        return true;
    lose(wall, true);
    return false;
}

bool Intake::update(std::size_t waiting, Micros wall) {
    if (waiting < limits_.waiting)
        return true;
    lose(wall, false);
    return false;
}

std::optional<Gap> Intake::take_gap(std::size_t waiting, StoreTrouble cause) {
    // While the queue is still long, more may be lost at any moment: one gap, not many.
    if (!gap_ || waiting > limits_.waiting / 2)
        return std::nullopt;
    Gap g = *gap_;
    gap_.reset();
    if (cause != StoreTrouble::none)
        g.cause = cause;
    return g;
}

Keeper::Do Keeper::next(Micros now) const {
    if (trouble_ == StoreTrouble::corrupt || trouble_ == StoreTrouble::foreign) {
        // A file of something else is never moved: only a ledger that broke.
        if (trouble_ == StoreTrouble::corrupt && now >= again_at_)
            return Do::set_aside;
        return now >= again_at_ ? Do::open : Do::wait;
    }
    if (now < again_at_)
        return Do::wait;
    return open_ ? Do::write : Do::open;
}

void Keeper::opened() {
    open_ = true;
}

void Keeper::written() {
    trouble_ = StoreTrouble::none;
    pause_ = limits_.try_again;
    again_at_ = said_at_ = 0;
}

bool Keeper::failed(StoreTrouble trouble, Micros now) {
    const bool aloud = trouble != trouble_ || now - said_at_ >= limits_.say_again;
    trouble_ = trouble;
    // What may have changed under the open file is looked at anew.
    if (trouble != StoreTrouble::full)
        open_ = false;
    again_at_ = now + pause_;
    pause_ = std::min(pause_ * 2, limits_.try_again_most);
    if (aloud)
        said_at_ = now;
    return aloud;
}

void Keeper::was_set_aside() {
    trouble_ = StoreTrouble::io;  // until a new one is open and written
    open_ = false, again_at_ = 0;
}

std::optional<Micros> ClockWatch::look(Micros now, Micros wall) {
    const Micros difference = wall - now;
    const auto before = difference_;
    difference_ = difference;
    if (!before || std::abs(difference - *before) < kNoticed)
        return std::nullopt;
    return difference - *before;
}

}  // namespace gatetiller::decide
