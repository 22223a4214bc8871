#include "testkit/server_model.h"

#include <algorithm>
#include <cmath>

namespace brookrelay::testkit {

bool WorkQueue::enter(double now, int job, double work) {
    const int waits = static_cast<int>(waiting_.size() - forgotten_.size());
    const bool free_slot = static_cast<int>(running_.size()) < slots_ && waits == 0;
    if (!free_slot && waits >= queue_) return false;
    waiting_.emplace_back(job, work);
    fill(now);
    return true;
}

void WorkQueue::forget(int job) {
    for (const auto& [waiting, work] : waiting_) {
        if (waiting == job) forgotten_.insert(job);
    }
}

void WorkQueue::fill(double now) {
    while (static_cast<int>(running_.size()) < slots_ && !waiting_.empty()) {
        const auto [job, work] = waiting_.front();
        waiting_.pop_front();
        if (forgotten_.erase(job) > 0) continue;
        const double pace = pace_(now);
        running_.emplace(pace > 0 ? now + work / pace : kNever, job);
    }
}

std::optional<int> WorkQueue::pop_ended(double now) {
    if (running_.empty() || running_.top().first > now) return std::nullopt;
    const auto [end, job] = running_.top();
    running_.pop();
    // The next job starts at the time when this one ended, however late the caller asks.
    fill(end);
    return job;
}

std::vector<int> WorkQueue::clear() {
    std::vector<int> jobs;
    for (; !running_.empty(); running_.pop()) jobs.push_back(running_.top().second);
    for (const auto& [job, work] : waiting_) {
        if (!forgotten_.contains(job)) jobs.push_back(job);
    }
    waiting_.clear();
    forgotten_.clear();
    return jobs;
}

void OverloadDetector::offered(double now, double work) {
    const auto number = static_cast<std::int64_t>(std::floor(now / kBucket));
    Bucket& b = buckets_[static_cast<std::size_t>(number % kBuckets)];
    if (b.number != number) b = {number, 0};
    b.work += work;
}

double OverloadDetector::rate(double now) const {
    const auto number = static_cast<std::int64_t>(std::floor(now / kBucket));
    double sum = 0;
    // The current bucket is left out: while it is incomplete it would lower the rate and hide an overload.
    for (const Bucket& b : buckets_) {
        if (b.number < number && b.number > number - kBuckets) sum += b.work;
    }
    return sum / (kBucket * (kBuckets - 1));
}

bool OverloadDetector::over(double now, double capacity, double multiple, double time) {
    if (multiple <= 0 || rate(now) <= multiple * capacity) {
        over_since_ = -1;
        return false;
    }
    if (over_since_ < 0) over_since_ = now;
    return now - over_since_ >= time;
}

void OverloadDetector::clear() {
    buckets_ = {};
    over_since_ = -1;
}

std::optional<std::uint32_t> Store::get(std::uint64_t key) {
    const auto found = at_.find(key);
    if (found == at_.end()) return std::nullopt;
    order_.splice(order_.begin(), order_, found->second);
    return found->second->second;
}

void Store::put(std::uint64_t key, std::uint32_t version) {
    if (most_ == 0) return;
    const auto found = at_.find(key);
    if (found != at_.end()) {
        found->second->second = version;
        order_.splice(order_.begin(), order_, found->second);
        return;
    }
    if (order_.size() >= most_) {
        at_.erase(order_.back().first);
        order_.pop_back();
    }
    order_.emplace_front(key, version);
    at_[key] = order_.begin();
}

void Store::drop(std::uint64_t key) {
    const auto found = at_.find(key);
    if (found == at_.end()) return;
    order_.erase(found->second);
    at_.erase(found);
}

void Store::drop_if(const std::function<bool(std::uint64_t)>& goes) {
    for (auto at = order_.begin(); at != order_.end();) {
        if (!goes(at->first)) {
            ++at;
            continue;
        }
        at_.erase(at->first);
        at = order_.erase(at);
    }
}

void Store::clear() {
    at_.clear();
    order_.clear();
}

bool DeduplicationWindow::seen(double now, std::uint64_t mark, double window) {
    while (!order_.empty() && order_.front().first <= now) {
        const auto found = marks_.find(order_.front().second);
        if (found != marks_.end() && found->second <= now) marks_.erase(found);
        order_.pop_front();
    }
    const auto [at, is_new] = marks_.try_emplace(mark, now + window);
    if (!is_new) return true;
    // Windows differ by operation and entries expire in order of arrival, so a long window may keep shorter
    // ones after it beyond their end.
    order_.emplace_back(now + window, mark);
    return false;
}

}  // namespace brookrelay::testkit
