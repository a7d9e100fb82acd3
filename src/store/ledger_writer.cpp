#include "store/ledger_writer.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>

namespace gatetiller::store {
namespace {

constexpr Micros kTouchEvery = kSecondMicros;  // the life's "written until", while nothing happens
constexpr int kExpireAtOnce = 2000;
constexpr int kNice = 10;

void append(Batch& to, Batch& from) {
    const auto move = [](auto& a, auto& b) {
        if (a.empty())
            std::swap(a, b);
        else
            a.insert(a.end(), std::make_move_iterator(b.begin()), std::make_move_iterator(b.end()));
        b.clear();
    };
    move(to.rows, from.rows);
    move(to.gaps, from.gaps);
    move(to.clock_steps, from.clock_steps);
    to.wall = from.wall;
}

}  // namespace

LedgerWriter::LedgerWriter(LedgerWriterSettings settings)
    : settings_(std::move(settings)), intake_(settings_.limits), keeper_(settings_.limits) {}

LedgerWriter::~LedgerWriter() {
    {
        const std::lock_guard guard(mutex_);
        stop_ = true;
    }
    handed_over_.notify_one();
    if (thread_.joinable())
        thread_.join();
}

// ---- The loop's side

bool LedgerWriter::add_request(RequestRow& row, Micros wall, QueueSlot& place) {
    row.number = ++last_number_;
    if (!intake_.admit(queue_.size() + in_hand_, wall))
        return false;
    place = {flush_, queue_.size()};
    queue_.emplace_back(row);
    return true;
}

template <typename Row>
void LedgerWriter::put(Row row, Micros wall, QueueSlot& place) {
    if (place.flush == flush_) {
        std::get<Row>(queue_[place.index]) = std::move(row);
    } else if (intake_.update(queue_.size() + in_hand_, wall)) {
        place = {flush_, queue_.size()};
        queue_.emplace_back(std::move(row));
    }
}

void LedgerWriter::update(RequestRow row, Micros wall, QueueSlot& place) {
    put(std::move(row), wall, place);
}
void LedgerWriter::update(AttemptRow row, Micros wall, QueueSlot& place) {
    put(std::move(row), wall, place);
}

std::vector<std::string> LedgerWriter::poll(Micros now, Micros wall) {
    std::vector<std::string> words;
    {
        const std::lock_guard guard(mutex_);
        Batch next;
        next.rows = std::move(queue_);
        queue_.clear();
        queue_.reserve(next.rows.size());
        ++flush_;
        if (const auto step = clock_.detect(now, wall)) {
            next.clock_steps.emplace_back(wall, *step);
            words_.push_back("ledger: the wall clock stepped by " + std::to_string(*step / kMillisecond) +
                             " ms; times before and after stand as they were read");
        }
        if (trouble_ == decide::StoreError::none)
            if (const auto gap = intake_.take_gap(in_hand_, last_trouble_)) {
                next.gaps.push_back(*gap);
                words_.push_back("ledger: a gap: " + std::to_string(gap->requests) +
                                 " requests were not written, and " + std::to_string(gap->updates) +
                                 " updates of written ones (" + name_of(gap->cause) + ")");
            }
        next.wall = wall;
        in_hand_ += next.rows.size();
        append(shared_, next);
        shared_now_ = now;
        work_ = true;
    }
    if (thread_.joinable())
        handed_over_.notify_one();
    else
        turn(now);
    const std::lock_guard guard(mutex_);
    words.swap(words_);
    return words;
}

LedgerWriterStatus LedgerWriter::status() const {
    const std::lock_guard guard(mutex_);
    return {trouble_, queue_.size() + in_hand_, intake_.lost(), committed_, batches_, written_until_};
}

std::vector<Ledger::WorkSample> LedgerWriter::take_work_history() {
    const std::lock_guard guard(mutex_);
    return std::exchange(past_, {});
}

LedgerWriter::PreviousIncarnation LedgerWriter::previous_incarnation() const {
    const std::lock_guard guard(mutex_);
    return previous_;
}

void LedgerWriter::start_thread() {
    // Signals are the loop's: a thread that doesn't block them would take them in its place.
    sigset_t all, before;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before);
    thread_ = std::thread([this] {
        serve();
    });
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

std::vector<std::string> LedgerWriter::finish(Micros now, Micros wall) {
    auto words = poll(now, wall);
    {
        const std::lock_guard guard(mutex_);
        stop_ = true;
    }
    handed_over_.notify_one();
    if (thread_.joinable())
        thread_.join();
    // Here alone now. A store in trouble gets one more try.
    turn(std::max(now, keeper_.retry_at()));
    if (pending_.rows.empty() && ledger_.is_open()) {
        if (const auto f = ledger_.end_incarnation(wall))
            say("ledger: " + f.text);
    } else if (!pending_.rows.empty()) {
        say("ledger: " + std::to_string(pending_.rows.size()) + " rows could not be written and are lost");
    }
    ledger_.close();
    lock_.release();
    words.insert(words.end(), words_.begin(), words_.end());
    words_.clear();
    return words;
}

// ---- The store's side

void LedgerWriter::say(std::string text) {
    const std::lock_guard guard(mutex_);
    words_.push_back(std::move(text));
}

void LedgerWriter::serve() {
    // Behind the loop where cores are short: rows can wait, statements can't.
    ::setpriority(PRIO_PROCESS, static_cast<id_t>(::gettid()), kNice);
    for (;;) {
        Micros now = 0;
        {
            std::unique_lock guard(mutex_);
            handed_over_.wait(guard, [this] {
                return work_ || stop_;
            });
            if (stop_)
                return;
            work_ = false, now = shared_now_;
        }
        turn(now);
    }
}

void LedgerWriter::turn(Micros now) {
    {
        const std::lock_guard guard(mutex_);
        if (shared_.wall > 0)
            append(pending_, shared_);
    }
    using Do = decide::LedgerState::Step;
    for (;;) {
        switch (keeper_.next(now)) {
            case Do::wait:
                return;
            case Do::quarantine:
                quarantine(now);
                continue;
            case Do::open:
                if (const auto f = open())
                    return failed(f, now);
                keeper_.on_opened();
                continue;
            case Do::write:
                break;
        }
        break;
    }
    const bool was_well = keeper_.healthy();
    if (pending_.rows.empty() && pending_.gaps.empty() && pending_.clock_steps.empty() && was_well &&
        now - touched_ < kTouchEvery)
        return;
    if (const auto f = ledger_.write(pending_))
        return failed(f, now);
    keeper_.on_written();
    touched_ = now;
    if (!was_well)
        say("ledger: written again");
    {
        const std::lock_guard guard(mutex_);
        committed_ += static_cast<std::int64_t>(pending_.rows.size());
        batches_ += 1;
        written_until_ = pending_.wall;
        in_hand_ -= pending_.rows.size();
        trouble_ = decide::StoreError::none;
    }
    std::int64_t removed = 0;
    if (settings_.retention > 0)
        if (const auto f = ledger_.expire(pending_.wall - settings_.retention, kExpireAtOnce, removed))
            say("ledger: old rows could not be removed: " + f.text);
    pending_.rows.clear(), pending_.gaps.clear(), pending_.clock_steps.clear();
}

StoreFailure LedgerWriter::open() {
    ledger_.close();
    if (auto f = lock_.take(settings_.file))
        return f;
    if (auto f = ledger_.open(settings_.file, {settings_.vfs}))
        return f;
    RecoveredState taken;
    if (auto f = ledger_.begin_incarnation(settings_.incarnation, settings_.front, pending_.wall, taken))
        return f;
    if (taken.requests_interrupted + taken.attempts_interrupted > 0 || taken.killed)
        say("ledger: the life before was not ended in order: " + std::to_string(taken.requests_interrupted) +
            " requests and " + std::to_string(taken.attempts_interrupted) +
            " attempts in hand are marked as interrupted");
    {
        const std::lock_guard guard(mutex_);
        if (!std::exchange(previous_.known, true) && taken.killed)
            previous_.killed_from = taken.killed->from;
    }
    if (settings_.history_window > 0 && !std::exchange(past_read_, true)) {
        std::vector<Ledger::WorkSample> past;
        if (const auto f = ledger_.work_samples_since(pending_.wall - settings_.history_window,
                                                      settings_.history_window / 60, past))
            say("ledger: the work of the past could not be read back: " + f.text);
        const std::lock_guard guard(mutex_);
        past_ = std::move(past);
    }
    return {};
}

void LedgerWriter::failed(const StoreFailure& f, Micros now) {
    StoreFailure what = f;
    // Only a ledger is moved out of the way; with any other file the operator has a say.
    if (what.error == StoreError::corrupt && !looks_like_ledger(settings_.file))
        what.error = StoreError::foreign;
    if (keeper_.on_failed(what.error, now))
        say(std::string("ledger NOT WRITTEN (") + name_of(what.error) + "): " + what.text +
            "; statements go on, " + std::to_string(pending_.rows.size()) + " rows wait");
    const std::lock_guard guard(mutex_);
    trouble_ = last_trouble_ = what.error;
}

void LedgerWriter::quarantine(Micros now) {
    ledger_.close();
    std::error_code error;
    std::string to;
    do
        to = settings_.file + ".corrupt-" + std::to_string(++aside_);
    while (std::filesystem::exists(to, error));
    for (const char* part : {"", "-wal", "-shm"})
        if (std::filesystem::exists(settings_.file + part, error))
            std::filesystem::rename(settings_.file + part, to + part, error);
    if (error)
        return failed({StoreError::io, settings_.file + ": " + error.message()}, now);
    say("ledger: the damaged file is set aside as " + to + ", a new one begins; give both to the report");
    keeper_.on_quarantined();
}

}  // namespace gatetiller::store
