#include "testkit/server_model.h"

#include <algorithm>
#include <cmath>

namespace brookrelay::testkit {

bool WorkQueue::enqueue(double now, int job, double work) {
    const int queued = static_cast<int>(waiting_.size() - dropped_.size());
    const bool free_slot = static_cast<int>(running_.size()) < slots_ && queued == 0;
    if (!free_slot && queued >= queue_limit_) return false;
    waiting_.emplace_back(job, work);
    start_jobs(now);
    return true;
}

void WorkQueue::drop_queued(int job) {
    for (const auto& [waiting, work] : waiting_) {
        if (waiting == job) dropped_.insert(job);
    }
}

void WorkQueue::start_jobs(double now) {
    while (static_cast<int>(running_.size()) < slots_ && !waiting_.empty()) {
        const auto [job, work] = waiting_.front();
        waiting_.pop_front();
        if (dropped_.erase(job) > 0) continue;
        const double rate_per_slot = work_rate_(now);
        running_.emplace(rate_per_slot > 0 ? now + work / rate_per_slot : kNever, job);
    }
}

std::optional<int> WorkQueue::pop_finished(double now) {
    if (running_.empty() || running_.top().first > now) return std::nullopt;
    const auto [end, job] = running_.top();
    running_.pop();
    // The next job starts at the time when this one ended, however late the caller asks.
    start_jobs(end);
    return job;
}

std::vector<int> WorkQueue::clear() {
    std::vector<int> jobs;
    for (; !running_.empty(); running_.pop()) jobs.push_back(running_.top().second);
    for (const auto& [job, work] : waiting_) {
        if (!dropped_.contains(job)) jobs.push_back(job);
    }
    waiting_.clear();
    dropped_.clear();
    return jobs;
}

void OverloadDetector::add_work(double now, double work) {
    const auto number = static_cast<std::int64_t>(std::floor(now / kBucketSeconds));
    Bucket& b = buckets_[static_cast<std::size_t>(number % kBucketCount)];
    if (b.number != number) b = {number, 0};
    b.work += work;
}

double OverloadDetector::rate(double now) const {
    const auto number = static_cast<std::int64_t>(std::floor(now / kBucketSeconds));
    double sum = 0;
    // The current bucket is left out: while it is incomplete it would lower the rate and hide an overload.
    for (const Bucket& b : buckets_) {
        if (b.number < number && b.number > number - kBucketCount) sum += b.work;
    }
    return sum / (kBucketSeconds * (kBucketCount - 1));
}

bool OverloadDetector::is_overloaded(double now, double capacity, double multiple, double duration) {
    if (multiple <= 0 || rate(now) <= multiple * capacity) {
        overloaded_since_ = -1;
        return false;
    }
    if (overloaded_since_ < 0) overloaded_since_ = now;
    return now - overloaded_since_ >= duration;
}

void OverloadDetector::clear() {
    buckets_ = {};
    overloaded_since_ = -1;
}

std::optional<std::uint32_t> Store::get(std::uint64_t key) {
    const auto found = index_.find(key);
    if (found == index_.end()) return std::nullopt;
    entries_.splice(entries_.begin(), entries_, found->second);
    return found->second->second;
}

void Store::put(std::uint64_t key, std::uint32_t version) {
    if (max_entries_ == 0) return;
    const auto found = index_.find(key);
    if (found != index_.end()) {
        found->second->second = version;
        entries_.splice(entries_.begin(), entries_, found->second);
        return;
    }
    if (entries_.size() >= max_entries_) {
        index_.erase(entries_.back().first);
        entries_.pop_back();
    }
    entries_.emplace_front(key, version);
    index_[key] = entries_.begin();
}

void Store::drop(std::uint64_t key) {
    const auto found = index_.find(key);
    if (found == index_.end()) return;
    entries_.erase(found->second);
    index_.erase(found);
}

void Store::drop_if(const std::function<bool(std::uint64_t)>& should_drop) {
    for (auto at = entries_.begin(); at != entries_.end();) {
        if (!should_drop(at->first)) {
            ++at;
            continue;
        }
        index_.erase(at->first);
        at = entries_.erase(at);
    }
}

void Store::clear() {
    index_.clear();
    entries_.clear();
}

bool DeduplicationWindow::check_and_add(double now, std::uint64_t idempotency_key, double window) {
    while (!expiry_queue_.empty() && expiry_queue_.front().first <= now) {
        const auto found = expiry_by_key_.find(expiry_queue_.front().second);
        if (found != expiry_by_key_.end() && found->second <= now) expiry_by_key_.erase(found);
        expiry_queue_.pop_front();
    }
    const auto [at, is_new] = expiry_by_key_.try_emplace(idempotency_key, now + window);
    if (!is_new) return true;
    // Windows differ by operation and entries expire in order of arrival, so a long window may keep shorter
    // ones after it beyond their end.
    expiry_queue_.emplace_back(now + window, idempotency_key);
    return false;
}

}  // namespace brookrelay::testkit
