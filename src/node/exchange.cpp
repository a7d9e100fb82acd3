#include "node/exchange.hpp"

#include "node/engine_connection.hpp"
#include "node/exchange_queue.hpp"

namespace gatetiller::node {

Exchange::~Exchange() {
    if (queue_)
        queue_->remove(*this);
    if (connection_ && !reset_partial())
        connection_->cancel(*this);
}

void Exchange::set_priority(int level) {
    if (connection_ && !pages_.started())
        connection_->set_priority(*this, level);
}

bool Exchange::withdraw_unsent() {
    if (queue_) {
        queue_->remove(*this);
        return true;
    }
    return connection_ && connection_->withdraw_unsent(*this);
}

bool Exchange::reset_partial() {
    return withdraw_unsent() || (connection_ && connection_->reset_partial(*this));
}

bool Exchange::discard_unacknowledged() {
    return connection_ && connection_->discard_unacknowledged(*this);
}

std::string Exchange::describe() const {
    if (queue_)
        return "waiting for a connection";
    return connection_ ? connection_->describe(*this) : "over";
}

}  // namespace gatetiller::node
