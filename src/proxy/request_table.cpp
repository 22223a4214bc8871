#include "proxy/request_table.h"

#include <algorithm>
#include <utility>

namespace brookrelay {

int RequestTable::open(const ClientConnections::RequestHandle& client, Command&& command, double received_at,
                       double deadline, const Operation& operation) {
    if (free_slots_.empty()) {
        free_slots_.push_back(static_cast<int>(slots_.size()));
        slots_.emplace_back();
    }
    const int number = free_slots_.back();
    free_slots_.pop_back();
    ++open_count_;
    open_ids_.insert(command.id);
    at(number) = {client, std::move(command), received_at, deadline, operation, 0, 0, 0, 0, false, {}};
    return number;
}

void RequestTable::close(int number) {
    ActiveRequest& request = at(number);
    request.answered = true;
    --open_count_;
    open_ids_.erase(request.command.id);
    request.command.value = {};  // no further attempt is sent, and the slot may be kept for long
}

void RequestTable::release(int number) {
    ActiveRequest& request = at(number);
    if (!request.answered || request.in_flight > 0 || request.client.connection == 0) return;
    request = {};
    free_slots_.push_back(number);
}

std::vector<int> RequestTable::open_requests() const {
    std::vector<int> numbers;
    for (std::size_t i = 0; i < slots_.size(); ++i) {
        if (!slots_[i].answered) numbers.push_back(static_cast<int>(i));
    }
    return numbers;
}

double RequestTable::oldest_received_at(double now) const {
    double oldest = now;
    for (const ActiveRequest& request : slots_) {
        if (request.client.connection != 0) oldest = std::min(oldest, request.received_at);
    }
    return oldest;
}

}  // namespace brookrelay
