// A library that is preloaded into a daemon under test. It steps the wall clock, makes system calls fail with
// the errors that Linux documents for them, and makes writes to the state folder fail. Environment variables
// give the times of the faults, in seconds since the start of the process; at other times every call passes
// unchanged.
//
//   FAULT_SHIM_SEED   a number; processes with the same seed draw the same sequence
//   FAULT_SHIM_CLOCK  AT:BY,...     the wall clock is stepped by BY seconds at AT
//   FAULT_SHIM_CALLS  FROM:TO:P,... between FROM and TO a network call fails with probability P
//   FAULT_SHIM_SEND_BUFFERS  BYTES  the kernel's buffers of each TCP connection, where it would use
//   megabytes FAULT_SHIM_DISK   FROM:TO:P,... and so does a write, sync or rename in a folder named
//   .../brookrelay-...
//
// The monotonic clock is not changed. The daemon is single-threaded, so the shim has no locks.
#include <dlfcn.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <initializer_list>
#include <set>
#include <vector>

namespace {

struct Window {
    double from = 0, until = 0, probability = 0;
};
struct ClockStep {
    double at = 0, by = 0;
};

template <typename Function>
Function next_symbol(Function, const char* name) {
    return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

double monotonic() {
    static const auto real_gettime = next_symbol(&clock_gettime, "clock_gettime");
    timespec now{};
    real_gettime(CLOCK_MONOTONIC, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
}

// Calls `take` with the up to three numbers of each entry of a list such as 1:2:0.5,3:4:0.1.
template <typename Take>
void read_entries(const char* variable, Take take) {
    const char* at = std::getenv(variable);
    while (at != nullptr && *at != 0) {
        double numbers[3] = {0, 0, 0};
        std::sscanf(at, "%lf:%lf:%lf", &numbers[0], &numbers[1], &numbers[2]);
        take(numbers);
        at = std::strchr(at, ',');
        if (at != nullptr) ++at;
    }
}

// The faults configured for this process, read once from the environment.
class FaultPlan {
  public:
    FaultPlan() : started_at_(monotonic()) {
        if (const char* seed = std::getenv("FAULT_SHIM_SEED"))
            random_state_ += std::strtoull(seed, nullptr, 10);
        if (const char* bytes = std::getenv("FAULT_SHIM_SEND_BUFFERS")) send_buffer_bytes_ = std::atoi(bytes);
        read_entries("FAULT_SHIM_CLOCK", [this](const double* n) { clock_steps_.push_back({n[0], n[1]}); });
        read_entries("FAULT_SHIM_CALLS", [this](const double* n) {
            call_faults_.push_back({n[0], n[1], n[2]});
        });
        read_entries("FAULT_SHIM_DISK", [this](const double* n) {
            disk_faults_.push_back({n[0], n[1], n[2]});
        });
    }
    void limit_send_buffer(int fd) const {
        if (send_buffer_bytes_ == 0) return;
        setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &send_buffer_bytes_, sizeof send_buffer_bytes_);
    }
    double wall_step() const {
        double step = 0;
        for (const ClockStep& s : clock_steps_) step += monotonic() - started_at_ >= s.at ? s.by : 0;
        return step;
    }
    bool call_fails() { return draw_fault(call_faults_); }
    bool disk_fails() { return draw_fault(disk_faults_); }
    int pick_error(std::initializer_list<int> errors) {
        return errors.begin()[static_cast<std::size_t>(draw() * static_cast<double>(errors.size()))];
    }
    double draw() {  // splitmix64
        std::uint64_t x = random_state_ += 0x9e3779b97f4a7c15ULL;
        x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
        x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
        return static_cast<double>((x ^ (x >> 31)) >> 11) / 9007199254740992.0;
    }

  private:
    bool draw_fault(const std::vector<Window>& windows) {
        if (windows.empty()) return false;
        const double now = monotonic() - started_at_;
        return std::any_of(windows.begin(), windows.end(), [&](const Window& w) {
            return now >= w.from && now < w.until && draw() < w.probability;
        });
    }
    double started_at_;
    int send_buffer_bytes_ = 0;  // 0: the system's choice
    std::uint64_t random_state_ = 1;
    std::vector<ClockStep> clock_steps_;
    std::vector<Window> call_faults_, disk_faults_;
};

FaultPlan& fault_plan() {
    static FaultPlan instance;
    return instance;
}

int fail(int error) {
    errno = error;
    return -1;
}

std::set<int>& connected_sockets() {  // descriptors on which this process has called connect
    static std::set<int> sockets;
    return sockets;
}

bool in_state_folder(const char* path) { return std::strstr(path, "/brookrelay-") != nullptr; }

bool is_state_file(int fd) {
    char link[64], path[512];
    std::snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
    const ssize_t length = readlink(link, path, sizeof path - 1);
    if (length <= 0) return false;
    path[length] = 0;
    return in_state_folder(path);
}

bool socket_call_fails() { return fault_plan().call_fails(); }

}  // namespace

extern "C" {

int clock_gettime(clockid_t id, timespec* at) noexcept {
    static const auto real_call = next_symbol(&clock_gettime, "clock_gettime");
    const int result = real_call(id, at);
    if (result == 0 && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE))
        at->tv_sec += static_cast<time_t>(fault_plan().wall_step());
    return result;
}

int gettimeofday(timeval* __restrict at, void* __restrict zone) noexcept {
    static const auto real_call = next_symbol(&gettimeofday, "gettimeofday");
    const int result = real_call(at, zone);
    if (result == 0) at->tv_sec += static_cast<time_t>(fault_plan().wall_step());
    return result;
}

int accept(int fd, sockaddr* __restrict address, socklen_t* __restrict size) {
    static const auto real_call = next_symbol(&accept, "accept");
    if (socket_call_fails()) return fail(fault_plan().pick_error({ECONNABORTED, ENFILE, ENOBUFS, EINTR}));
    const int accepted = real_call(fd, address, size);
    if (accepted >= 0) fault_plan().limit_send_buffer(accepted);
    return accepted;
}

int socket(int domain, int type, int protocol) noexcept {
    static const auto real_call = next_symbol(&socket, "socket");
    if (socket_call_fails()) return fail(fault_plan().pick_error({ENFILE, ENOBUFS}));
    return real_call(domain, type, protocol);
}

int connect(int fd, const sockaddr* address, socklen_t size) {
    static const auto real_call = next_symbol(&connect, "connect");
    if (socket_call_fails())
        return fail(fault_plan().pick_error({EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EINTR}));
    connected_sockets().insert(fd);
    fault_plan().limit_send_buffer(fd);
    return real_call(fd, address, size);
}

ssize_t recv(int fd, void* buffer, size_t size, int flags) {
    static const auto real_call = next_symbol(&recv, "recv");
    if (socket_call_fails()) {
        const double kind = fault_plan().draw();
        if (kind < 0.4) return fail(EINTR);
        if (kind < 0.5 && connected_sockets().contains(fd))
            return fail(fault_plan().pick_error({ETIMEDOUT, EHOSTUNREACH}));
        size = std::max<size_t>(1, size / 4096);  // a short read
    }
    return real_call(fd, buffer, size, flags);
}

ssize_t send(int fd, const void* buffer, size_t size, int flags) {
    static const auto real_call = next_symbol(&send, "send");
    if (socket_call_fails()) {
        if (fault_plan().draw() < 0.3) return fail(EINTR);
        size = std::max<size_t>(1, size / 2);  // a short write
    }
    return real_call(fd, buffer, size, flags);
}

int poll(pollfd* fds, nfds_t count, int timeout) {
    static const auto real_call = next_symbol(&poll, "poll");
    if (fault_plan().call_fails()) return fail(EINTR);
    return real_call(fds, count, timeout);
}

int close(int fd) {
    static const auto real_call = next_symbol(&close, "close");
    connected_sockets().erase(fd);
    return real_call(fd);
}

ssize_t write(int fd, const void* buffer, size_t size) {
    static const auto real_call = next_symbol(&write, "write");
    if (size > 0 && fault_plan().disk_fails() && is_state_file(fd)) {
        if (fault_plan().draw() < 0.5) return fail(fault_plan().pick_error({ENOSPC, EIO}));
        size = static_cast<size_t>(fault_plan().draw() * static_cast<double>(size));  // a partial write
        if (size == 0) return fail(ENOSPC);
    }
    return real_call(fd, buffer, size);
}

int fsync(int fd) {
    static const auto real_call = next_symbol(&fsync, "fsync");
    if (fault_plan().disk_fails() && is_state_file(fd)) return fail(EIO);
    return real_call(fd);
}

int rename(const char* from, const char* to) noexcept {
    static const auto real_call = next_symbol(&rename, "rename");
    if (fault_plan().disk_fails() && in_state_folder(from))
        return fail(fault_plan().pick_error({ENOSPC, EIO}));
    return real_call(from, to);
}

int open(const char* path, int flags, ...) {
    static const auto real_call = next_symbol(&open, "open");
    va_list arguments;
    va_start(arguments, flags);
    const mode_t mode = (flags & O_CREAT) != 0 ? va_arg(arguments, mode_t) : 0;
    va_end(arguments);
    if ((flags & (O_WRONLY | O_RDWR)) != 0 && in_state_folder(path) && fault_plan().disk_fails())
        return fail(fault_plan().pick_error({ENOSPC, EIO}));
    return real_call(path, flags, mode);
}

}  // extern "C"
