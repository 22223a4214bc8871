/// What the other processes of this node hold of the descriptor budget that all of them share. Each process
/// owns one file in a common folder: it is locked as long as the process lives, so that a killed process does
/// not count, and its size is the number of descriptors in use. The class enforces no limit.
#pragma once

#include <string>

namespace brookrelay {

class SiblingProcesses {
  public:
    /// An empty `folder`: this process has no siblings.
    explicit SiblingProcesses(std::string folder);
    ~SiblingProcesses();
    SiblingProcesses(const SiblingProcesses&) = delete;
    SiblingProcesses& operator=(const SiblingProcesses&) = delete;

    /// Publishes how many descriptors this process has in use.
    void publish(int descriptors);
    struct Usage {
        int processes = 0;
        int descriptors = 0;
    };
    Usage others_usage() const;

  private:
    std::string folder_;
    std::string file_name_;  // this process's, within the folder
    int file_ = -1;
    int published_ = -1;
};

}  // namespace brookrelay
