// Reads values out of evaluated configuration, keeping track of where each came from: unknown keys, wrong
// kinds of values, missing ones and words that aren't allowed become messages with a file, a line and what
// would be right.
#pragma once

#include <functional>
#include <initializer_list>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace gatetiller::config {

// The line of the template on which the value at this path stands, or that of the deepest part of it that is
// found; 1 where nothing is. Values that a function or a library made are found at the place that names their
// parents.
int line_of(const std::string& source, const std::vector<std::string>& path);
// The one of `known` that is nearest to a mistyped word; empty if none is near.
std::string nearest(const std::string& word, const std::vector<std::string>& known);

class Mistakes {
public:
    Mistakes(std::string file, std::string source) : file_(std::move(file)), source_(std::move(source)) {}
    void add(const std::vector<std::string>& path, const std::string& what);
    bool none() const {
        return texts_.empty();
    }
    std::string text() const;

private:
    std::string file_, source_;
    std::vector<std::string> texts_;
};

// One object of the configuration. Each getter marks its key as known and changes its target only where the
// key is present and right. close() complains of the keys that nobody asked for.
class Reader {
public:
    Reader(const nlohmann::json& value, std::vector<std::string> path, Mistakes& mistakes);

    bool has(const std::string& key) const;
    void text(const std::string& key, std::string& to);
    void texts(const std::string& key, std::vector<std::string>& to);
    void counts(const std::string& key, std::vector<std::size_t>& to);  // [0, 2]
    void flag(const std::string& key, bool& to);
    void span(const std::string& key, Micros& to);        // '20ms'
    void bytes(const std::string& key, std::size_t& to);  // '16MiB'
    void megabytes(const std::string& key, double& to);   // the same, in MB of 2^20
    void number(const std::string& key, double& to, double least, double most);
    void numbers(const std::string& key, std::map<std::string, double>& to, double least,
                 double most);  // { name: number }
    template <typename T>
    void count(const std::string& key, T& to, double least, double most) {
        double value = static_cast<double>(to);
        number(key, value, least, most);
        if (value != static_cast<double>(static_cast<long long>(value)))
            wrong(key, "must be a whole number");
        else
            to = static_cast<T>(value);
    }
    template <typename T>
    void word(const std::string& key, T& to, std::initializer_list<std::pair<const char*, T>> allowed) {
        std::string given;
        if (!has(key))
            return note(key);
        text(key, given);
        std::string names;
        for (const auto& [name, value] : allowed) {
            if (given == name)
                return void(to = value);
            names += (names.empty() ? "'" : ", '") + std::string(name) + "'";
        }
        wrong(key, "'" + given + "' is not one of " + names);
    }
    void raw(const std::string& key) {
        note(key);
    }  // read elsewhere
    // Objects inside: one, or each of a map from names, or each of an array (named "0", "1" ...).
    void object(const std::string& key, const std::function<void(Reader&)>& read);
    void each(const std::string& key, const std::function<void(const std::string&, Reader&)>& read);
    void required(std::initializer_list<const char*> keys);
    void wrong(const std::string& key, const std::string& what);
    void close();

private:
    const nlohmann::json* find(const std::string& key);
    void note(const std::string& key) {
        known_.insert(key);
    }
    std::vector<std::string> at(const std::string& key) const;

    const nlohmann::json& value_;
    std::vector<std::string> path_;
    Mistakes& mistakes_;
    std::set<std::string> known_;
};

}  // namespace gatetiller::config
