// A library that is preloaded into a daemon under test. The wall clock jumps by CLOCK_JUMP_BY seconds once
// the machine's monotonic clock reaches CLOCK_JUMP_AT seconds. No other clock is changed.
#include <dlfcn.h>
#include <time.h>

#include <cstdlib>

extern "C" int clock_gettime(clockid_t id, struct timespec* time) noexcept {
    using ClockGettime = int (*)(clockid_t, struct timespec*);
    static const ClockGettime next_clock_gettime =
        reinterpret_cast<ClockGettime>(dlsym(RTLD_NEXT, "clock_gettime"));
    static const char* const jump_at = std::getenv("CLOCK_JUMP_AT");
    static const char* const jump_by = std::getenv("CLOCK_JUMP_BY");
    const int result = next_clock_gettime(id, time);
    if (result != 0 || id != CLOCK_REALTIME || jump_at == nullptr || jump_by == nullptr) return result;
    struct timespec monotonic {};
    next_clock_gettime(CLOCK_MONOTONIC, &monotonic);
    if (static_cast<double>(monotonic.tv_sec) >= std::atof(jump_at))
        time->tv_sec += static_cast<time_t>(std::atof(jump_by));
    return result;
}
