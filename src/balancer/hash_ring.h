// The sorted points of one consistent-hashing ring. A container: which points belong on it is the balancer's
// choice.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace brookrelay {

// One of a server's points, by its position on the ring.
struct RingPoint {
    std::uint32_t position;
    int server;
};

class HashRing {
  public:
    using Points = std::vector<RingPoint>;

    bool empty() const { return points_.empty(); }
    std::size_t size() const { return points_.size(); }
    Points::const_iterator begin() const { return points_.begin(); }
    Points::const_iterator end() const { return points_.end(); }

    // The first point at or after the position; end() if there is none, where a walk goes on at begin().
    Points::const_iterator find(std::uint32_t position) const {
        return std::lower_bound(points_.begin(), points_.end(), position,
                                [](const RingPoint& point, std::uint32_t at) { return point.position < at; });
    }
    template <typename Predicate>
    void remove_if(const Predicate& predicate) {
        std::erase_if(points_, predicate);
    }
    // `before` orders points, also those of one position, alike at every node.
    template <typename Before>
    void insert(Points added, const Before& before) {
        std::sort(added.begin(), added.end(), before);
        const auto old_size = static_cast<std::ptrdiff_t>(points_.size());
        points_.insert(points_.end(), added.begin(), added.end());
        std::inplace_merge(points_.begin(), points_.begin() + old_size, points_.end(), before);
    }

  private:
    Points points_;
};

}  // namespace brookrelay
