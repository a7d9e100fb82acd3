// Releases objects, identified by an id, in a later turn of the event loop. The caller that ends a request
// still has references to it further up the stack; releasing it immediately would leave them dangling.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "net/loop.hpp"

namespace gatetiller::core {

// Invariant: `schedule` never releases an object itself. Ids still scheduled at destruction are not released.
class DeferredRelease {
public:
    // Releases the object with this id. An id that was scheduled several times may be passed several times;
    // all calls after the first must have no effect.
    using ReleaseHandler = std::function<void(const std::string& id)>;

    DeferredRelease(net::Loop& loop, ReleaseHandler release);
    ~DeferredRelease();
    DeferredRelease(const DeferredRelease&) = delete;
    DeferredRelease& operator=(const DeferredRelease&) = delete;

    // Releases `id` in the next turn of the loop, together with all ids scheduled before then.
    void schedule(const std::string& id);

private:
    void release_all();

    net::Loop& loop_;
    ReleaseHandler release_;
    std::vector<std::string> scheduled_;
    net::TimerId timer_ = 0;
};

}  // namespace gatetiller::core
