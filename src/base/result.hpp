// Result: a value, or an Error whose text says what failed, where, and what would be right. Nothing here
// throws; reading the value of a failed Result is a programming error and asserted.
#pragma once

#include <cassert>
#include <string>
#include <utility>
#include <variant>

namespace gatetiller {

struct Error {
    std::string text;
    int code = 0;  // errno, where a system call failed; 0: it was something else
};

template <typename T>
class [[nodiscard]] Result {
public:
    Result(T value) : held_(std::in_place_index<0>, std::move(value)) {}
    Result(Error error) : held_(std::in_place_index<1>, std::move(error)) {}

    bool ok() const {
        return held_.index() == 0;
    }
    explicit operator bool() const {
        return ok();
    }
    T& operator*() {
        return assert(ok()), *std::get_if<0>(&held_);
    }
    const T& operator*() const {
        return assert(ok()), *std::get_if<0>(&held_);
    }
    T* operator->() {
        return &**this;
    }
    const T* operator->() const {
        return &**this;
    }
    const std::string& error() const {
        return failure().text;
    }
    const Error& failure() const {
        return assert(!ok()), *std::get_if<1>(&held_);
    }

private:
    std::variant<T, Error> held_;
};

}  // namespace gatetiller
