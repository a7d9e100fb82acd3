#include "discovery/endpoint_source.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>
#include <utility>

namespace gatetiller::discovery {
namespace {

constexpr std::size_t kMaxListBytes = 8 << 20;
constexpr Micros kMinFetchTimeout = kSecondMicros;
constexpr int kStatusOk = 200;
constexpr int kStatusNotModified = 304;

// Reads the complete file at each poll: its modification time doesn't distinguish two replacements within the
// resolution of the clock. A file that is being written fails to parse, and the last list remains in effect.
class FileEndpointSource final : public EndpointSource {
public:
    FileEndpointSource(net::Loop& loop, std::string file, Micros poll_interval)
        : loop_(loop), file_(std::move(file)), poll_interval_(poll_interval) {}
    ~FileEndpointSource() override {
        loop_.cancel(poll_timer_);
    }

    void start(Events events) override {
        events_ = std::move(events);
        poll_periodically();
    }

    void poll() override {
        std::ifstream stream(file_, std::ios::binary);
        std::ostringstream text;
        if (stream)
            text << stream.rdbuf();
        if (!stream || text.str().size() > kMaxListBytes)
            return on_failure(file_ + ": cannot be read: " + std::strerror(errno));
        if (available_ && text.str() == last_text_)
            return;
        auto list = config::read_engine_list(text.str(), file_);
        if (!list)
            return on_failure(list.error());
        last_text_ = text.str();
        available_ = true;
        events_.on_list(std::move(*list));
    }

private:
    void poll_periodically() {
        poll();
        poll_timer_ = loop_.after(poll_interval_, [this] {
            poll_periodically();
        });
    }

    void on_failure(std::string reason) {
        if (std::exchange(available_, false))
            events_.on_unavailable(std::move(reason));
    }

    net::Loop& loop_;
    std::string file_;
    std::string last_text_;
    Micros poll_interval_;
    bool available_ = true;
    Events events_;
    net::TimerId poll_timer_ = 0;
};

class HttpEndpointSource final : public EndpointSource {
public:
    HttpEndpointSource(net::Loop& loop, net::Address server, std::string path, std::string instance_name,
                       Micros poll_interval)
        : loop_(loop),
          client_(loop, std::move(server), {.limits = {.body = kMaxListBytes}}),
          path_(std::move(path)),
          instance_name_(std::move(instance_name)),
          poll_interval_(poll_interval) {}
    ~HttpEndpointSource() override {
        loop_.cancel(poll_timer_);
    }

    void start(Events events) override {
        events_ = std::move(events);
        fetch();
    }

    void poll() override {
        if (fetch_in_flight_.active())
            return;
        loop_.cancel(poll_timer_);
        poll_requested_ = true;
        fetch();
    }

private:
    void fetch() {
        http::Request request{"GET", path_, 1, {}, {}, {}};
        request.headers.add("User-Agent", "gatetiller/" + instance_name_);
        if (!entity_tag_.empty())
            request.headers.add("If-None-Match", entity_tag_);
        fetch_in_flight_ = client_.send(request, std::max(poll_interval_, kMinFetchTimeout),
                                        [this](const http::Answer& result) {
                                            on_response(result);
                                        });
    }

    void on_response(const http::Answer& result) {
        poll_timer_ = loop_.after(poll_interval_, [this] {
            fetch();
        });
        const bool requested = std::exchange(poll_requested_, false);
        if (result.outcome != http::CallOutcome::answered)
            return on_failure(result.error, requested);
        if (result.response.status == kStatusNotModified) {
            const bool was_available = std::exchange(available_, true);
            if (!was_available || requested)
                events_.on_list(last_list_);
            return;
        }
        if (result.response.status != kStatusOk)
            return on_failure("HTTP status " + std::to_string(result.response.status), requested);
        auto list = config::read_engine_list(result.response.body, "HTTP list " + path_);
        if (!list)
            return on_failure(list.error(), requested);
        entity_tag_ = result.response.headers.find("ETag").value_or("");
        available_ = true;
        last_list_ = *list;
        events_.on_list(std::move(*list));
    }

    void on_failure(std::string reason, bool requested) {
        const bool was_available = std::exchange(available_, false);
        if (was_available || requested)
            events_.on_unavailable(std::move(reason));
    }

    net::Loop& loop_;
    http::Client client_;
    std::string path_;
    std::string instance_name_;
    std::string entity_tag_;
    Micros poll_interval_;
    bool available_ = true;
    bool poll_requested_ = false;  // by poll(), which is answered even if the list is unchanged
    std::vector<config::EngineSettings> last_list_;
    Events events_;
    net::TimerId poll_timer_ = 0;
    http::Client::Call fetch_in_flight_;
};

}  // namespace

std::unique_ptr<EndpointSource> make_endpoint_source(net::Loop& loop, const config::RosterSettings& settings,
                                                     const std::string& instance_name) {
    if (settings.http)
        return std::make_unique<HttpEndpointSource>(loop, *settings.http, settings.path, instance_name,
                                                    settings.every);
    if (!settings.file.empty())
        return std::make_unique<FileEndpointSource>(loop, settings.file, settings.every);
    return nullptr;
}

}  // namespace gatetiller::discovery
