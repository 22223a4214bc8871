// The parts of a fake server, without sockets or clocks: slots with a work queue, a bounded store with LRU
// eviction, a capacity that rises after a cold start, an overload detector, and a deduplication window. The
// caller passes all times, in seconds. The auditor, not this model, checks the rules.
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

// Executes jobs on a number of slots in FIFO order. A job takes work / pace seconds, with the pace at its
// start: a change of pace affects the jobs that start later.
class WorkQueue {
  public:
    using Pace =
        std::function<double(double now)>;  // work per second and slot; 0: a job that starts now never ends
    WorkQueue(int slots, int queue, Pace pace) : slots_(slots), queue_(queue), pace_(std::move(pace)) {}

    bool enter(double now, int job, double work);  // false: rejected, the queue is full
    void forget(int job);                          // drops a queued job; a running one continues
    double next_end() const { return running_.empty() ? kNever : running_.top().first; }
    std::optional<int> pop_ended(double now);  // one finished job; call until it returns nullopt
    std::vector<int> clear();                  // removes and returns all unfinished jobs
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

// The part of its full capacity that a server has at an age after a cold start. It rises linearly.
struct ColdCurve {
    double from = 1;        // part right after a cold start
    double warm_after = 0;  // seconds until the full capacity
    double part(double age) const {
        if (age >= warm_after || warm_after <= 0) return 1;
        return from + (1 - from) * (age < 0 ? 0 : age / warm_after);
    }
};

// Detects that the offered work exceeds a multiple of the capacity without a break for some time.
class OverloadDetector {
  public:
    void offered(double now, double work);
    // Evaluates the last half second. Call it several times a second.
    bool over(double now, double capacity, double multiple, double time);
    double rate(double now) const;  // offered work per second, over the last half second
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

// Holds a bounded number of copies by key and evicts the least recently used one.
class Store {
  public:
    explicit Store(std::size_t most) : most_(most) {}
    std::optional<std::uint32_t> get(std::uint64_t key);  // the copy's version
    void put(std::uint64_t key, std::uint32_t version);
    void drop(std::uint64_t key);
    // Drops the keys for which `goes` returns true.
    void drop_if(const std::function<bool(std::uint64_t)>& goes);
    void clear();
    std::size_t size() const { return order_.size(); }

  private:
    using Entry = std::pair<std::uint64_t, std::uint32_t>;
    std::size_t most_;
    std::list<Entry> order_;  // most recently used first
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> at_;
};

// Remembers the idempotency keys (marks) of writes, each for its deduplication window.
class DeduplicationWindow {
  public:
    // Returns whether the mark was first seen within its window. If not, it is remembered from now on.
    bool seen(double now, std::uint64_t mark, double window);
    void clear() { marks_.clear(), order_.clear(); }
    std::size_t size() const { return marks_.size(); }

  private:
    std::unordered_map<std::uint64_t, double> marks_;    // end of the window by mark
    std::list<std::pair<double, std::uint64_t>> order_;  // end of the window and mark, in order of arrival
};

}  // namespace brookrelay::testkit
