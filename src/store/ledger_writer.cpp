#include "store/ledger_writer.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <iterator>
#include <utility>

#include "store/ledger_messages.hpp"

namespace gatetiller::store {
namespace {

// Interval at which empty batches are written, so that the last commit of an idle incarnation stays recent.
constexpr Micros kIdleWriteInterval = kSecondMicros;
constexpr int kMaxExpiredPerCommit = 2000;  // requests
constexpr int kThreadNice = 10;             // statements take precedence over the ledger when CPU is scarce
constexpr Micros kHistoryIntervals = 60;    // intervals in the history window

template <typename Row>
void append(std::vector<Row>& to, std::vector<Row>& from) {
    if (to.empty())
        std::swap(to, from);
    else
        to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
    from.clear();
}

void append(Batch& to, Batch& from) {
    append(to.rows, from.rows);
    append(to.gaps, from.gaps);
    append(to.clock_steps, from.clock_steps);
    to.complete_until = from.complete_until;
}

bool is_empty(const Batch& batch) {
    return batch.rows.empty() && batch.gaps.empty() && batch.clock_steps.empty();
}

}  // namespace

LedgerWriter::LedgerWriter(LedgerWriterSettings settings)
    : settings_(std::move(settings)), intake_(settings_.limits), state_(settings_.limits) {}

LedgerWriter::~LedgerWriter() {
    stop_thread();
}

bool LedgerWriter::add_request(RequestRow& row, Micros wall_now, QueueSlot& slot) {
    row.number = ++last_number_;
    if (!intake_.admit(queue_.size() + handed_over_rows_, wall_now))
        return false;
    slot = {flush_, queue_.size()};
    queue_.emplace_back(row);
    return true;
}

template <typename Row>
void LedgerWriter::enqueue(Row row, Micros wall_now, QueueSlot& slot) {
    if (slot.flush == flush_) {
        std::get<Row>(queue_[slot.index]) = std::move(row);
    } else if (intake_.admit_update(queue_.size() + handed_over_rows_, wall_now)) {
        slot = {flush_, queue_.size()};
        queue_.emplace_back(std::move(row));
    }
}

void LedgerWriter::update(RequestRow row, Micros wall_now, QueueSlot& slot) {
    enqueue(std::move(row), wall_now, slot);
}

void LedgerWriter::update(AttemptRow row, Micros wall_now, QueueSlot& slot) {
    enqueue(std::move(row), wall_now, slot);
}

std::vector<std::string> LedgerWriter::poll(Micros now, Micros wall_now) {
    hand_over(now, wall_now);
    if (thread_.joinable())
        batch_ready_.notify_one();
    else
        write_pending(now);
    const std::lock_guard guard(mutex_);
    return std::exchange(log_lines_, {});
}

void LedgerWriter::hand_over(Micros now, Micros wall_now) {
    const std::lock_guard guard(mutex_);
    Batch next;
    next.rows = std::exchange(queue_, {});
    queue_.reserve(next.rows.size());
    ++flush_;
    if (const auto step = clock_step_detector_.detect(now, wall_now)) {
        next.clock_steps.emplace_back(wall_now, *step);
        log_lines_.push_back(clock_step_message(*step));
    }
    if (error_ == decide::StoreError::none)
        if (const auto gap = intake_.take_gap(handed_over_rows_, last_error_)) {
            next.gaps.push_back(*gap);
            log_lines_.push_back(gap_message(*gap));
        }
    next.complete_until = wall_now;
    handed_over_rows_ += next.rows.size();
    append(handed_over_batch_, next);
    handed_over_at_ = now;
    batch_pending_ = true;
}

LedgerWriterStatus LedgerWriter::status() const {
    const std::lock_guard guard(mutex_);
    return {error_,        queue_.size() + handed_over_rows_, intake_.lost_rows(), committed_rows_, batches_,
            written_until_};
}

std::vector<Ledger::WorkSample> LedgerWriter::take_work_history() {
    const std::lock_guard guard(mutex_);
    return std::exchange(work_history_, {});
}

LedgerWriter::PreviousIncarnation LedgerWriter::previous_incarnation() const {
    const std::lock_guard guard(mutex_);
    return previous_incarnation_;
}

void LedgerWriter::start_thread() {
    // Signals must be delivered to the event loop's thread: a thread that doesn't block them could receive
    // them instead.
    sigset_t all;
    sigset_t before;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before);
    thread_ = std::thread([this] {
        run_thread();
    });
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

void LedgerWriter::stop_thread() {
    {
        const std::lock_guard guard(mutex_);
        stop_requested_ = true;
    }
    batch_ready_.notify_one();
    if (thread_.joinable())
        thread_.join();
}

std::vector<std::string> LedgerWriter::finish(Micros now, Micros wall_now) {
    auto lines = poll(now, wall_now);
    stop_thread();
    // With the thread stopped, the caller may use the writer's state. A failing ledger is retried without
    // waiting for the retry delay.
    write_pending(std::max(now, state_.retry_at()));
    if (!pending_.rows.empty()) {
        log(rows_lost_message(pending_.rows.size()));
    } else if (ledger_.is_open()) {
        if (const auto failure = ledger_.end_incarnation(wall_now))
            log(end_failed_message(failure));
    }
    ledger_.close();
    lock_.release();
    append(lines, log_lines_);
    return lines;
}

void LedgerWriter::log(std::string line) {
    const std::lock_guard guard(mutex_);
    log_lines_.push_back(std::move(line));
}

void LedgerWriter::run_thread() {
    ::setpriority(PRIO_PROCESS, static_cast<id_t>(::gettid()), kThreadNice);
    for (;;) {
        Micros now = 0;
        {
            std::unique_lock guard(mutex_);
            batch_ready_.wait(guard, [this] {
                return batch_pending_ || stop_requested_;
            });
            if (stop_requested_)
                return;
            batch_pending_ = false;
            now = handed_over_at_;
        }
        write_pending(now);
    }
}

void LedgerWriter::write_pending(Micros now) {
    {
        const std::lock_guard guard(mutex_);
        if (handed_over_batch_.complete_until > 0)
            append(pending_, handed_over_batch_);
    }
    if (!prepare_to_write(now))
        return;
    if (is_empty(pending_) && state_.healthy() && now - last_write_ < kIdleWriteInterval)
        return;
    if (auto failure = ledger_.write(pending_)) {
        on_failure(std::move(failure), now);
        return;
    }
    on_committed(now);
    expire_old_requests();
    pending_.rows.clear();
    pending_.gaps.clear();
    pending_.clock_steps.clear();
}

// Opens the file, and quarantines a corrupt one, until the ledger can be written. Returns false if that has
// to wait for a later poll().
bool LedgerWriter::prepare_to_write(Micros now) {
    using Step = decide::LedgerState::Step;
    for (;;) {
        switch (state_.next_step(now)) {
            case Step::wait:
                return false;
            case Step::write:
                return true;
            case Step::quarantine:
                quarantine_file(now);
                break;
            case Step::open:
                if (auto failure = open()) {
                    on_failure(std::move(failure), now);
                    return false;
                }
                state_.on_opened();
                break;
        }
    }
}

void LedgerWriter::on_committed(Micros now) {
    const bool was_healthy = state_.healthy();
    state_.on_written();
    last_write_ = now;
    if (!was_healthy)
        log(write_resumed_message());
    const std::lock_guard guard(mutex_);
    committed_rows_ += static_cast<std::int64_t>(pending_.rows.size());
    batches_ += 1;
    written_until_ = pending_.complete_until;
    handed_over_rows_ -= pending_.rows.size();
    error_ = decide::StoreError::none;
}

void LedgerWriter::expire_old_requests() {
    if (settings_.retention <= 0)
        return;
    std::int64_t removed = 0;
    if (const auto failure =
            ledger_.expire(pending_.complete_until - settings_.retention, kMaxExpiredPerCommit, removed))
        log(expire_failed_message(failure));
}

StoreFailure LedgerWriter::open() {
    ledger_.close();
    if (auto failure = lock_.acquire(settings_.file))
        return failure;
    if (auto failure = ledger_.open(settings_.file, {settings_.vfs}))
        return failure;
    RecoveredState recovered;
    if (auto failure = ledger_.begin_incarnation(settings_.incarnation, settings_.front,
                                                 pending_.complete_until, recovered))
        return failure;
    if (recovered.requests_interrupted + recovered.attempts_interrupted > 0 || recovered.killed_gap)
        log(recovered_message(recovered));
    {
        const std::lock_guard guard(mutex_);
        if (!std::exchange(previous_incarnation_.known, true) && recovered.killed_gap)
            previous_incarnation_.last_commit_before_kill = recovered.killed_gap->from;
    }
    if (settings_.history_window > 0 && !std::exchange(history_read_, true))
        read_work_history();
    return {};
}

void LedgerWriter::read_work_history() {
    std::vector<Ledger::WorkSample> history;
    const Micros window = settings_.history_window;
    if (const auto failure =
            ledger_.work_samples_since(pending_.complete_until - window, window / kHistoryIntervals, history))
        log(history_failed_message(failure));
    const std::lock_guard guard(mutex_);
    work_history_ = std::move(history);
}

void LedgerWriter::on_failure(StoreFailure failure, Micros now) {
    // Only a ledger may be quarantined; any other file is left to the operator.
    if (failure.error == StoreError::corrupt && !has_ledger_header(settings_.file))
        failure.error = StoreError::foreign;
    if (state_.on_failed(failure.error, now))
        log(write_failed_message(failure, pending_.rows.size()));
    const std::lock_guard guard(mutex_);
    error_ = failure.error;
    last_error_ = failure.error;
}

void LedgerWriter::quarantine_file(Micros now) {
    ledger_.close();
    std::error_code error;
    std::string moved_to;
    do
        moved_to = settings_.file + ".corrupt-" + std::to_string(++quarantined_files_);
    while (std::filesystem::exists(moved_to, error));
    for (const char* part : {"", "-wal", "-shm"})
        if (std::filesystem::exists(settings_.file + part, error))
            std::filesystem::rename(settings_.file + part, moved_to + part, error);
    if (error) {
        on_failure(quarantine_failed(settings_.file, error.message()), now);
        return;
    }
    log(quarantined_message(moved_to));
    state_.on_quarantined();
}

}  // namespace gatetiller::store
