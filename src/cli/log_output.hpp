// Where log lines go: a descriptor that may be a pipe which nobody reads. Writing never waits: what can't be
// written now is kept up to a bound, and lost and counted past it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace gatetiller::cli {

class LogOutput {
public:
    static constexpr std::size_t kPendingMost = 16 * 1024;

    explicit LogOutput(int descriptor);
    ~LogOutput();
    LogOutput(const LogOutput&) = delete;
    LogOutput& operator=(const LogOutput&) = delete;

    void write(std::string_view line);  // one or more whole lines
    void flush();                       // as much of what is kept as can be written now
    std::uint64_t lost() const {
        return lost_;
    }

private:
    enum class Kind {
        file,
        socket,
        pipe
    };
    long write_some(std::string_view bytes) const;
    bool may_write() const;
    void keep(std::string_view line);
    void lose_pending();

    int given_;     // as it was given; never closed here
    int own_ = -1;  // a description of our own of the same pipe, which doesn't block
    Kind kind_ = Kind::file;
    std::string pending_;
    std::uint64_t lost_ = 0, told_ = 0;  // lines; told_: of those lost, how many the log itself has named
};

}  // namespace gatetiller::cli
