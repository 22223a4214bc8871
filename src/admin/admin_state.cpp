#include "admin/admin_state.h"

#include <dirent.h>
#include <fcntl.h>
#include <glib.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <fstream>
#include <memory>
#include <string_view>
#include <utility>

namespace brookrelay {
namespace {

constexpr std::string_view kOut = "out-";
constexpr std::string_view kBack = "back-";
constexpr double kBackKept = 600;  // s; by then nothing remembers that it was cold

struct GFree {
    void operator()(char* text) const { g_free(text); }
};
using Text = std::unique_ptr<char, GFree>;

// As a part of a file's name and as a line: an id is the list's word, and may hold anything.
std::string escaped(const std::string& name) {
    return Text(g_uri_escape_string(name.c_str(), nullptr, FALSE)).get();
}

double time_of(const struct stat& told) {
    return static_cast<double>(told.st_mtim.tv_sec) + static_cast<double>(told.st_mtim.tv_nsec) / 1e9;
}

struct CloseFolder {
    void operator()(DIR* folder) const { closedir(folder); }
};

}  // namespace

AdminState::AdminState(std::string folder) : folder_(std::move(folder)) {
    if (!folder_.empty()) mkdir(folder_.c_str(), 0700);
}

std::string AdminState::path(const char* what, const std::string& name) const {
    return folder_ + "/" + what + escaped(name);
}

bool AdminState::drain(const std::string& name) {
    if (!folder_.empty()) {
        const int file = open(path("out-", name).c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
        if (file < 0) return false;
        close(file);
        unlink(path("back-", name).c_str());
    }
    states_[name] = {true, 0};
    return true;
}

// By the file and not by what was seen last: it may have been taken out by another process just now.
bool AdminState::restore(const std::string& name, double wall) {
    if (folder_.empty()) {
        if (state_of(name).drained) states_[name] = {false, wall};
        return true;
    }
    const std::string out = path("out-", name);
    const std::string back = path("back-", name);
    utimensat(AT_FDCWD, out.c_str(), nullptr, 0);
    if (std::rename(out.c_str(), back.c_str()) != 0) return errno == ENOENT;  // it is not out
    struct stat told {};
    // As each later look finds it: another time would be another start.
    states_[name] = {false, stat(back.c_str(), &told) == 0 ? time_of(told) : wall};
    return true;
}

AdminState::ServerState AdminState::state_of(const std::string& name) const {
    const auto known = states_.find(name);
    return known == states_.end() ? ServerState{} : known->second;
}

std::vector<std::string> AdminState::reload(double wall) {
    std::vector<std::string> changed;
    const std::unique_ptr<DIR, CloseFolder> folder(folder_.empty() ? nullptr : opendir(folder_.c_str()));
    if (folder == nullptr) return changed;
    std::unordered_map<std::string, ServerState> found;
    while (const dirent* entry = readdir(folder.get())) {
        const std::string_view file(entry->d_name);
        const bool out = file.starts_with(kOut);
        if (!out && !file.starts_with(kBack)) continue;
        const Text name(g_uri_unescape_string(entry->d_name + (out ? kOut : kBack).size(), nullptr));
        if (name == nullptr) continue;
        if (out) {
            found[name.get()] = {true, 0};
            continue;
        }
        struct stat told {};
        if (fstatat(dirfd(folder.get()), entry->d_name, &told, 0) != 0) continue;
        const double at = time_of(told);
        if (wall - at > kBackKept) {
            unlinkat(dirfd(folder.get()), entry->d_name, 0);
        } else {
            found.try_emplace(name.get(), ServerState{false, at});  // taken out again in between, it is out
        }
    }
    for (const auto& [name, state] : found) {
        if (state_of(name) != state) changed.push_back(name);
    }
    for (const auto& [name, state] : states_) {
        if (!found.contains(name)) changed.push_back(name);
    }
    states_ = std::move(found);
    return changed;
}

void AdminState::record_listed(const std::vector<std::string>& names) {
    if (folder_.empty()) {
        listed_here_.insert(names.begin(), names.end());
        return;
    }
    std::string lines;
    for (const std::string& name : names) {
        if (!in_listed_file(name)) lines.append(escaped(name)).append("\n");
    }
    if (lines.empty()) return;
    const int file = open((folder_ + "/listed").c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (file < 0) return;
    // In one piece: two processes append here.
    if (write(file, lines.data(), lines.size()) < 0) listed_here_.insert(names.begin(), names.end());
    close(file);
}

bool AdminState::was_ever_listed(const std::string& name) const {
    return listed_here_.contains(name) || (!folder_.empty() && in_listed_file(name));
}

bool AdminState::in_listed_file(const std::string& name) const {
    std::ifstream file(folder_ + "/listed");
    const std::string wanted = escaped(name);
    for (std::string line; std::getline(file, line);) {
        if (line == wanted) return true;
    }
    return false;
}

}  // namespace brookrelay
