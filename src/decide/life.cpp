#include "decide/life.hpp"

namespace gatetiller::decide {

bool Life::may(Happening h) const {
    switch (h) {
        case Happening::sent:
            return phase_ == Phase::held && !out_;
        // An answer that is whole at the front is given page by page: its first rows change nothing any more.
        case Happening::rows_given:
            return phase_ == Phase::trying;
        case Happening::attempt_over:
            return out_;
        case Happening::answer:
            return phase_ == Phase::held || phase_ == Phase::trying || phase_ == Phase::flowing;
        case Happening::final_given:
            return phase_ == Phase::answered;
        case Happening::left:
            return phase_ != Phase::over;
    }
    return false;
}

bool Life::take(Happening h) {
    if (!may(h))
        return false;
    switch (h) {
        case Happening::sent:
            phase_ = Phase::trying, out_ = true;
            break;
        case Happening::rows_given:
            phase_ = Phase::flowing;
            break;
        case Happening::attempt_over:
            out_ = false;
            // Where rows have gone out only an answer can follow: the front's own, that they are not whole.
            if (phase_ == Phase::trying)
                phase_ = Phase::held;
            break;
        case Happening::answer:
            phase_ = Phase::answered;
            break;
        case Happening::final_given:
        case Happening::left:
            phase_ = Phase::over;
            break;
    }
    return true;
}

}  // namespace gatetiller::decide
