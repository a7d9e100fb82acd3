#include "engine/model.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gatetiller::engine {
namespace {

constexpr double kWeights[] = {1, 4, 8, 16};
constexpr Micros kWarmStep = 100 * kMillisecond;  // while it warms up, rates are set anew this often

}  // namespace

Machine::Machine(Micros now, MachineSettings settings, std::uint64_t seed)
    : s_(settings), random_(seed), now_(now), started_(now) {}

double Machine::warmth() const {
    if (s_.warm_up <= 0)
        return 1;
    const double part = std::min(1.0, static_cast<double>(now_ - started_) / static_cast<double>(s_.warm_up));
    return s_.cold_share + (1 - s_.cold_share) * part;
}

double Machine::capacity() const {
    return s_.cores * s_.speed * warmth() / slow_;
}

Taken Machine::submit(Micros now, Job job, JobId& id) {
    advance(now);
    if (fallen_)
        return Taken::fallen;
    if (s_.fall_for > 0 && warmth() < 1) {
        // Whatever reaches it adds to the pressure, what it turns away too.
        sent_.emplace_back(now, job.work);
        while (sent_.front().first < now - s_.fall_for)
            sent_.pop_front();
        double sum = 0;
        for (const auto& [at, work] : sent_)
            sum += work;
        // Of what a cold engine of its size can do. A fault that slows it down is not counted: no front can
        // know of it, and the rule is about the start.
        if (sum > s_.fall_factor * s_.cores * s_.speed * warmth() * static_cast<double>(s_.fall_for)) {
            fallen_ = true;
            return Taken::fallen;
        }
    }
    if (static_cast<double>(jobs_.size()) >= s_.sessions_per_core * s_.cores)
        return Taken::full;
    if (!job.key.empty() && s_.key_window > 0) {
        std::erase_if(keys_, [&](const auto& k) {
            return now - k.second > s_.key_window;
        });
        if (!keys_.emplace(job.key, now).second)
            return Taken::repeat;
    }
    id = ++last_;
    Running r;
    r.job = std::move(job);
    r.job.priority = std::clamp(r.job.priority, 0, 3);
    const double most = s_.largest_share * s_.memory_mb;
    r.granted = std::min(r.job.grant_mb > 0 ? r.job.grant_mb : r.job.need_mb, most);
    jobs_.emplace(id, std::move(r));
    // The line for memory: by priority, then in turn.
    const auto ahead = [&](JobId other) {
        return jobs_.at(other).job.priority >= jobs_.at(id).job.priority;
    };
    queue_.insert(std::find_if_not(queue_.begin(), queue_.end(), ahead), id);
    admit();
    advance(now);
    return Taken::taken;
}

void Machine::admit() {
    while (!queue_.empty()) {
        Running& r = jobs_.at(queue_.front());
        const double room = s_.memory_mb - granted_;
        if (s_.when_short == MemoryShortagePolicy::queue && r.granted > room && granted_ > 0)
            break;
        if (s_.when_short == MemoryShortagePolicy::trim)
            r.granted = std::clamp(r.granted, 0.0, std::max(room, 0.0));
        queue_.pop_front();
        begin(r);
    }
    rates_stale_ = true;
}

void Machine::begin(Running& r) {
    granted_ += r.granted;
    const Job& j = r.job;
    double work = j.work;
    if (random_.chance(s_.bad_plans))
        work *= s_.bad_plan_times;
    const bool warm = std::find(warm_.begin(), warm_.end(), j.group) != warm_.end();
    if (warm && !j.group.empty())
        work *= 1 - j.io * s_.warm_saves;
    if (!j.group.empty()) {
        std::erase(warm_, j.group);
        warm_.push_front(j.group);
        while (static_cast<double>(warm_.size()) > s_.warm_groups)
            warm_.pop_back();
    }
    if (j.need_mb > r.granted && s_.when_short != MemoryShortagePolicy::swap) {
        const double missing = j.need_mb - r.granted;
        work *= 1 + (s_.spill_cost - 1) * missing / j.need_mb;
        r.spilled_mb = missing;
    }
    r.total = r.left = std::max(work, 1.0);
}

bool Machine::held_by_load(const Running& r) const {
    if (r.job.group.empty() || !(r.job.yields || r.job.load))
        return false;
    // A load waits for earlier ones only, or two would wait for each other.
    for (const auto& [id, other] : jobs_) {
        if (&other == &r && r.job.load)
            return false;
        if (&other != &r && other.job.load && other.job.group == r.job.group && other.total > 0)
            return true;
    }
    return false;
}

// Each running job gets cores by its weight, up to its threads; then the disks bound what reads and writes.
void Machine::set_rates() {
    rates_stale_ = false;
    std::vector<Running*> active;
    double threads = 0, in_use = 0;
    for (auto& [id, r] : jobs_) {
        r.rate = 0;
        if (r.total <= 0)
            continue;
        in_use += std::min(r.granted, r.job.need_mb);
        if (held_by_load(r))
            continue;
        active.push_back(&r);
        threads += r.job.threads;
    }
    disks_busy_ = 0;
    if (active.empty())
        return;
    double power = capacity();
    const double crowd = threads / s_.cores;
    if (crowd > s_.knee)
        power /= 1 + s_.past_knee * (crowd / s_.knee - 1);
    if (s_.when_short == MemoryShortagePolicy::swap && in_use > s_.memory_mb)
        power /= 1 + 4 * (in_use / s_.memory_mb - 1);
    const double thread_speed = s_.speed / slow_ * warmth();
    // By water-filling: those who can't use their part of the cores leave it to the others. What a statement
    // reads or writes holds no core.
    const auto weight = [&](const Running* r) {
        return r->job.threads * (s_.priorities ? kWeights[r->job.priority] : 1);
    };
    const auto computing = [](const Running* r) {
        return std::max(1 - r->job.io, 1e-3);
    };
    std::vector<Running*> open = active;
    double left = power;
    while (!open.empty()) {
        double weights = 0;
        for (const Running* r : open)
            weights += weight(r);
        std::vector<Running*> rest;
        double given = 0;
        for (Running* r : open) {
            const double fastest = r->job.threads * thread_speed, most = fastest * computing(r);
            if (left * weight(r) / weights >= most)
                r->rate = fastest, given += most;
            else
                rest.push_back(r);
        }
        if (given == 0) {
            for (Running* r : rest)
                r->rate = left * weight(r) / weights / computing(r);
            break;
        }
        left = std::max(0.0, left - given);
        open = std::move(rest);
    }
    double reading = 0;
    for (const Running* r : active)
        reading += r->rate * r->job.io;
    const double disks = s_.disks * s_.cores * s_.speed / slow_;
    disks_busy_ = std::min(1.0, reading / disks);
    if (reading > disks)
        for (Running* r : active)
            r->rate *= 1 - r->job.io + r->job.io * disks / reading;
}

std::optional<Micros> Machine::next_end() const {
    std::optional<Micros> next;
    for (const auto& [id, r] : jobs_)
        if (r.rate > 0) {
            const Micros at = now_ + static_cast<Micros>(std::ceil(r.left / r.rate));
            if (!next || at < *next)
                next = at;
        }
    if (next && warmth() < 1)
        next = std::min(*next, now_ + kWarmStep);
    return next;
}

void Machine::advance(Micros now) {
    while (now_ < now || rates_stale_) {
        if (rates_stale_)
            set_rates();
        if (now_ >= now)
            return;
        const Micros until = std::min(now, std::max(next_end().value_or(now), now_ + 1));
        const double span = static_cast<double>(until - now_);
        now_ = until;
        bool freed = warmth() < 1;
        for (auto it = jobs_.begin(); it != jobs_.end();) {
            Running& r = it->second;
            const double done = std::min(r.left, r.rate * span);
            r.left -= done;
            work_done_ += done;
            if (r.total <= 0 || r.left > 1e-6) {
                ++it;
                continue;
            }
            ended_.emplace_back(it->first, view_of(r));
            ended_.back().second.unseen = r.unseen;
            granted_ = std::max(0.0, granted_ - r.granted);
            it = jobs_.erase(it);
            freed = true;
        }
        if (freed)
            admit();
    }
}

void Machine::cancel(Micros now, JobId id) {
    advance(now);
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
        return;
    Running& r = found->second;
    if (!s_.cancel_stops && r.total > 0) {
        r.unseen = true;
        return;
    }
    if (r.total > 0)
        granted_ = std::max(0.0, granted_ - r.granted);
    std::erase(queue_, id);
    jobs_.erase(found);
    admit();
    advance(now);
}

std::vector<std::pair<Machine::JobId, View>> Machine::take_ended() {
    return std::exchange(ended_, {});
}

std::optional<View> Machine::view(JobId id) const {
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? std::nullopt : std::optional(view_of(found->second));
}

View Machine::view_of(const Running& r) const {
    View v;
    v.phase = r.total <= 0 ? Phase::for_memory : held_by_load(r) ? Phase::for_load : Phase::running;
    if (r.total > 0)
        v.progress = 1 - r.left / r.total, v.work_done = r.total - r.left;
    v.spilled_mb = r.total > 0 ? r.spilled_mb : 0;
    v.peak_mb = std::min(r.granted, r.job.need_mb);
    return v;
}

LoadReport Machine::report() const {
    LoadReport r;
    r.running_queries = static_cast<double>(jobs_.size());
    r.queue_depth = static_cast<double>(queue_.size());
    r.granted_memory_share = granted_ / s_.memory_mb;
    r.busy_disks_share = disks_busy_;
    return r;
}

}  // namespace gatetiller::engine
