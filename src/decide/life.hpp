// The life of one statement at a front, from its taking to the moment nothing of it is left: one small state
// machine, so that what may happen when stands in one place. The module decides what is done; this keeps the
// doing straight.
#pragma once

#include <cstdint>

namespace gatetiller::decide {

enum class Phase : std::uint8_t {
    held,      // no attempt is out: the module holds it
    trying,    // an attempt is out, no row has gone to the client
    flowing,   // rows have gone to the client, the attempt is still out: nothing is tried again
    answered,  // the final document waits for the client
    over,      // the client has its final document, or has left
};

enum class Happening : std::uint8_t {
    sent,          // an attempt went out
    rows_given,    // a document with rows goes to the client for the first time
    attempt_over,  // the attempt ended without an answer for the client
    answer,        // the final document is at hand: an engine's, or this front's own
    final_given,   // the client got it
    left,          // the client cancelled, or stopped asking
};

class Life {
public:
    Phase phase() const {
        return phase_;
    }
    // Whether it may happen now. What may not is passed over by take(), which says so.
    bool may(Happening h) const;
    bool take(Happening h);

    bool out() const {
        return out_;
    }  // an attempt is out; may be so after the end, where it can't be called off
    bool finished() const {
        return phase_ == Phase::answered || phase_ == Phase::over;
    }
    bool freeable() const {
        return phase_ == Phase::over && !out_;
    }

private:
    Phase phase_ = Phase::held;
    bool out_ = false;
};

}  // namespace gatetiller::decide
