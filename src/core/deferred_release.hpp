// Releases objects, known by id, in a later turn of the loop. Callers that decide that a request is over
// still hold references to it further up the stack; releasing it at once would leave those dangling.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "net/loop.hpp"

namespace gatetiller::core {

// Invariant: a release never happens inside `schedule`. Ids still scheduled at destruction are not released.
class DeferredRelease {
public:
    // Releases the object of this id. It may be called more than once for an id that was scheduled more than
    // once, and must then do nothing.
    using ReleaseHandler = std::function<void(const std::string& id)>;

    DeferredRelease(net::Loop& loop, ReleaseHandler release);
    ~DeferredRelease();
    DeferredRelease(const DeferredRelease&) = delete;
    DeferredRelease& operator=(const DeferredRelease&) = delete;

    // Releases `id` in the next turn of the loop, together with all that are scheduled until then.
    void schedule(const std::string& id);

private:
    void release_all();

    net::Loop& loop_;
    ReleaseHandler release_;
    std::vector<std::string> scheduled_;
    net::TimerId timer_ = 0;
};

}  // namespace gatetiller::core
