/// The warm-start file, in which a process of a node saves the balancer's snapshot for the process that
/// replaces it and has no time to learn the state again. The class owns the path, not the file: all processes
/// of the node write the same file, each time as a whole.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "balancer/balancer.h"
#include "io/wall_clock.h"

namespace brookrelay {

/// Saves and loads the balancer's snapshot.
class WarmStartFile {
  public:
    explicit WarmStartFile(std::string path);

    /// Replaces the file atomically. A write error is ignored, because the next save follows soon.
    void save(const WarmStartSnapshot& snapshot, const ClockReading& clock,
              const std::vector<std::string>& kinds, const std::function<std::string(int)>& name_of) const;
    /// Returns the snapshot, or nothing if the file is missing, malformed or too old. `number_of` returns -1
    /// for an unknown server, whose entries are skipped.
    std::optional<WarmStartSnapshot> load(const ClockReading& clock, const std::vector<std::string>& kinds,
                                          const std::function<int(const std::string&)>& number_of) const;

  private:
    double age_of(const std::string& text, const ClockReading& clock) const;

    std::string path_;
};

}  // namespace brookrelay
