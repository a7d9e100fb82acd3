// Reads the events of the engines' journals (one per completed query) in the order of their attempts.
#pragma once

#include "decide/settlement.hpp"
#include "store/db.hpp"

namespace gatetiller::store {

// Positioned on the first event after construction. Events without an attempt tag come first; the others are
// ordered by incarnation, request and attempt.
class EventCursor {
public:
    explicit EventCursor(Db& db);

    // Returns whether the cursor is on an event.
    bool valid() const {
        return valid_;
    }
    const decide::LoggedQuery& event() const {
        return event_;
    }
    void next();
    const StoreFailure& failure() const {
        return statement_.failure();
    }

private:
    Statement statement_;
    decide::LoggedQuery event_;
    bool valid_ = false;
};

}  // namespace gatetiller::store
