// Other processes of this node: what they hold of the one budget that all share. It owns a file of this
// process's that is locked as long as it lives, so that one that was killed is not counted, and as long as
// its size says how many descriptors are in use. It limits nothing itself.
#pragma once

#include <string>

namespace brookrelay {

class SiblingProcesses {
  public:
    explicit SiblingProcesses(const std::string& folder);  // empty: this process is alone
    ~SiblingProcesses();
    SiblingProcesses(const SiblingProcesses&) = delete;
    SiblingProcesses& operator=(const SiblingProcesses&) = delete;

    void publish(int descriptors);  // this process, by now
    struct Usage {
        int processes = 0;
        int descriptors = 0;
    };
    Usage others_usage() const;

  private:
    std::string folder_, own_;
    int file_ = -1;
    int told_ = -1;
};

}  // namespace brookrelay
