// roster: where a front's list of engines comes from: the configuration, a watched file, or an HTTP list
// polled with entity tags. All of them end in the same two calls: a whole list, or word that the source is
// lost.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "http/client.hpp"
#include "net/loop.hpp"

namespace gatetiller::discovery {

class Source {
public:
    struct Events {
        std::function<void(std::vector<config::EngineSettings>)>
            list;  // the whole list, only when it changed
        std::function<void(std::string why)>
            lost;  // once each time it can't be had; the last list stays in force
    };
    virtual ~Source() = default;
    virtual void start(Events events) = 0;
    virtual void ask() = 0;  // now, rather than when it is due
};

// Of the settings' source beside their own engines; nothing where there is none.
// `name` is the front's, told to an HTTP list as the user agent.
std::unique_ptr<Source> make_source(net::Loop& loop, const config::RosterSettings& settings,
                                    const std::string& name);

}  // namespace gatetiller::discovery
