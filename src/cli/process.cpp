#include "cli/process.hpp"

#include <fcntl.h>
#include <spdlog/sinks/base_sink.h>
#include <sys/random.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <mutex>

#include "net/system_error.hpp"

namespace gatetiller::cli {
namespace {

constexpr Micros kStartAgain = 50 * kMillisecond;

const std::vector<int>& service_signals() {
    static const std::vector<int> signals{SIGTERM, SIGINT, SIGHUP};
    return signals;
}

class LogSink final : public spdlog::sinks::base_sink<std::mutex> {
public:
    explicit LogSink(std::shared_ptr<LogOutput> output) : output_(std::move(output)) {}

private:
    void sink_it_(const spdlog::details::log_msg& message) override {
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        output_->write({line.data(), line.size()});
    }
    void flush_() override {
        output_->flush();
    }

    std::shared_ptr<LogOutput> output_;
};

// From the kernel's generator, however it can be had.
bool fill_random(unsigned char* bytes, std::size_t size) {
    std::size_t got = 0;
    while (got < size) {
        const ssize_t n = ::getrandom(bytes + got, size - got, 0);
        if (n > 0)
            got += static_cast<std::size_t>(n);
        else if (n < 0 && errno != EINTR)
            break;
    }
    if (got == size)
        return true;
    const int fd = ::open("/dev/urandom", O_RDONLY | O_CLOEXEC);
    while (fd >= 0 && got < size) {
        const ssize_t n = ::read(fd, bytes + got, size - got);
        if (n > 0)
            got += static_cast<std::size_t>(n);
        else if (n == 0 || errno != EINTR)
            break;
    }
    if (fd >= 0)
        ::close(fd);
    return got == size;
}

}  // namespace

void prepare_process() {
    std::signal(SIGPIPE, SIG_IGN);
    net::block_signals(service_signals());
}

void restore_default_signals() {
    sigset_t set;
    sigemptyset(&set);
    for (const int s : service_signals())
        sigaddset(&set, s);
    pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
}

Log make_logger(const std::string& format, const std::string& level) {
    Log log;
    log.output = std::make_shared<LogOutput>(STDERR_FILENO);
    log.logger = std::make_shared<spdlog::logger>("gatetiller", std::make_shared<LogSink>(log.output));
    // In JSON each message is itself a list of members, so that one line is one object.
    log.logger->set_pattern(format == "json" ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})"
                                             : "%Y-%m-%d %H:%M:%S.%e %l %v",
                            spdlog::pattern_time_type::utc);
    log.logger->set_level(spdlog::level::from_str(level));
    return log;
}

void say_line(const std::string& line) {
    LogOutput out(STDOUT_FILENO);
    out.write(line + "\n");
}

std::string entropy() {
    unsigned char bytes[16];
    if (!fill_random(bytes, sizeof bytes))
        std::abort();  // slugs that can be guessed would be worse
    std::string hex;
    for (const unsigned char b : bytes) {
        hex += "0123456789abcdef"[b >> 4];
        hex += "0123456789abcdef"[b & 15];
    }
    return hex;
}

std::uint64_t random_seed() {
    std::uint64_t seed = 0;
    if (!fill_random(reinterpret_cast<unsigned char*>(&seed), sizeof seed))
        std::abort();
    return seed;
}

StartRetry::StartRetry(net::PollLoop& loop, spdlog::logger& log, Micros patience)
    : loop_(loop), log_(log), until_(loop.now() + patience) {}

bool StartRetry::wait(const Error& error) {
    if (!net::is_transient_startup_error(error.code) || loop_.now() >= until_)
        return false;
    if (!std::exchange(told_, true))
        log_.warn(error.text + ": tried again");
    bool over = false;
    const auto timer = loop_.after(kStartAgain, [&over] {
        over = true;
    });
    while (!over && !loop_.stopped())
        loop_.turn(kStartAgain);
    loop_.cancel(timer);
    return !loop_.stopped();
}

std::size_t raise_open_files() {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return 0;
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur;
}

}  // namespace gatetiller::cli
