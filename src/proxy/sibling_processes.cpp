#include "proxy/sibling_processes.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <memory>
#include <string_view>
#include <utility>

namespace brookrelay {
namespace {

constexpr std::string_view kFilePrefix = "alive-";

struct CloseFolder {
    void operator()(DIR* folder) const { closedir(folder); }
};

}  // namespace

SiblingProcesses::SiblingProcesses(std::string folder) : folder_(std::move(folder)) {
    if (folder_.empty()) return;
    file_name_ = std::string(kFilePrefix) + std::to_string(getpid());
    descriptor_ = open((folder_ + "/" + file_name_).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (descriptor_ >= 0) flock(descriptor_, LOCK_EX | LOCK_NB);
    publish(0);
}

SiblingProcesses::~SiblingProcesses() {
    if (descriptor_ < 0) return;
    unlink((folder_ + "/" + file_name_).c_str());
    close(descriptor_);
}

void SiblingProcesses::publish(int descriptors) {
    if (descriptor_ < 0 || descriptors == published_descriptors_) return;
    if (ftruncate(descriptor_, descriptors) == 0) published_descriptors_ = descriptors;
}

SiblingProcesses::Usage SiblingProcesses::others_usage() const {
    Usage others;
    const std::unique_ptr<DIR, CloseFolder> folder(descriptor_ < 0 ? nullptr : opendir(folder_.c_str()));
    if (folder == nullptr) return others;
    while (const dirent* entry = readdir(folder.get())) {
        const std::string_view name(entry->d_name);
        if (!name.starts_with(kFilePrefix) || name == file_name_) continue;
        const int file = openat(dirfd(folder.get()), entry->d_name, O_RDWR | O_CLOEXEC);
        if (file < 0) continue;
        struct stat status {};
        if (flock(file, LOCK_EX | LOCK_NB) == 0) {
            unlinkat(dirfd(folder.get()), entry->d_name, 0);  // not locked, so its process has ended
        } else if (fstat(file, &status) == 0) {
            ++others.processes;
            others.descriptors += static_cast<int>(status.st_size);
        }
        close(file);
    }
    return others;
}

}  // namespace brookrelay
