// Result: a value, or an Error whose text says what failed, where, and what is allowed. No function throws.
// Reading the value of a failed Result is a programming error and is asserted.
#pragma once

#include <cassert>
#include <string>
#include <utility>
#include <variant>

namespace gatetiller {

struct Error {
    std::string text;
    int code = 0;  // errno of a failed system call; 0 for other failures
};

template <typename T>
class [[nodiscard]] Result {
public:
    Result(T value) : value_or_error_(std::in_place_index<0>, std::move(value)) {}
    Result(Error error) : value_or_error_(std::in_place_index<1>, std::move(error)) {}

    bool ok() const {
        return value_or_error_.index() == 0;
    }
    explicit operator bool() const {
        return ok();
    }
    T& operator*() {
        return assert(ok()), *std::get_if<0>(&value_or_error_);
    }
    const T& operator*() const {
        return assert(ok()), *std::get_if<0>(&value_or_error_);
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
        return assert(!ok()), *std::get_if<1>(&value_or_error_);
    }

private:
    std::variant<T, Error> value_or_error_;
};

}  // namespace gatetiller
