#include "proxy/warm_start_file.h"

#include <sys/stat.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <utility>

#include "config/warm_start.h"

namespace brookrelay {
namespace {

constexpr double kMaxAge = 3.0;  // s; an older snapshot says little about the current state of the servers

constexpr double kUnknownAge = -1;

}  // namespace

WarmStartFile::WarmStartFile(std::string path) : path_(std::move(path)) {}

void WarmStartFile::save(const WarmStartSnapshot& snapshot, const ClockReading& clock,
                         const std::vector<std::string>& kinds,
                         const std::function<std::string(int)>& name_of) const {
    const std::string temporary_path = path_ + "-" + std::to_string(getpid());
    {
        std::ofstream file(temporary_path, std::ios::trunc);
        file << with_written_at(format_warm_start(snapshot, kinds, name_of), {boot_id(), clock.now});
        file.close();
        if (!file) {
            std::remove(temporary_path.c_str());
            return;
        }
    }
    std::rename(temporary_path.c_str(), path_.c_str());  // atomic: readers see the old file or the new one
}

// The age of the file in seconds, or a negative value if it is unknown.
double WarmStartFile::age_of(const std::string& text, const ClockReading& clock) const {
    const auto written_at = parse_written_at(text);
    if (written_at) return written_at->boot_id == boot_id() ? clock.now - written_at->seconds : kUnknownAge;
    // A file of an older version of the program has no time of writing, so its modification time is used.
    struct stat status {};
    if (stat(path_.c_str(), &status) != 0) return kUnknownAge;
    return clock.wall_now() - static_cast<double>(status.st_mtim.tv_sec);
}

std::optional<WarmStartSnapshot> WarmStartFile::load(
    const ClockReading& clock, const std::vector<std::string>& kinds,
    const std::function<int(const std::string&)>& number_of) const {
    std::ifstream file(path_);
    if (!file) return std::nullopt;
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    const double age = age_of(text, clock);
    if (age < 0 || age > kMaxAge) return std::nullopt;
    return parse_warm_start(text, kinds, number_of);
}

}  // namespace brookrelay
