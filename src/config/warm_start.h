// Encodes and decodes the warm-start snapshot, which hands the learned state of a balancer from one process
// of a node to the next. Servers and kinds are identified by name, since each process has its own indices. It
// does no file I/O.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "balancer/balancer.h"

namespace brookrelay {

// Encodes the snapshot as a JSON object. `name_of` maps a server's index to its name.
std::string format_warm_start(const WarmStartSnapshot& snapshot, const std::vector<std::string>& kinds,
                              const std::function<std::string(int)>& name_of);
// Returns nothing if the text is malformed. `index_of_server` returns -1 for an unknown server, which is
// skipped.
std::optional<WarmStartSnapshot> parse_warm_start(
    const std::string& content, const std::vector<std::string>& kinds,
    const std::function<int(const std::string&)>& index_of_server);

// A time that does not depend on the wall clock: the boot of the machine, and monotonic seconds since then.
struct BootTime {
    std::string boot_id;
    double seconds = 0;
};
// Adds the time of writing to the text of a snapshot.
std::string with_written_at(std::string snapshot_text, const BootTime& written_at);
// Returns nothing if the text is malformed or has no time of writing, as in a file of an older version.
std::optional<BootTime> parse_written_at(const std::string& content);

}  // namespace brookrelay
