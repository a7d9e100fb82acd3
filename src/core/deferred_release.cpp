#include "core/deferred_release.hpp"

#include <utility>

namespace gatetiller::core {

DeferredRelease::DeferredRelease(net::Loop& loop, ReleaseHandler release)
    : loop_(loop), release_(std::move(release)) {}

DeferredRelease::~DeferredRelease() {
    loop_.cancel(timer_);
}

void DeferredRelease::schedule(const std::string& id) {
    scheduled_.push_back(id);
    if (timer_ != 0)
        return;
    timer_ = loop_.after(0, [this] {
        release_all();
    });
}

void DeferredRelease::release_all() {
    timer_ = 0;
    for (const std::string& id : std::exchange(scheduled_, {}))
        release_(id);
}

}  // namespace gatetiller::core
