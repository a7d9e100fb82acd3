#include "config/reader.hpp"

#include <algorithm>
#include <cmath>

#include "base/units.hpp"

namespace gatetiller::config {
namespace {

// Walks through Jsonnet text and tells of every `key:` with the keys around it. Comments and strings are
// passed over; elements of arrays count as keys "0", "1" ...
class Walker {
public:
    explicit Walker(const std::string& source) : s_(source) {}

    template <typename OnKey>
    void walk(OnKey on_key) {
        struct Level {
            char open;
            std::string key;
            int element = 0;
        };
        std::vector<Level> levels;
        std::string word;  // what may turn out to be a key
        bool element_begins = false;
        while (at_ < s_.size()) {
            const char c = s_[at_];
            if (c == '\n')
                ++line_;
            if (skip_comment())
                continue;
            if (element_begins && !std::isspace(static_cast<unsigned char>(c)))
                element_begins = false, tell(levels, on_key);
            if (c == '"' || c == '\'') {
                word = string(c);
                continue;
            }
            if (s_.compare(at_, 3, "|||") == 0) {
                skip_block();
                continue;
            }
            if (std::isalpha(static_cast<unsigned char>(c)) || c == '_') {
                const std::size_t from = at_;
                while (at_ < s_.size() &&
                       (std::isalnum(static_cast<unsigned char>(s_[at_])) || s_[at_] == '_'))
                    ++at_;
                word = s_.substr(from, at_ - from);
                continue;
            }
            if (c == '{' || c == '[' || c == '(') {
                levels.push_back({c, ""});
                if (c == '[')
                    levels.back().key = "0", element_begins = true;
            } else if ((c == '}' || c == ']' || c == ')') && !levels.empty()) {
                levels.pop_back();
            } else if (c == ':' && !levels.empty() && levels.back().open == '{' && !word.empty()) {
                levels.back().key = word;
                tell(levels, on_key);
            } else if (c == ',' && !levels.empty() && levels.back().open == '[') {
                levels.back().key = std::to_string(++levels.back().element);
                element_begins = true;
            }
            if (c != ' ' && c != '+' && c != '\n')
                word.clear();
            ++at_;
        }
    }

private:
    template <typename Levels, typename OnKey>
    void tell(const Levels& levels, OnKey on_key) {
        std::vector<std::string> path;
        for (const auto& level : levels)
            if (!level.key.empty() && level.open != '(')
                path.push_back(level.key);
        on_key(path, line_);
    }
    bool skip_comment() {
        if (s_[at_] == '#' || s_.compare(at_, 2, "//") == 0) {
            while (at_ < s_.size() && s_[at_] != '\n')
                ++at_;
            return true;
        }
        if (s_.compare(at_, 2, "/*") != 0)
            return false;
        const std::size_t end = std::min(s_.find("*/", at_ + 2), s_.size());
        line_ += static_cast<int>(
            std::count(s_.begin() + static_cast<long>(at_), s_.begin() + static_cast<long>(end), '\n'));
        at_ = std::min(end + 2, s_.size());
        return true;
    }
    std::string string(char quote) {
        std::string text;
        for (++at_; at_ < s_.size() && s_[at_] != quote; ++at_) {
            if (s_[at_] == '\\' && at_ + 1 < s_.size())
                ++at_;
            if (s_[at_] == '\n')
                ++line_;
            text += s_[at_];
        }
        ++at_;
        return text;
    }
    void skip_block() {
        const std::size_t end = std::min(s_.find("|||", at_ + 3), s_.size());
        line_ += static_cast<int>(
            std::count(s_.begin() + static_cast<long>(at_), s_.begin() + static_cast<long>(end), '\n'));
        at_ = std::min(end + 3, s_.size());
    }

    const std::string& s_;
    std::size_t at_ = 0;
    int line_ = 1;
};

std::string joined(const std::vector<std::string>& path) {
    std::string text;
    for (const auto& part : path)
        text += (text.empty() ? "" : ".") + part;
    return text;
}

}  // namespace

int line_of(const std::string& source, const std::vector<std::string>& path) {
    int line = 1;
    std::size_t best = 0;
    Walker(source).walk([&](const std::vector<std::string>& keys, int at) {
        // The path's parts in order, among the keys around this place: functions and local names may stand
        // between.
        std::size_t n = 0;
        for (const auto& key : keys)
            if (n < path.size() && key == path[n])
                ++n;
        const bool here = n > 0 && keys.back() == path[n - 1];
        if (here && n > best)
            best = n, line = at;
    });
    return line;
}

std::string nearest(const std::string& word, const std::vector<std::string>& known) {
    std::string best;
    std::size_t least = 3;
    for (const std::string& k : known) {
        std::vector<std::size_t> row(k.size() + 1);
        for (std::size_t j = 0; j <= k.size(); ++j)
            row[j] = j;
        for (std::size_t i = 1; i <= word.size(); ++i) {
            std::size_t corner = std::exchange(row[0], i);
            for (std::size_t j = 1; j <= k.size(); ++j) {
                const std::size_t change = corner + (word[i - 1] != k[j - 1]);
                corner = row[j];
                row[j] = std::min({row[j] + 1, row[j - 1] + 1, change});
            }
        }
        if (row[k.size()] < least)
            least = row[k.size()], best = k;
    }
    return best;
}

void Mistakes::add(const std::vector<std::string>& path, const std::string& what) {
    texts_.push_back(file_ + ":" + std::to_string(line_of(source_, path)) + ": " +
                     (path.empty() ? "" : joined(path) + ": ") + what);
}

std::string Mistakes::text() const {
    std::string all;
    for (const auto& t : texts_)
        all += (all.empty() ? "" : "\n") + t;
    return all;
}

Reader::Reader(const nlohmann::json& value, std::vector<std::string> path, Mistakes& mistakes)
    : value_(value), path_(std::move(path)), mistakes_(mistakes) {
    if (!value_.is_object())
        mistakes_.add(path_, "must be an object { ... }");
}

std::vector<std::string> Reader::at(const std::string& key) const {
    auto path = path_;
    if (!key.empty())
        path.push_back(key);
    return path;
}

void Reader::wrong(const std::string& key, const std::string& what) {
    mistakes_.add(at(key), what);
}

bool Reader::has(const std::string& key) const {
    return value_.is_object() && value_.contains(key) && !value_[key].is_null();
}

const nlohmann::json* Reader::find(const std::string& key) {
    note(key);
    return has(key) ? &value_[key] : nullptr;
}

void Reader::text(const std::string& key, std::string& to) {
    const auto* v = find(key);
    if (!v)
        return;
    if (!v->is_string())
        return wrong(key, "must be text in quotes, not " + v->dump());
    to = v->get<std::string>();
}

void Reader::texts(const std::string& key, std::vector<std::string>& to) {
    const auto* v = find(key);
    if (!v)
        return;
    const bool right = v->is_array() && std::all_of(v->begin(), v->end(), [](const auto& x) {
                           return x.is_string();
                       });
    if (!right)
        return wrong(key, "must be an array of texts, such as ['a', 'b']");
    to = v->get<std::vector<std::string>>();
}

void Reader::counts(const std::string& key, std::vector<std::size_t>& to) {
    const auto* v = find(key);
    if (!v)
        return;
    const bool right = v->is_array() && std::all_of(v->begin(), v->end(), [](const auto& x) {
                           return x.is_number_integer() && x.template get<long long>() >= 0;
                       });
    if (!right)
        return wrong(key, "must be an array of whole numbers, such as [0, 2]");
    to = v->get<std::vector<std::size_t>>();
}

void Reader::flag(const std::string& key, bool& to) {
    const auto* v = find(key);
    if (!v)
        return;
    if (!v->is_boolean())
        return wrong(key, "must be true or false, not " + v->dump());
    to = v->get<bool>();
}

void Reader::span(const std::string& key, Micros& to) {
    const auto* v = find(key);
    if (!v)
        return;
    if (!v->is_string())
        return wrong(key, "must be a time with its unit, such as '750ms', not " + v->dump());
    const auto parsed = parse_duration(v->get<std::string>());
    if (!parsed)
        return wrong(key, parsed.error());
    to = *parsed;
}

void Reader::bytes(const std::string& key, std::size_t& to) {
    const auto* v = find(key);
    if (!v)
        return;
    if (!v->is_string())
        return wrong(key, "must be a size with its unit, such as '16MiB', not " + v->dump());
    const auto parsed = parse_bytes(v->get<std::string>());
    if (!parsed)
        return wrong(key, parsed.error());
    to = static_cast<std::size_t>(*parsed);
}

void Reader::megabytes(const std::string& key, double& to) {
    std::size_t size = 0;
    bytes(key, size);
    if (size > 0)
        to = static_cast<double>(size) / 1048576.0;
}

void Reader::number(const std::string& key, double& to, double least, double most) {
    const auto* v = find(key);
    if (!v)
        return;
    if (!v->is_number())
        return wrong(key, "must be a number, not " + v->dump());
    const double given = v->get<double>();
    if (!(given >= least && given <= most)) {
        const auto plain = [](double x) {
            return nlohmann::json(x).dump();
        };
        return wrong(key, v->dump() + " is out of range: " + plain(least) + " to " + plain(most));
    }
    to = given;
}

void Reader::numbers(const std::string& key, std::map<std::string, double>& to, double least, double most) {
    object(key, [&](Reader& inner) {
        for (const auto& item : inner.value_.items())
            inner.number(item.key(), to[item.key()], least, most);
    });
}

void Reader::object(const std::string& key, const std::function<void(Reader&)>& read) {
    const auto* v = find(key);
    if (!v)
        return;
    Reader inner(*v, at(key), mistakes_);
    if (!v->is_object())
        return;
    read(inner);
    inner.close();
}

void Reader::each(const std::string& key, const std::function<void(const std::string&, Reader&)>& read) {
    const auto* v = find(key);
    if (!v)
        return;
    if (!v->is_object() && !v->is_array())
        return wrong(key, "must be an object or an array");
    int n = 0;
    for (const auto& item : v->items()) {
        auto path = at(key);
        path.push_back(v->is_array() ? std::to_string(n++) : item.key());
        Reader inner(item.value(), path, mistakes_);
        if (!item.value().is_object())
            continue;
        read(path.back(), inner);
        inner.close();
    }
}

void Reader::required(std::initializer_list<const char*> keys) {
    for (const char* key : keys) {
        note(key);
        if (!has(key))
            mistakes_.add(path_, std::string("'") + key + "' is missing");
    }
}

void Reader::close() {
    if (!value_.is_object())
        return;
    const std::vector<std::string> known(known_.begin(), known_.end());
    for (const auto& item : value_.items()) {
        if (known_.contains(item.key()))
            continue;
        const std::string near = nearest(item.key(), known);
        std::string all;
        for (const auto& k : known)
            all += (all.empty() ? "" : ", ") + k;
        wrong(item.key(),
              "unknown key; " + (near.empty() ? "known are: " + all : "did you mean '" + near + "'?"));
    }
}

}  // namespace gatetiller::config
