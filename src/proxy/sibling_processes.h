/// The usage of the descriptor budget that all processes of this node share. Each process owns one file in a
/// common folder, whose size is the number of descriptors in use. The process holds a lock on its file for
/// its whole life, so the file of a killed process is recognised and not counted. The class enforces no
/// limit.
#pragma once

#include <string>

namespace brookrelay {

/// Publishes the usage of this process and reads that of its siblings.
class SiblingProcesses {
  public:
    /// `folder` is empty if this process has no siblings.
    explicit SiblingProcesses(std::string folder);
    ~SiblingProcesses();
    SiblingProcesses(const SiblingProcesses&) = delete;
    SiblingProcesses& operator=(const SiblingProcesses&) = delete;

    /// Publishes the number of descriptors that this process uses.
    void publish(int descriptors);
    struct Usage {
        int processes = 0;
        int descriptors = 0;
    };
    /// The number and the descriptors of the other running processes. Deletes the files of ended processes.
    Usage others_usage() const;

  private:
    std::string folder_;
    std::string file_name_;           // of this process's file, without the folder
    int descriptor_ = -1;             // the descriptor of this process's file
    int published_descriptors_ = -1;  // the number of descriptors last published
};

}  // namespace brookrelay
