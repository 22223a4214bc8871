// Containers for the points of consistent-hashing rings. The balancer decides which points belong on a ring.
//
// A ring is divided into equal arcs whose points are sorted, so that the cost of a change depends on the
// points in the affected arcs and not on the size of the ring.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace brookrelay {

// One point of a server on a ring.
struct RingPoint {
    std::uint32_t position;
    int server;
};

// A ring of points, sorted clockwise by position.
class HashRing {
  public:
    using Points = std::vector<RingPoint>;

    HashRing() : arcs_(kArcs) {}
    bool empty() const { return size_ == 0; }
    std::size_t size() const { return size_; }

    // Adds points. `before` is a strict order of points that is the same at every node, also for points at
    // the same position. Returns the number of points that were moved or compared.
    template <typename Before>
    std::size_t insert(const Points& added, const Before& before) {
        std::vector<bool> is_disordered(kArcs);
        for (const RingPoint& point : added) {
            const std::size_t number = arc_of(point.position);
            Points& arc = arcs_[number];
            if (!arc.empty() && before(point, arc.back())) is_disordered[number] = true;
            arc.push_back(point);
        }
        size_ += added.size();
        std::size_t touched = added.size();
        for (std::size_t number = 0; !added.empty() && number < kArcs; ++number) {
            if (!is_disordered[number]) continue;
            std::sort(arcs_[number].begin(), arcs_[number].end(), before);
            touched += arcs_[number].size();
        }
        return touched;
    }
    // Removes the point of the given server and position, if present. Returns the number of points that were
    // moved or compared.
    std::size_t erase(const RingPoint& removed) {
        Points& arc = arcs_[arc_of(removed.position)];
        const auto found = std::find_if(arc.begin(), arc.end(), [&removed](const RingPoint& point) {
            return point.position == removed.position && point.server == removed.server;
        });
        const std::size_t touched = arc.size();
        if (found == arc.end()) return touched;
        arc.erase(found);
        --size_;
        return touched;
    }

    // Visits every point once, clockwise from a position.
    class Cursor {
      public:
        Cursor(const HashRing& ring, std::uint32_t from)
            : ring_(&ring), arc_(arc_of(from)), left_(ring.size()) {
            const Points& arc = ring.arcs_[arc_];
            index_ = static_cast<std::size_t>(std::lower_bound(arc.begin(), arc.end(), from,
                                                               [](const RingPoint& point, std::uint32_t at) {
                                                                   return point.position < at;
                                                               }) -
                                              arc.begin());
            skip_empty_arcs();
        }
        bool at_end() const { return left_ == 0; }
        const RingPoint& point() const { return ring_->arcs_[arc_][index_]; }
        void advance() {
            --left_;
            ++index_;
            skip_empty_arcs();
        }

      private:
        void skip_empty_arcs() {
            if (left_ == 0) return;
            while (index_ >= ring_->arcs_[arc_].size()) {
                arc_ = (arc_ + 1) % kArcs;
                index_ = 0;
            }
        }
        const HashRing* ring_;
        std::size_t arc_;
        std::size_t index_ = 0;
        std::size_t left_;  // points that are not visited yet
    };

  private:
    // Base-2 logarithm of the number of arcs. With a thousand servers an arc holds about a hundred points.
    static constexpr std::size_t kArcBits = 10;
    static constexpr std::size_t kArcs = std::size_t{1} << kArcBits;
    static std::size_t arc_of(std::uint32_t position) { return position >> (32U - kArcBits); }

    std::vector<Points> arcs_;
    std::size_t size_ = 0;
};

// Walks over the points of several rings as if they were one ring, clockwise from a position.
class RingWalk {
  public:
    RingWalk(const HashRing* first, std::size_t rings, std::uint32_t from) : from_(from) {
        cursors_.reserve(rings);
        for (std::size_t i = 0; i < rings; ++i) cursors_.emplace_back(first[i], from);
    }
    // Returns the server of the next point, or -1 after the last one. `before` must be the order of the
    // rings' points.
    template <typename Before>
    int next(const Before& before) {
        HashRing::Cursor* nearest = nullptr;
        for (HashRing::Cursor& cursor : cursors_) {
            if (!cursor.at_end() && (nearest == nullptr || is_nearer(cursor, *nearest, before)))
                nearest = &cursor;
        }
        if (nearest == nullptr) return -1;
        const int server = nearest->point().server;
        nearest->advance();
        return server;
    }

  private:
    template <typename Before>
    bool is_nearer(const HashRing::Cursor& a, const HashRing::Cursor& b, const Before& before) const {
        const std::uint32_t to_a = a.point().position - from_;
        const std::uint32_t to_b = b.point().position - from_;
        return to_a != to_b ? to_a < to_b : before(a.point(), b.point());
    }

    std::vector<HashRing::Cursor> cursors_;
    std::uint32_t from_;
};

}  // namespace brookrelay
