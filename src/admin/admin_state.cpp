#include "admin/admin_state.h"

#include <fcntl.h>
#include <glib.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <memory>
#include <string_view>
#include <utility>

#include "util/file_descriptor.h"

namespace brookrelay {
namespace {

constexpr std::string_view kDrainedPrefix = "out-";
constexpr std::string_view kRestoredPrefix = "back-";
constexpr double kRestoredMarkLifetime = 600;  // s; longer than any slow start after a restore
constexpr double kNanosecondsPerSecond = 1e9;
constexpr mode_t kDirectoryMode = 0700;
constexpr mode_t kFileMode = 0600;

struct GlibDeleter {
    void operator()(char* text) const { g_free(text); }
};
using GlibString = std::unique_ptr<char, GlibDeleter>;

// Encodes a name for use in a file name or as a line: names come from discovery and may contain any
// character.
std::string percent_encoded(const std::string& name) {
    return GlibString(g_uri_escape_string(name.c_str(), nullptr, FALSE)).get();
}

double modified_at(const struct stat& status) {
    return static_cast<double>(status.st_mtim.tv_sec) + static_cast<double>(status.st_mtim.tv_nsec) / 1e9;
}

// Reads the marks in the directory, by server name. Deletes restore marks older than kRestoredMarkLifetime.
std::unordered_map<std::string, AdminState::ServerState> read_marks(DIR* directory, double wall_now) {
    std::unordered_map<std::string, AdminState::ServerState> marks;
    while (const dirent* entry = readdir(directory)) {
        const std::string_view file_name(entry->d_name);
        const bool drained = file_name.starts_with(kDrainedPrefix);
        if (!drained && !file_name.starts_with(kRestoredPrefix)) continue;
        const std::size_t prefix_size = (drained ? kDrainedPrefix : kRestoredPrefix).size();
        const GlibString name(g_uri_unescape_string(entry->d_name + prefix_size, nullptr));
        if (name == nullptr) continue;
        if (drained) {
            marks[name.get()] = {.drained = true, .restored_at = 0};
            continue;
        }
        struct stat status {};
        if (fstatat(dirfd(directory), entry->d_name, &status, 0) != 0) continue;
        const double restored_at = modified_at(status);
        if (wall_now - restored_at > kRestoredMarkLifetime) {
            unlinkat(dirfd(directory), entry->d_name, 0);
        } else {
            // A server that was drained again after a restore may have both marks; the drain takes
            // precedence.
            marks.try_emplace(name.get(),
                              AdminState::ServerState{.drained = false, .restored_at = restored_at});
        }
    }
    return marks;
}

}  // namespace

AdminState::AdminState(std::string directory) : directory_(std::move(directory)) {
    if (directory_.empty()) return;
    mkdir(directory_.c_str(), kDirectoryMode);
    read_listed_file();
}

std::string AdminState::path(std::string_view prefix, const std::string& name) const {
    return directory_ + "/" + std::string(prefix) + percent_encoded(name);
}

bool AdminState::sync_directory() const {
    const FileDescriptor directory(open(directory_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    return directory.is_open() && fsync(directory.get()) == 0;
}

bool AdminState::drain(const std::string& name) {
    if (!directory_.empty()) {
        const std::string drained_path = path(kDrainedPrefix, name);
        const bool was_drained = access(drained_path.c_str(), F_OK) == 0;
        {
            const FileDescriptor file(open(drained_path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, kFileMode));
            if (!file.is_open()) return false;
            if (fsync(file.get()) != 0 || !sync_directory()) {
                if (!was_drained) unlink(drained_path.c_str());
                return false;
            }
        }
        unlink(path(kRestoredPrefix, name).c_str());
    }
    states_[name] = {.drained = true, .restored_at = 0};
    return true;
}

// Checks the file and not states_, because another process may have drained the server since the last reload.
bool AdminState::restore(const std::string& name, double wall_now) {
    if (directory_.empty()) {
        if (state_of(name).drained) states_[name] = {.drained = false, .restored_at = wall_now};
        return true;
    }
    const std::string drained_path = path(kDrainedPrefix, name);
    const std::string restored_path = path(kRestoredPrefix, name);
    utimensat(AT_FDCWD, drained_path.c_str(), nullptr, 0);
    if (std::rename(drained_path.c_str(), restored_path.c_str()) != 0) {
        // The server is not drained. If an earlier call renamed the mark but its sync failed, sync again.
        return errno == ENOENT && (access(restored_path.c_str(), F_OK) != 0 || sync_directory());
    }
    if (!sync_directory() && std::rename(restored_path.c_str(), drained_path.c_str()) == 0) return false;
    struct stat status {};
    // Use the file's time, which each later reload reads; a different time would count as another restore.
    const double restored_at = stat(restored_path.c_str(), &status) == 0 ? modified_at(status) : wall_now;
    states_[name] = {.drained = false, .restored_at = restored_at};
    return true;
}

AdminState::ServerState AdminState::state_of(const std::string& name) const {
    const auto known = states_.find(name);
    return known == states_.end() ? ServerState{} : known->second;
}

std::vector<std::string> AdminState::reload(double wall_now) {
    std::vector<std::string> changed;
    const DirectoryHandle directory(directory_.empty() ? nullptr : opendir(directory_.c_str()));
    if (directory == nullptr) return changed;
    std::unordered_map<std::string, ServerState> found = read_marks(directory.get(), wall_now);
    for (const auto& [name, state] : found) {
        if (state_of(name) != state) changed.push_back(name);
    }
    for (const auto& [name, state] : states_) {
        if (!found.contains(name)) changed.push_back(name);
    }
    states_ = std::move(found);
    return changed;
}

void AdminState::on_clock_step(double step) {
    for (auto& [name, state] : states_) {
        if (state.restored_at == 0) continue;
        state.restored_at += step;
        const double seconds = std::floor(state.restored_at);
        const timespec time{static_cast<time_t>(seconds),
                            static_cast<long>((state.restored_at - seconds) * kNanosecondsPerSecond)};
        const timespec times[] = {time, time};
        utimensat(AT_FDCWD, path(kRestoredPrefix, name).c_str(), times, 0);
    }
}

void AdminState::record_listed(const std::vector<std::string>& names) {
    if (directory_.empty()) {
        listed_in_memory_.insert(names.begin(), names.end());
        return;
    }
    std::string lines;
    std::vector<std::string> added;
    for (const std::string& name : names) {
        std::string encoded = percent_encoded(name);
        if (listed_in_file_.contains(encoded)) continue;
        lines.append(encoded).append("\n");
        added.push_back(std::move(encoded));
    }
    if (lines.empty()) return;
    if (append_listed(lines)) {
        listed_in_file_.insert(added.begin(), added.end());
    } else {
        listed_in_memory_.insert(names.begin(), names.end());
    }
}

void AdminState::retry_listed() {
    if (directory_.empty() || listed_in_memory_.empty()) return;
    const std::vector<std::string> names(listed_in_memory_.begin(), listed_in_memory_.end());
    listed_in_memory_.clear();
    record_listed(names);
}

// Appends by a single write, because several processes append to the file. If an earlier write was cut short
// by a kill or a full disk and left an incomplete line, that line is terminated first. Returns whether all
// bytes were written.
bool AdminState::append_listed(const std::string& lines) const {
    const FileDescriptor file(
        open((directory_ + "/listed").c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode));
    if (!file.is_open()) return false;
    const off_t size = lseek(file.get(), 0, SEEK_END);
    char last = '\n';
    if (size > 0 && pread(file.get(), &last, 1, size - 1) != 1) last = 0;
    const std::string text = last == '\n' ? lines : "\n" + lines;
    ssize_t written = 0;
    do {
        written = write(file.get(), text.data(), text.size());
    } while (written < 0 && errno == EINTR);
    return written == static_cast<ssize_t>(text.size());
}

bool AdminState::was_ever_listed(const std::string& name) const {
    return listed_in_memory_.contains(name) || listed_in_file_.contains(percent_encoded(name)) ||
           (!directory_.empty() && in_listed_file(name));
}

// An incomplete line, left by a killed process, may look like another name; in_listed_file() treats it the
// same way.
void AdminState::read_listed_file() {
    std::ifstream file(directory_ + "/listed");
    for (std::string line; std::getline(file, line);) {
        listed_bytes_read_ += line.size() + 1;
        listed_in_file_.insert(std::move(line));
    }
}

bool AdminState::in_listed_file(const std::string& name) const {
    std::ifstream file(directory_ + "/listed");
    const std::string wanted = percent_encoded(name);
    for (std::string line; std::getline(file, line);) {
        listed_bytes_read_ += line.size() + 1;
        if (line == wanted) return true;
    }
    return false;
}

}  // namespace brookrelay
