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

constexpr double kMaxAge = 3.0;  // s; an older snapshot says little about the servers as they are now

}  // namespace

WarmStartFile::WarmStartFile(std::string path) : path_(std::move(path)) {}

void WarmStartFile::save(const WarmStartSnapshot& snapshot, const ClockReading& /*clock*/,
                         const std::vector<std::string>& kinds,
                         const std::function<std::string(int)>& name_of) const {
    const std::string temporary_path = path_ + "-" + std::to_string(getpid());
    {
        std::ofstream file(temporary_path, std::ios::trunc);
        file << format_warm_start(snapshot, kinds, name_of);
        if (!file.flush()) std::remove(temporary_path.c_str());
    }
    std::rename(temporary_path.c_str(), path_.c_str());  // atomic: readers see the old file or the new one
}

std::optional<WarmStartSnapshot> WarmStartFile::load(
    const ClockReading& clock, const std::vector<std::string>& kinds,
    const std::function<int(const std::string&)>& number_of) const {
    struct stat status {};
    if (stat(path_.c_str(), &status) != 0) return std::nullopt;
    if (clock.wall_now() - static_cast<double>(status.st_mtim.tv_sec) > kMaxAge) return std::nullopt;
    std::ifstream file(path_);
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    return parse_warm_start(text, kinds, number_of);
}

}  // namespace brookrelay
