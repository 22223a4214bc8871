// The warm-start snapshot as text: what a balancer has snapshot, from one process of a node to the next.
// Servers, kinds and tenants are identified by name, since each process has its own indices. It does no file
// I/O, and a malformed text is no snapshot.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "balancer/balancer.h"

namespace brookrelay {

// A JSON object. `name_of` maps a server's index to its name.
std::string format_warm_start(const WarmStartSnapshot& snapshot, const std::vector<std::string>& kinds,
                              const std::function<std::string(int)>& name_of);
// Nothing if the text is malformed. `index_of_server` returns -1 for an unknown server, which is skipped.
std::optional<WarmStartSnapshot> parse_warm_start(
    const std::string& content, const std::vector<std::string>& kinds,
    const std::function<int(const std::string&)>& index_of_server);

// A moment that does not depend on the wall clock: the boot of the machine, and monotonic seconds since.
struct BootTime {
    std::string boot_id;
    double seconds = 0;
};
// The snapshot's text with the moment at which it is written.
std::string with_written_at(std::string snapshot_text, const BootTime& written_at);
// Nothing if the text is malformed or does not tell it, as that of an older program.
std::optional<BootTime> parse_written_at(const std::string& content);

}  // namespace brookrelay
