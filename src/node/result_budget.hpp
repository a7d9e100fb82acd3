// A limit on the memory of results whose pages are still arriving from engines.
//
// An engine sends the first page of a result unasked, the others once they are requested. They are requested
// only when the result has a reservation for all of them, so that the pages of all results stay within the
// limit, however many clients ask for large results at once. Results without one wait in the order of their
// first pages. Invariant: a result larger than the limit gets its reservation when no other has one, so that
// waiting always ends.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>

#include "net/loop.hpp"

namespace gatetiller::node {

class ResultBudget {
public:
    // The part of one result, from its request until the result is complete or no longer wanted. Destroying
    // it returns the bytes, or ends the wait for them.
    class Reservation {
    public:
        Reservation() = default;
        ~Reservation() {
            release();
        }
        Reservation(const Reservation&) = delete;
        Reservation& operator=(const Reservation&) = delete;

        void release();

    private:
        friend class ResultBudget;
        ResultBudget* budget_ = nullptr;  // null: it neither holds bytes nor waits
        std::size_t bytes_ = 0;
        std::function<void()> on_granted_;  // empty once it is granted
    };

    // The loop must outlive the budget, and the budget all reservations.
    explicit ResultBudget(net::Loop& loop) : loop_(loop) {}
    ~ResultBudget() {
        loop_.cancel(serve_timer_);
    }
    ResultBudget(const ResultBudget&) = delete;
    ResultBudget& operator=(const ResultBudget&) = delete;

    // `limit`: bytes of all results together.
    void set_limit(std::size_t limit);
    // Reserves `bytes`, and calls `on_granted` once they are available: in this call or in a later turn.
    // Precondition: the reservation neither holds bytes nor waits.
    void reserve(Reservation& reservation, std::size_t bytes, std::function<void()> on_granted);

    // Bytes reserved by all results.
    std::size_t reserved_bytes() const {
        return reserved_bytes_;
    }
    // Results that had to wait since the start.
    std::uint64_t waited() const {
        return waited_;
    }

private:
    void release(Reservation& reservation);
    bool fits(std::size_t bytes) const;
    void schedule_serving();
    void serve();

    net::Loop& loop_;
    std::size_t limit_ = std::numeric_limits<std::size_t>::max();
    std::size_t reserved_bytes_ = 0;
    std::uint64_t waited_ = 0;
    std::list<Reservation*> waiting_;
    net::TimerId serve_timer_ = 0;
};

}  // namespace gatetiller::node
