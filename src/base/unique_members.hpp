// Detects members that occur twice in one object of a JSON text. RFC 8259 leaves open which of the two
// counts, so such a text is rejected.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gatetiller {

// A callback for nlohmann::json::parse, to be passed by std::ref.
class UniqueMembers {
public:
    using Event = nlohmann::json::parse_event_t;

    bool operator()(int, Event event, nlohmann::json& parsed) {
        if (event == Event::object_start)
            names_.emplace_back();
        else if (event == Event::object_end)
            names_.pop_back();
        else if (event == Event::key)
            add(parsed.get<std::string>());
        return true;
    }
    // Returns the name of the first member that occurred twice; nothing if there was none.
    const std::optional<std::string>& repeated() const {
        return repeated_;
    }

private:
    void add(std::string name) {
        if (!names_.back().insert(name).second && !repeated_)
            repeated_ = std::move(name);
    }

    std::vector<std::set<std::string>> names_;  // of the objects that are not complete yet
    std::optional<std::string> repeated_;
};

}  // namespace gatetiller
