// What the fault shim (fault_shim.cpp) does to a process: plain shared memory, written by a test or by the
// soak while the process runs and read at each system call. For tests only; the program knows nothing of it.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace gatetiller::testing {

enum class Call : std::uint8_t {
    accept,
    socket,
    connect,
    bind,
    listen,
    send,
    recv,
    sendto,
    recvfrom,
    poll,
    signalfd,
    open,
    write,
    fsync,
    rename
};
constexpr std::size_t kCalls = static_cast<std::size_t>(Call::rename) + 1;
constexpr const char* kCallNames[kCalls] = {"accept",   "socket", "connect", "bind",     "listen",
                                            "send",     "recv",   "sendto",  "recvfrom", "poll",
                                            "signalfd", "open",   "write",   "fsync",    "rename"};
constexpr std::uint32_t kNoEnd = 0xffffffff;
constexpr const char* kControlVariable = "GATETILLER_FAULT_CONTROL";  // names the file that is mapped

// A schedule of one call: `error` in so many of a thousand calls, at most `left` times.
struct CallFaults {
    std::atomic<std::uint32_t> per_mille{0};
    std::atomic<std::int32_t> error{0};
    std::atomic<std::uint32_t> left{kNoEnd};
    std::atomic<std::uint64_t> calls{0}, failed{0};  // counted by the shim
};

struct FaultControl {
    CallFaults calls[kCalls];
    std::atomic<std::uint32_t> short_per_mille{0};  // of sends, receives and writes: cut to a few bytes
    std::atomic<std::uint64_t> shortened{0};        // counted by the shim
    std::atomic<std::int64_t> wall_offset_us{
        0};  // CLOCK_REALTIME stands off by this; CLOCK_MONOTONIC runs on
    // The next poll that finds something is followed by a stall of so long: what it found is older than that.
    std::atomic<std::uint32_t> stall_after_poll_us{0};
    std::atomic<std::uint32_t> die_in_write{0};  // 1: the next write to a file is torn and the process killed
    std::atomic<std::uint64_t> random{0x9e3779b97f4a7c15};

    CallFaults& of(Call call) {
        return calls[static_cast<std::size_t>(call)];
    }
    void fail(Call call, int error, std::uint32_t per_mille = 1000, std::uint32_t times = kNoEnd) {
        CallFaults& faults = of(call);
        faults.per_mille = 0;
        faults.error = error, faults.left = times;
        faults.per_mille = per_mille;
    }
    // Nothing fails any more; the wall clock stays where it was stepped to.
    void heal() {
        for (CallFaults& faults : calls)
            faults.per_mille = 0;
        short_per_mille = 0, die_in_write = 0;
    }
};

}  // namespace gatetiller::testing

// Of the process that the shim is loaded into; where no file is named, memory of its own.
extern "C" gatetiller::testing::FaultControl* gatetiller_fault_control();
