// Which caches operators have taken out, and when they called back the others. It owns one file a cache in a
// folder that all processes of the node share, and the names ever listed in another; a change is one step of
// the file system, so a process that dies in the middle leaves it done or not done. It knows no list of
// servers and tells nobody: its owner looks, and merges.
#pragma once

#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace brookrelay {

class AdminState {
  public:
    struct ServerState {
        bool drained = false;
        double restored_at = 0;  // wall clock; 0: it was never called back, or long ago
        bool operator==(const ServerState&) const = default;
    };

    // An empty folder's name: this process alone remembers, as long as it runs.
    explicit AdminState(std::string folder);

    // False: it could not be written, and nothing has changed.
    bool drain(const std::string& name);
    bool restore(const std::string& name, double wall);
    ServerState state_of(const std::string& name) const;
    // Whose state is another than at the last look, by whichever process.
    std::vector<std::string> reload(double wall);

    void record_listed(const std::vector<std::string>& names);
    bool was_ever_listed(const std::string& name) const;

  private:
    std::string path(const char* what, const std::string& name) const;
    bool in_listed_file(const std::string& name) const;

    std::string folder_;
    std::unordered_map<std::string, ServerState> states_;
    std::unordered_set<std::string> listed_here_;  // where there is no folder
};

}  // namespace brookrelay
