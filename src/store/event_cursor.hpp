// Reads the events of the engines' journals (one event a completed query) in the order of their attempts.
#pragma once

#include "decide/settlement.hpp"
#include "store/db.hpp"

namespace gatetiller::store {

// Stands on the first event when it is made. Events that name no attempt come first; then the order is that
// of incarnation, request and attempt.
class EventCursor {
public:
    explicit EventCursor(Db& db);

    // Whether the cursor stands on an event.
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
