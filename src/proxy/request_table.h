/// The requests this node has taken, each in a slot whose index is the request's number for the balancer and
/// the upstream pool. The table owns the slots, their reuse, the count of open requests and their ids. It
/// sends nothing, and draws no conclusion from a deadline.
#pragma once

#include <string>
#include <unordered_set>
#include <vector>

#include "balancer/balancer.h"
#include "downstream/client_connections.h"
#include "io/timer_queue.h"

namespace brookrelay {

/// A request from its arrival until nothing of it can be heard any more. Times are monotonic, in seconds.
struct ActiveRequest {
    ClientConnections::RequestHandle client;
    Command command;
    double received_at = 0;
    double deadline = 0;            // when its client stops waiting
    Operation operation;            // as configured when it was received; a reload changes nothing for it
    int possible_runs = 0;          // attempts that were written and are not proven never to have run
    double may_have_run_since = 0;  // when the first of these was written; 0: there is none
    int attempts = 0;               // started so far
    int in_flight = 0;              // attempts whose result is still to come
    bool answered = true;
    TimerQueue::Handle expiry_timer;
};

class RequestTable {
  public:
    /// Opens a request in a free slot and returns its number.
    int open(const ClientConnections::RequestHandle& client, Command&& command, double received_at,
             double deadline, const Operation& operation);
    /// Marks an open request as answered: its id is free again. The slot stays until release().
    void close(int number);
    /// Frees the slot of a request that is answered and has no attempt in flight; else does nothing.
    void release(int number);

    ActiveRequest& at(int number) { return slots_[static_cast<std::size_t>(number)]; }
    int open_count() const { return open_count_; }
    bool is_id_open(const std::string& id) const { return open_ids_.contains(id); }
    /// The numbers of all requests that are not answered yet, in ascending order.
    std::vector<int> open_requests() const;
    /// When the oldest request that still has its slot was received; `now` where there is none.
    double oldest_received_at(double now) const;

  private:
    std::vector<ActiveRequest> slots_;
    std::vector<int> free_slots_;
    int open_count_ = 0;
    std::unordered_set<std::string> open_ids_;
};

}  // namespace brookrelay
