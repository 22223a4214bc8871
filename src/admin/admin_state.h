// The administrative state of servers: which servers operators have drained, and when the others were
// restored.
//
// It owns a directory that all processes of the node share: one file `out-NAME` for each drained server, one
// file `back-NAME` for each recently restored one (its modification time is the time of the restore), and
// `listed`, the names of all servers that were ever on the endpoint list. NAME is percent-encoded. A change
// is one atomic operation of the file system, so a crash leaves it either made or not made, and it is synced
// to the disk before success is returned. It does not know the endpoint list and has no callbacks: the owner
// calls reload() and merges the result. Times are wall-clock seconds since the epoch. File system errors on
// which the caller can act are reported by returning false.
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
    // The operators' decision for one server; the default is a server that was never drained.
    struct ServerState {
        bool drained = false;
        double restored_at = 0;  // wall clock, s; 0 if never restored, or long ago
        bool operator==(const ServerState&) const = default;
    };

    // Creates `directory` if it is missing. With an empty path the state is kept in memory, for this process
    // only.
    explicit AdminState(std::string directory);

    // Marks a server as drained. Returns false if the mark could not be written; then nothing has changed.
    bool drain(const std::string& name);
    // Removes the mark at `wall_now`. Returns true also for a server that is not drained, and false as
    // drain().
    bool restore(const std::string& name, double wall_now);
    // The state as of the last reload(), drain() or restore() of this process.
    ServerState state_of(const std::string& name) const;
    // Reads the directory and returns the names whose state has changed since the last reload, whichever
    // process changed it. Deletes restore marks that are too old to matter.
    std::vector<std::string> reload(double wall_now);

    // Adjusts the times of the marks after the wall clock was stepped by `step` seconds, so that their real
    // age stays the same.
    void on_clock_step(double step);

    // Records that these servers were on the endpoint list. Names that cannot be written to the file are kept
    // in memory.
    void record_listed(const std::vector<std::string>& names);
    // Writes the names that could not be written when they were recorded.
    void retry_listed();
    // Whether any process of the node has recorded the name.
    bool was_ever_listed(const std::string& name) const;
    // The number of bytes read from the file of listed names so far; it only grows.
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
    // Encoded names that this process has read from the file or written to it. Sibling processes append to
    // the file too, so a name may be in the file twice, and the file is read again for a name that is not in
    // here.
    std::unordered_set<std::string> listed_in_file_;
};

}  // namespace brookrelay
