#include "store/event_cursor.hpp"

namespace gatetiller::store {

EventCursor::EventCursor(Db& db)
    : statement_(db.prepare("SELECT life,request,attempt,engine,id,user,source,tags,created,ended,work,"
                            "peak_bytes,spilled_bytes,row_bytes,error FROM events "
                            "ORDER BY life,request,attempt,engine,id")) {
    next();
}

void EventCursor::next() {
    valid_ = statement_.step();
    if (!valid_)
        return;
    event_ = {};
    if (auto incarnation = statement_.column_text(0); !incarnation.empty())
        event_.attempt_tag = {std::move(incarnation), static_cast<std::uint32_t>(statement_.column_int64(1)),
                              static_cast<std::uint32_t>(statement_.column_int64(2))};
    event_.engine = statement_.column_text(3);
    event_.id = statement_.column_text(4);
    event_.user = statement_.column_text(5);
    event_.source = statement_.column_text(6);
    event_.tags = statement_.column_text(7);
    event_.created = statement_.column_int64(8);
    event_.ended = statement_.column_int64(9);
    event_.work = statement_.column_int64(10);
    event_.peak_bytes = statement_.column_int64(11);
    event_.spilled_bytes = statement_.column_int64(12);
    event_.row_bytes = statement_.column_int64(13);
    event_.error = statement_.column_text(14);
}

}  // namespace gatetiller::store
