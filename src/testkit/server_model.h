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
    using WorkRate =
        std::function<double(double now)>;  // work per second and slot; 0: a job that starts now never ends
    WorkQueue(int slots, int queue, WorkRate rate_per_slot)
        : slots_(slots), queue_limit_(queue), work_rate_(std::move(rate_per_slot)) {}

    bool enqueue(double now, int job, double work);  // false: rejected, the queue is full
    void drop_queued(int job);                       // drops a queued job; a running one continues
    double next_finish_time() const { return running_.empty() ? kNever : running_.top().first; }
    std::optional<int> pop_finished(double now);  // one finished job; call until it returns nullopt
    std::vector<int> clear();                     // removes and returns all unfinished jobs
    int open_jobs() const { return static_cast<int>(running_.size() + waiting_.size() - dropped_.size()); }

  private:
    void start_jobs(double now);
    using RunningJob = std::pair<double, int>;
    int slots_, queue_limit_;
    WorkRate work_rate_;
    std::priority_queue<RunningJob, std::vector<RunningJob>, std::greater<>> running_;
    std::list<std::pair<int, double>> waiting_;
    std::unordered_set<int> dropped_;
};

// The part of its full capacity that a server has at an age after a cold start. It rises linearly.
struct ColdCurve {
    double initial_ratio = 1;  // part right after a cold start
    double warm_after = 0;     // seconds until the full capacity
    double capacity_ratio(double age) const {
        if (age >= warm_after || warm_after <= 0) return 1;
        return initial_ratio + (1 - initial_ratio) * (age < 0 ? 0 : age / warm_after);
    }
};

// Detects that the offered work exceeds a multiple of the capacity without a break for some time.
class OverloadDetector {
  public:
    void add_work(double now, double work);
    // Evaluates the last half second. Call it several times a second.
    bool is_overloaded(double now, double capacity, double multiple, double duration);
    double rate(double now) const;  // offered work per second, over the last half second
    void clear();

  private:
    static constexpr int kBucketCount = 5;
    static constexpr double kBucketSeconds = 0.1;
    struct Bucket {
        std::int64_t number = -1;
        double work = 0;
    };
    std::array<Bucket, kBucketCount> buckets_{};
    double overloaded_since_ = -1;
};

// Holds a bounded number of copies by key and evicts the least recently used one.
class Store {
  public:
    explicit Store(std::size_t max_entries) : max_entries_(max_entries) {}
    std::optional<std::uint32_t> get(std::uint64_t key);  // the copy's version
    void put(std::uint64_t key, std::uint32_t version);
    void drop(std::uint64_t key);
    // Drops the keys for which `should_drop` returns true.
    void drop_if(const std::function<bool(std::uint64_t)>& should_drop);
    void clear();
    std::size_t size() const { return entries_.size(); }

  private:
    using Entry = std::pair<std::uint64_t, std::uint32_t>;
    std::size_t max_entries_;
    std::list<Entry> entries_;  // most recently used first
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> index_;
};

// Remembers the idempotency keys of writes, each for its deduplication window.
class DeduplicationWindow {
  public:
    // Returns whether the key was first seen within its window. If not, it is remembered from now on.
    bool check_and_add(double now, std::uint64_t idempotency_key, double window);
    void clear() { expiry_by_key_.clear(), expiry_queue_.clear(); }
    std::size_t size() const { return expiry_by_key_.size(); }

  private:
    std::unordered_map<std::uint64_t, double> expiry_by_key_;  // end of the window by idempotency key
    std::list<std::pair<double, std::uint64_t>>
        expiry_queue_;  // end of the window and idempotency key, in order of arrival
};

}  // namespace brookrelay::testkit
