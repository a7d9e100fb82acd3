#include "node/exchange_queue.hpp"

#include <algorithm>
#include <utility>

namespace gatetiller::node {

ExchangeQueue::~ExchangeQueue() {
    while (!waiting_.empty())
        remove(*waiting_.front());
}

void ExchangeQueue::add(Exchange& exchange) {
    ++pool_.waited;
    exchange.queue_ = this;
    waiting_.push_back(&exchange);
    exchange.wait_timer_ = loop_.after(max_wait_, [this, &exchange] {
        exchange.wait_timer_ = 0;
        ++pool_.wait_timeouts;
        end(&exchange, "no connection to the engine could be opened within the limit on connections in time");
    });
}

void ExchangeQueue::remove(Exchange& exchange) {
    loop_.cancel(std::exchange(exchange.wait_timer_, 0));
    exchange.queue_ = nullptr;
    std::erase(waiting_, &exchange);
}

void ExchangeQueue::end(Exchange* exchange, const char* reason) {
    if (std::find(waiting_.begin(), waiting_.end(), exchange) == waiting_.end())
        return;
    remove(*exchange);
    decide::ExchangeResult result;
    result.status = decide::ExchangeResult::Status::not_sent;
    result.detail = reason;
    exchange->events_.on_end(std::move(result));  // may destroy the exchange
}

void ExchangeQueue::end_all(const char* reason) {
    while (!waiting_.empty())
        end(waiting_.front(), reason);
}

}  // namespace gatetiller::node
