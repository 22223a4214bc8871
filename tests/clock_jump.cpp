// Preloaded into a daemon under test: its wall clock jumps by CLOCK_JUMP_BY seconds once the machine's
// monotonic clock shows CLOCK_JUMP_AT. No other clock is touched.
#include <dlfcn.h>
#include <time.h>

#include <cstdlib>

extern "C" int clock_gettime(clockid_t id, struct timespec* at) noexcept {
    using Real = int (*)(clockid_t, struct timespec*);
    static const Real real = reinterpret_cast<Real>(dlsym(RTLD_NEXT, "clock_gettime"));
    static const char* const when = std::getenv("CLOCK_JUMP_AT");
    static const char* const by = std::getenv("CLOCK_JUMP_BY");
    const int said = real(id, at);
    if (said != 0 || id != CLOCK_REALTIME || when == nullptr || by == nullptr) return said;
    struct timespec monotonic {};
    real(CLOCK_MONOTONIC, &monotonic);
    if (static_cast<double>(monotonic.tv_sec) >= std::atof(when))
        at->tv_sec += static_cast<time_t>(std::atof(by));
    return said;
}
