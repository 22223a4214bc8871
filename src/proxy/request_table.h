/// The requests that this node has accepted, each in a slot whose index is the request's number for the
/// balancer and the upstream pool. The table owns the slots and their reuse, the number of open requests and
/// their ids. It sends nothing and does not enforce deadlines.
#pragma once

#include <string>
#include <unordered_set>
#include <vector>

#include "balancer/balancer.h"
#include "downstream/client_connections.h"
#include "io/timer_queue.h"

namespace brookrelay {

/// A request from its arrival until it is answered and none of its attempts is in flight. Times are
/// monotonic, in seconds.
struct ActiveRequest {
    ClientConnections::RequestHandle client;
    Command command;
    double received_at = 0;
    double deadline = 0;            // when its client stops waiting
    Operation operation;            // as configured when the request was received; reloads do not change it
    int possible_runs = 0;          // attempts that were written and may have run on their server
    double may_have_run_since = 0;  // when the first of these was written; 0 if there is none
    int attempts = 0;               // attempts started so far
    int in_flight = 0;              // attempts without a result so far
    bool answered = true;
    TimerQueue::Handle expiry_timer;
};

/// The slots of all requests.
class RequestTable {
  public:
    /// Opens a request in a free slot and returns its number.
    int open(const ClientConnections::RequestHandle& client, Command&& command, double received_at,
             double deadline, const Operation& operation);
    /// Marks an open request as answered, so that its id may be used again. Its slot is kept until release().
    void close(int number);
    /// Frees the slot of a request that is answered and has no attempt in flight; no effect on others.
    void release(int number);

    ActiveRequest& at(int number) { return slots_[static_cast<std::size_t>(number)]; }
    const ActiveRequest& at(int number) const { return slots_[static_cast<std::size_t>(number)]; }
    int open_count() const { return open_count_; }
    bool is_id_open(const std::string& id) const { return open_ids_.contains(id); }
    /// The numbers of all open requests, in ascending order.
    std::vector<int> open_requests() const;
    /// When the oldest request that occupies a slot was received, or `now` if there is none.
    double oldest_received_at(double now) const;

  private:
    std::vector<ActiveRequest> slots_;
    std::vector<int> free_slots_;
    int open_count_ = 0;
    std::unordered_set<std::string> open_ids_;
};

}  // namespace brookrelay
