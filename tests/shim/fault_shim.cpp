// A library that stands before the C library's system calls and makes them fail as Linux documents: loaded
// into the program with LD_PRELOAD by the soak, linked by tests of the loop. For tests only.
#include <dlfcn.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/mman.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdarg>
#include <cstdlib>
#include <ctime>

#include "shim/fault_control.hpp"

namespace {

using gatetiller::testing::Call;
using gatetiller::testing::CallFaults;
using gatetiller::testing::FaultControl;
using gatetiller::testing::kNoEnd;

constexpr std::size_t kShortMost = 7;  // bytes of a shortened transfer

// The next definition of a symbol: the C library's, or a sanitizer's.
template <typename Function>
Function* next(const char* name) {
    return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}
#define GATETILLER_NEXT(name) static const auto real = next<decltype(::name)>(#name)

FaultControl* map_control() {
    static FaultControl own;
    const char* file = std::getenv(gatetiller::testing::kControlVariable);
    if (!file)
        return &own;
    static const auto open_file = next<int(const char*, int, ...)>("open");
    const int fd = open_file(file, O_RDWR | O_CLOEXEC);
    if (fd < 0)
        return &own;
    void* const shared = ::mmap(nullptr, sizeof(FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    ::close(fd);
    return shared == MAP_FAILED ? &own : static_cast<FaultControl*>(shared);
}

FaultControl& control() {
    static FaultControl* const held = map_control();
    return *held;
}

bool drawn(std::uint32_t per_mille) {
    if (per_mille == 0)
        return false;
    if (per_mille >= 1000)
        return true;
    std::uint64_t x = control().random.fetch_add(0x9e3779b97f4a7c15) + 0x9e3779b97f4a7c15;  // splitmix64
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9;
    x = (x ^ (x >> 27)) * 0x94d049bb133111eb;
    return (x ^ (x >> 31)) % 1000 < per_mille;
}

// Whether this call fails now; errno is set then.
bool fails(Call call) {
    CallFaults& faults = control().of(call);
    faults.calls.fetch_add(1, std::memory_order_relaxed);
    if (!drawn(faults.per_mille))
        return false;
    for (std::uint32_t left = faults.left; left != kNoEnd;) {
        if (left == 0)
            return false;
        if (faults.left.compare_exchange_weak(left, left - 1))
            break;
    }
    faults.failed.fetch_add(1, std::memory_order_relaxed);
    errno = faults.error;
    return true;
}

std::size_t shortened(std::size_t size) {
    if (size <= 1 || !drawn(control().short_per_mille))
        return size;
    control().shortened.fetch_add(1, std::memory_order_relaxed);
    return std::min(size, kShortMost);
}

bool regular_file(int fd) {
    struct stat info {};
    return ::fstat(fd, &info) == 0 && S_ISREG(info.st_mode);
}

// Half of the last write reaches the file, then the process is gone.
template <typename Write>
void die_if_told(std::size_t size, Write write) {
    if (control().die_in_write.exchange(0) == 0)
        return;
    (void)!write(size / 2);
    ::kill(::getpid(), SIGKILL);
}

void stall_if_told() {
    const std::uint32_t span = control().stall_after_poll_us.exchange(0);
    if (span == 0)
        return;
    const timespec rest{span / 1'000'000, static_cast<long>(span % 1'000'000) * 1000};
    ::nanosleep(&rest, nullptr);
}

void step(timespec& t) {
    const std::int64_t offset = control().wall_offset_us;
    std::int64_t nanos = t.tv_nsec + offset % 1'000'000 * 1000;
    t.tv_sec += offset / 1'000'000;
    if (nanos < 0)
        nanos += 1'000'000'000, --t.tv_sec;
    if (nanos >= 1'000'000'000)
        nanos -= 1'000'000'000, ++t.tv_sec;
    t.tv_nsec = nanos;
}

}  // namespace

extern "C" {

FaultControl* gatetiller_fault_control() {
    return &control();
}

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
    GATETILLER_NEXT(accept4);
    return fails(Call::accept) ? -1 : real(fd, address, size, flags);
}

int socket(int domain, int type, int protocol) noexcept {
    GATETILLER_NEXT(socket);
    return fails(Call::socket) ? -1 : real(domain, type, protocol);
}

int connect(int fd, const sockaddr* address, socklen_t size) {
    GATETILLER_NEXT(connect);
    if (!fails(Call::connect))
        return real(fd, address, size);
    // An interrupted connect goes on by itself.
    if (errno == EINTR) {
        (void)real(fd, address, size);
        errno = EINTR;
    }
    return -1;
}

int bind(int fd, const sockaddr* address, socklen_t size) noexcept {
    GATETILLER_NEXT(bind);
    return fails(Call::bind) ? -1 : real(fd, address, size);
}

int listen(int fd, int backlog) noexcept {
    GATETILLER_NEXT(listen);
    return fails(Call::listen) ? -1 : real(fd, backlog);
}

ssize_t send(int fd, const void* bytes, size_t size, int flags) {
    GATETILLER_NEXT(send);
    return fails(Call::send) ? -1 : real(fd, bytes, shortened(size), flags);
}

ssize_t recv(int fd, void* bytes, size_t size, int flags) {
    GATETILLER_NEXT(recv);
    return fails(Call::recv) ? -1 : real(fd, bytes, shortened(size), flags);
}

ssize_t sendto(int fd, const void* bytes, size_t size, int flags, const sockaddr* to, socklen_t to_size) {
    GATETILLER_NEXT(sendto);
    return fails(Call::sendto) ? -1 : real(fd, bytes, size, flags, to, to_size);
}

ssize_t recvfrom(int fd, void* bytes, size_t size, int flags, sockaddr* from, socklen_t* from_size) {
    GATETILLER_NEXT(recvfrom);
    return fails(Call::recvfrom) ? -1 : real(fd, bytes, size, flags, from, from_size);
}

int poll(pollfd* polled, nfds_t count, int time_out) {
    GATETILLER_NEXT(poll);
    return fails(Call::poll) ? -1 : real(polled, count, time_out);
}

int ppoll(pollfd* polled, nfds_t count, const timespec* time_out, const sigset_t* mask) {
    GATETILLER_NEXT(ppoll);
    if (fails(Call::poll))
        return -1;
    const int ready = real(polled, count, time_out, mask);
    if (ready > 0)
        stall_if_told();
    return ready;
}

int signalfd(int fd, const sigset_t* mask, int flags) noexcept {
    GATETILLER_NEXT(signalfd);
    return fails(Call::signalfd) ? -1 : real(fd, mask, flags);
}

#define GATETILLER_OPEN(name)                                    \
    int name(const char* path, int flags, ...) {                 \
        GATETILLER_NEXT(name);                                   \
        mode_t mode = 0;                                         \
        if (flags & (O_CREAT | O_TMPFILE)) {                     \
            va_list arguments;                                   \
            va_start(arguments, flags);                          \
            mode = static_cast<mode_t>(va_arg(arguments, int));  \
            va_end(arguments);                                   \
        }                                                        \
        return fails(Call::open) ? -1 : real(path, flags, mode); \
    }
GATETILLER_OPEN(open)
GATETILLER_OPEN(open64)

ssize_t write(int fd, const void* bytes, size_t size) {
    GATETILLER_NEXT(write);
    if (!regular_file(fd))
        return real(fd, bytes, size);
    die_if_told(size, [&](std::size_t half) {
        return real(fd, bytes, half);
    });
    return fails(Call::write) ? -1 : real(fd, bytes, shortened(size));
}

#define GATETILLER_PWRITE(name, offset_type)                               \
    ssize_t name(int fd, const void* bytes, size_t size, offset_type at) { \
        GATETILLER_NEXT(name);                                             \
        die_if_told(size, [&](std::size_t half) {                          \
            return real(fd, bytes, half, at);                              \
        });                                                                \
        return fails(Call::write) ? -1 : real(fd, bytes, size, at);        \
    }
GATETILLER_PWRITE(pwrite, off_t)
GATETILLER_PWRITE(pwrite64, off64_t)

int fsync(int fd) {
    GATETILLER_NEXT(fsync);
    return fails(Call::fsync) ? -1 : real(fd);
}

int fdatasync(int fd) {
    GATETILLER_NEXT(fdatasync);
    return fails(Call::fsync) ? -1 : real(fd);
}

int rename(const char* from, const char* to) noexcept {
    GATETILLER_NEXT(rename);
    return fails(Call::rename) ? -1 : real(from, to);
}

int clock_gettime(clockid_t clock, timespec* t) noexcept {
    GATETILLER_NEXT(clock_gettime);
    const int result = real(clock, t);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE))
        step(*t);
    return result;
}

int gettimeofday(timeval* t, void*) noexcept {
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    t->tv_sec = now.tv_sec, t->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t* into) noexcept {
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    if (into)
        *into = now.tv_sec;
    return now.tv_sec;
}

}  // extern "C"
