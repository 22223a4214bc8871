// What a stand-in server is made of, without sockets or clocks: slots and a queue for work, a bounded store
// that forgets the longest unused, a capacity that rises after a cold start, the meter of whoever pushes it
// over, and the marks by which repeats are known. Times are told, in seconds. It never judges a rule.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <optional>
#include <queue>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace brookrelay::testkit {

constexpr double kNever = std::numeric_limits<double>::infinity();

// Pieces of work on so many slots, first come, first served. A piece takes work / pace seconds by the pace at
// its begin: a server that becomes slow is slow from the next piece on.
class WorkQueue {
  public:
    using Pace = std::function<double(double now)>;  // work a second a slot; 0: it stands still for now
    WorkQueue(int slots, int queue, Pace pace) : slots_(slots), queue_(queue), pace_(std::move(pace)) {}

    bool enter(double now, int job, double work);  // false: full, turned away
    void forget(int job);                          // waits no more; one that runs goes on
    double next_end() const { return running_.empty() ? kNever : running_.top().first; }
    std::optional<int> pop_ended(double now);  // call until there is none
    std::vector<int> clear();                  // all its jobs, undone
    int open() const { return static_cast<int>(running_.size() + waiting_.size() - forgotten_.size()); }

  private:
    void fill(double now);
    using Run = std::pair<double, int>;
    int slots_, queue_;
    Pace pace_;
    std::priority_queue<Run, std::vector<Run>, std::greater<>> running_;
    std::list<std::pair<int, double>> waiting_;
    std::unordered_set<int> forgotten_;
};

// The part of its capacity that a server has some time after its start.
struct ColdCurve {
    double from = 1;        // right after a cold start
    double warm_after = 0;  // seconds
    double part(double age) const {
        if (age >= warm_after || warm_after <= 0) return 1;
        return from + (1 - from) * (age < 0 ? 0 : age / warm_after);
    }
};

// Whether more than a multiple of the capacity has been asked for, without a break, for some time.
class OverloadDetector {
  public:
    void offered(double now, double work);
    // Looks at the last half second; call it several times a second.
    bool over(double now, double capacity, double multiple, double time);
    double rate(double now) const;  // work a second, over the last half second
    void clear();

  private:
    static constexpr int kBuckets = 5;
    static constexpr double kBucket = 0.1;
    struct Bucket {
        std::int64_t number = -1;
        double work = 0;
    };
    std::array<Bucket, kBuckets> buckets_{};
    double over_since_ = -1;
};

// Copies by key, so many; the one that was asked for longest ago goes first.
class Store {
  public:
    explicit Store(std::size_t most) : most_(most) {}
    std::optional<std::uint32_t> get(std::uint64_t key);  // the copy's version
    void put(std::uint64_t key, std::uint32_t version);
    void drop(std::uint64_t key);
    // Drops those of which `goes` says so.
    void drop_if(const std::function<bool(std::uint64_t)>& goes);
    void clear();
    std::size_t size() const { return order_.size(); }

  private:
    using Entry = std::pair<std::uint64_t, std::uint32_t>;
    std::size_t most_;
    std::list<Entry> order_;  // the last used in front
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> at_;
};

// The marks of writes, each known for some time.
class DeduplicationWindow {
  public:
    // True: it is known, and was first seen within its window. Else it is known from now on.
    bool seen(double now, std::uint64_t mark, double window);
    void clear() { marks_.clear(), order_.clear(); }
    std::size_t size() const { return marks_.size(); }

  private:
    std::unordered_map<std::uint64_t, double> marks_;  // until when
    std::list<std::pair<double, std::uint64_t>> order_;
};

}  // namespace brookrelay::testkit
