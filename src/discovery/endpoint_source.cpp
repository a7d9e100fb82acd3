#include "discovery/endpoint_source.hpp"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace gatetiller::discovery {
namespace {

constexpr std::size_t kLargestList = 8 << 20;

// The whole file is read each time: a change of the time stamp alone is not to be trusted where a file is
// replaced twice within its resolution. A file that is being written reads as not JSON, and the last list
// stays.
class FileSource final : public Source {
public:
    FileSource(net::Loop& loop, std::string file, Micros every)
        : loop_(loop), file_(std::move(file)), every_(every) {}
    ~FileSource() override {
        loop_.cancel(timer_);
    }
    void start(Events events) override {
        events_ = std::move(events);
        look();
    }
    void ask() override {
        read();
    }

private:
    void look() {
        read();
        timer_ = loop_.after(every_, [this] {
            look();
        });
    }
    void read() {
        std::ifstream in(file_, std::ios::binary);
        std::ostringstream text;
        if (in)
            text << in.rdbuf();
        if (!in || text.str().size() > kLargestList)
            return lose(file_ + ": cannot be read: " + std::strerror(errno));
        if (!lost_ && text.str() == last_)
            return;
        auto list = config::read_engine_list(text.str(), file_);
        if (!list)
            return lose(list.error());
        last_ = text.str();
        lost_ = false;
        events_.list(std::move(*list));
    }
    void lose(std::string why) {
        if (!std::exchange(lost_, true))
            events_.lost(std::move(why));
    }

    net::Loop& loop_;
    std::string file_, last_;
    Micros every_;
    bool lost_ = false;
    Events events_;
    net::TimerId timer_ = 0;
};

class HttpSource final : public Source {
public:
    HttpSource(net::Loop& loop, net::Address server, std::string path, std::string name, Micros every)
        : loop_(loop),
          client_(loop, std::move(server), {.limits = {.body = kLargestList}}),
          path_(std::move(path)),
          name_(std::move(name)),
          every_(every) {}
    ~HttpSource() override {
        loop_.cancel(timer_);
    }
    void start(Events events) override {
        events_ = std::move(events);
        fetch();
    }
    void ask() override {
        if (call_.active())
            return;
        loop_.cancel(timer_);
        asked_ = true;
        fetch();
    }

private:
    void fetch() {
        http::Request get{"GET", path_, 1, {}, {}, {}};
        get.headers.add("User-Agent", "gatetiller/" + name_);
        if (!tag_.empty())
            get.headers.add("If-None-Match", tag_);
        call_ = client_.send(get, std::max(every_, kSecondMicros), [this](http::Answer a) {
            take(std::move(a));
        });
    }
    void take(http::Answer a) {
        timer_ = loop_.after(every_, [this] {
            fetch();
        });
        const bool asked = std::exchange(asked_, false);
        if (a.reached != http::Reached::answered)
            return lose(a.error, asked);
        if (a.response.status == 304) {
            if (std::exchange(lost_, false) || asked)
                events_.list(last_);
            return;
        }
        if (a.response.status != 200)
            return lose("status " + std::to_string(a.response.status), asked);
        auto list = config::read_engine_list(a.response.body, "http list " + path_);
        if (!list)
            return lose(list.error(), asked);
        tag_ = a.response.headers.find("ETag").value_or("");
        lost_ = false;
        last_ = *list;
        events_.list(std::move(*list));
    }
    void lose(std::string why, bool asked) {
        if (!std::exchange(lost_, true) || asked)
            events_.lost(std::move(why));
    }

    net::Loop& loop_;
    http::Client client_;
    std::string path_, name_, tag_;
    Micros every_;
    bool lost_ = false, asked_ = false;
    std::vector<config::EngineSettings> last_;
    Events events_;
    net::TimerId timer_ = 0;
    http::Client::Call call_;
};

}  // namespace

std::unique_ptr<Source> make_source(net::Loop& loop, const config::RosterSettings& s,
                                    const std::string& name) {
    if (s.http)
        return std::make_unique<HttpSource>(loop, *s.http, s.path, name, s.every);
    if (!s.file.empty())
        return std::make_unique<FileSource>(loop, s.file, s.every);
    return nullptr;
}

}  // namespace gatetiller::discovery
