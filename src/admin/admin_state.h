// The administrative state of servers: which ones operators have drained, and when the others were restored.
//
// It owns a directory that all processes of the node share: one file `out-NAME` for each drained server, one
// file `back-NAME` for each recently restored one (its modification time is the time of the restore), and
// `listed`, the names of all servers that were ever on the endpoint list. NAME is percent-encoded. A change
// is one atomic step of the file system, so a process that dies in the middle leaves it done or not done; it
// is on the disk before it counts as made.
// It does not know the endpoint list and has no callbacks: the owner calls reload() and merges the result.
// Times are wall-clock seconds since the epoch. Errors of the file system are reported by a result of false
// where the caller can act on them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace brookrelay {

// The persistent drain and restore marks of one node, by server name.
class AdminState {
  public:
    // What operators have decided for one server; the default is a server that was never drained.
    struct ServerState {
        bool drained = false;
        double restored_at = 0;  // wall clock, s; 0: never restored, or long ago
        bool operator==(const ServerState&) const = default;
    };

    // Creates `directory` if it is missing. Empty: the state is kept in memory, for this process alone.
    explicit AdminState(std::string directory);

    // Marks a server as drained. False: the mark could not be written, and nothing has changed.
    bool drain(const std::string& name);
    // Removes the mark at `wall_now`. True also for a server that is not drained; false as for drain().
    bool restore(const std::string& name, double wall_now);
    // As of the last reload(), drain() or restore() of this process.
    ServerState state_of(const std::string& name) const;
    // Reads the directory and returns the names whose state has changed since the last reload, whichever
    // process changed it. Deletes restore marks that are too old to matter.
    std::vector<std::string> reload(double wall_now);

    // The wall clock was stepped by so many seconds: marks are kept at their real age.
    void on_clock_step(double step);

    // Remembers that these servers were on the endpoint list; in memory until the file can be written.
    void record_listed(const std::vector<std::string>& names);
    // Writes the names that could not be written when they were recorded, if there are any.
    void retry_listed();
    // Whether any process of the node has recorded the name.
    bool was_ever_listed(const std::string& name) const;
    // Bytes of the file of listed names that were read so far; only grows.
    std::uint64_t listed_bytes_read() const { return listed_bytes_read_; }

  private:
    std::string path(std::string_view prefix, const std::string& name) const;
    bool sync_directory() const;
    bool append_listed(const std::string& lines) const;
    bool in_listed_file(const std::string& name) const;
    void read_listed_file();

    std::string directory_;
    std::unordered_map<std::string, ServerState> states_;
    mutable std::uint64_t listed_bytes_read_ = 0;
    std::unordered_set<std::string> listed_in_memory_;  // names that are not in the `listed` file
    // Encoded names that this process has found in the file or written there. Siblings append to it too, so a
    // name may stand there twice, and the file is read once more for a name that is not in here.
    std::unordered_set<std::string> listed_in_file_;
};

}  // namespace brookrelay
