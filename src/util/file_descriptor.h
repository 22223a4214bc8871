// Owning handles for file descriptors and directory streams; each is closed exactly once.
#pragma once

#include <dirent.h>
#include <unistd.h>

#include <memory>
#include <utility>

namespace brookrelay {

// Owns a file descriptor and closes it when destroyed. Move-only; -1 means that nothing is open.
class FileDescriptor {
  public:
    explicit FileDescriptor(int descriptor) : descriptor_(descriptor) {}
    ~FileDescriptor() {
        if (is_open()) ::close(descriptor_);
    }
    FileDescriptor(FileDescriptor&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
    FileDescriptor& operator=(FileDescriptor&& other) noexcept {
        std::swap(descriptor_, other.descriptor_);
        return *this;
    }
    FileDescriptor(const FileDescriptor&) = delete;
    FileDescriptor& operator=(const FileDescriptor&) = delete;

    bool is_open() const { return descriptor_ >= 0; }
    int get() const { return descriptor_; }

  private:
    int descriptor_;
};

struct DirectoryDeleter {
    void operator()(DIR* directory) const { closedir(directory); }
};

// Owns a directory stream from opendir(). Null if the directory could not be opened.
using DirectoryHandle = std::unique_ptr<DIR, DirectoryDeleter>;

}  // namespace brookrelay
