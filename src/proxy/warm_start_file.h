/// The warm-start file: where one process of a node keeps the balancer's snapshot for the process that takes
/// its place, which has no time to learn it anew. The class owns the path, not the file: every process of the
/// node writes the same one, each time as a whole.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "balancer/balancer.h"
#include "io/wall_clock.h"

namespace brookrelay {

class WarmStartFile {
  public:
    explicit WarmStartFile(std::string path);

    /// Replaces the file atomically; where the write fails the error is ignored, since the next save is near.
    void save(const WarmStartSnapshot& snapshot, const ClockReading& clock,
              const std::vector<std::string>& kinds, const std::function<std::string(int)>& name_of) const;
    /// The snapshot, or nothing where the file is missing, malformed or too old. `number_of` returns -1 for a
    /// server that is not known; its entries are left out.
    std::optional<WarmStartSnapshot> load(const ClockReading& clock, const std::vector<std::string>& kinds,
                                          const std::function<int(const std::string&)>& number_of) const;

  private:
    double age_of(const std::string& text, const ClockReading& clock) const;

    std::string path_;
};

}  // namespace brookrelay
