#include "front/active_statement.hpp"

#include <algorithm>

namespace gatetiller::front {

StatementAttempt::StatementAttempt(net::Loop& event_loop, AttemptListener& attempt_listener,
                                   ActiveStatement& owner, EngineId engine_id, Micros progress_period)
    : loop(event_loop),
      listener(attempt_listener),
      statement(owner),
      number(static_cast<int>(owner.attempts.size())),
      engine(engine_id),
      sent_at(event_loop.now()),
      progress(sent_at, progress_period) {}

StatementAttempt::~StatementAttempt() {
    loop.cancel(timeout_timer);
}

StatementAttempt* ActiveStatement::attempt_in_flight() {
    const auto found = std::find_if(attempts.rbegin(), attempts.rend(), [](const auto& attempt) {
        return attempt->in_lifecycle && !attempt->completed;
    });
    return found == attempts.rend() ? nullptr : found->get();
}

ActiveStatements::ActiveStatements(net::Loop& loop)
    : release_(loop, [this](const std::string& id) {
          by_id_.erase(id);
      }) {}

ActiveStatement& ActiveStatements::add(std::unique_ptr<ActiveStatement> statement) {
    auto& stored = by_id_[statement->id];
    stored = std::move(statement);
    return *stored;
}

ActiveStatement* ActiveStatements::find(const std::string& id) {
    const auto found = by_id_.find(id);
    return found == by_id_.end() ? nullptr : found->second.get();
}

std::vector<StatementAttempt*> ActiveStatements::sent_attempts_in_flight() {
    std::vector<StatementAttempt*> sent;
    for (const auto& [id, statement] : by_id_) {
        StatementAttempt* const attempt = statement->attempt_in_flight();
        if (attempt && attempt->call)
            sent.push_back(attempt);
    }
    return sent;
}

}  // namespace gatetiller::front
