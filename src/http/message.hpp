// http: HTTP/1.1 (RFC 9112): messages, an incremental parser, a server and a client with pooled connections.
// It is independent of statements. This file defines messages as plain data.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/text.hpp"

namespace gatetiller::http {

class Headers {
public:
    void add(std::string name, std::string value) {
        fields_.emplace_back(std::move(name), std::move(value));
    }
    // Returns the first field with this name, ignoring case.
    std::optional<std::string_view> find(std::string_view name) const {
        for (const auto& [key, value] : fields_)
            if (equals_ignore_case(key, name))
                return value;
        return std::nullopt;
    }
    // Returns the field with this name, ignoring case, or nullopt if it occurs more than once.
    std::optional<std::string_view> find_only(std::string_view name) const {
        return count(name) == 1 ? find(name) : std::nullopt;
    }
    std::size_t count(std::string_view name) const {
        std::size_t n = 0;
        for (const auto& field : fields_)
            n += equals_ignore_case(field.first, name);
        return n;
    }
    void clear() {
        fields_.clear();
    }
    std::size_t size() const {
        return fields_.size();
    }
    auto begin() const {
        return fields_.begin();
    }
    auto end() const {
        return fields_.end();
    }
    friend bool operator==(const Headers&, const Headers&) = default;

private:
    std::vector<std::pair<std::string, std::string>> fields_;
};

struct Request {
    std::string method = "GET";
    std::string target = "/";
    int minor = 1;  // HTTP/1.minor
    Headers headers;
    std::string body;
    std::string peer;  // address of the client; set by the server
};

struct Response {
    int status = 200;
    Headers headers;
    std::string body;
};

std::string_view reason_phrase(int status);

// Returns the serialized message. Content-Length is set here, never by the caller; `close` adds
// Connection: close.
std::string write(const Request& request, std::string_view host);
std::string write(const Response& response, bool close, bool head_only);

}  // namespace gatetiller::http
