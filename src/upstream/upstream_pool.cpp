#include "upstream/upstream_pool.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "protocol/http1.h"
#include "protocol/origin_http.h"

namespace brookrelay {
namespace {

// An HTTP connection is not reused until this time after a response, because a duplicate of the response may
// still arrive.
constexpr double kHttpReuseDelaySeconds = 0.04;
// Connections are reused for this fraction of the configured idle timeout. Later the peer may be about to
// close them.
constexpr double kIdleTimeoutFraction = 0.8;
constexpr double kDefaultConnectTimeoutSeconds = 1.0;
// Idle timeout if none is configured: practically unlimited.
constexpr double kNoIdleTimeoutSeconds = 1e9;
constexpr double kExpiryCheckIntervalSeconds = 1.0;
// Smallest remaining send timeout: 0 would mean that there is none.
constexpr double kMinSendTimeoutSeconds = 1e-6;
// Malformed input is logged up to this length.
constexpr std::size_t kLoggedInputBytes = 80;

}  // namespace

UpstreamPool::UpstreamPool(TimerQueue& timers, Log& log, const Deployment& deployment, const Limits& limits,
                           OnFinished on_finished, OnConnected on_connected, OnWrite on_write,
                           BodySink body_sink)
    : timers_(timers),
      log_(log),
      limits_(limits),
      connection_limit_(limits.connections),
      budget_{limits.bytes, 0, 0, limits.queued_bytes},
      on_finished_(std::move(on_finished)),
      on_connected_(std::move(on_connected)),
      on_write_(std::move(on_write)),
      body_sink_(std::move(body_sink)) {
    apply_configuration(deployment);
    close_expired();
}

void UpstreamPool::apply_configuration(const Deployment& deployment) {
    connect_timeout_ =
        deployment.connect_timeout > 0 ? deployment.connect_timeout : kDefaultConnectTimeoutSeconds;
    idle_timeout_ = deployment.connection_idle_timeout > 0
                        ? kIdleTimeoutFraction * deployment.connection_idle_timeout
                        : kNoIdleTimeoutSeconds;
}

void UpstreamPool::set_budget_shares(double connections, double bytes) {
    connection_limit_ = static_cast<std::size_t>(connections * static_cast<double>(limits_.connections));
    budget_.limit = static_cast<std::size_t>(bytes * static_cast<double>(limits_.bytes));
    while (open_count_ > connection_limit_ && evict_idle()) continue;
}

void UpstreamPool::add_server(int server_id, const std::string& name, const ServerProcess& process,
                              bool is_origin) {
    if (server_id >= static_cast<int>(servers_.size()))
        servers_.resize(static_cast<std::size_t>(server_id) + 1);
    Server& server = server_at(server_id);
    const bool is_other_process = !server.process.address.empty() && server.process != process;
    server.name = name;
    server.process = process;
    server.is_origin = is_origin;
    // The previous address may now belong to another server.
    if (is_other_process) refuse_unsent_attempts(server_id);
}

bool UpstreamPool::in_use(int server_id) const {
    return servers_[static_cast<std::size_t>(server_id)].open_connections > 0;
}

void UpstreamPool::remove_server(int server_id) { server_at(server_id) = {}; }

Topic UpstreamPool::topic(int server_id) const {
    return servers_[static_cast<std::size_t>(server_id)].is_origin ? Topic::origin : Topic::cache;
}

std::uint64_t UpstreamPool::attempt_key(int request, int attempt) {
    return (static_cast<std::uint64_t>(static_cast<std::uint32_t>(request)) << 32U) |
           static_cast<std::uint32_t>(attempt);
}

void UpstreamPool::start_attempt(int request, int attempt, int server_id, const Command& command,
                                 double timeout, double send_timeout) {
    const Server& server = server_at(server_id);
    if (!has_capacity(server_id)) {
        log_.line(topic(server_id), "no_place_left",
                  server.name +
                      ": attempt not sent: this node's share of the fleet's connections to this "
                      "server is in use");
        on_finished_({request, attempt, server_id, AttemptOutcome::not_sent, 0, {}, 0, 0, false});
        return;
    }
    Connection* connection = acquire_connection(server_id);
    if (connection == nullptr) {
        log_.line(topic(server_id), "no_connection_left",
                  server.name + ": attempt not sent: the connection budget is exhausted");
        on_finished_({request, attempt, server_id, AttemptOutcome::refused, 0, {}, 0, 0, false});
        return;
    }
    connection->is_read = command.kind == Command::Kind::read;
    connection->request_id = command.id;
    if (begin_attempt(*connection, request, attempt, timeout, send_timeout))
        write_command(*connection, command);
}

void UpstreamPool::check_health(int server_id, double timeout) {
    Connection* connection = acquire_connection(server_id);
    const int check_number = next_health_check_++;
    if (connection == nullptr) {
        on_finished_({kHealthCheck, check_number, server_id, AttemptOutcome::refused, 0, {}, 0, 0, false});
        return;
    }
    connection->is_read = false;
    connection->request_id.clear();
    if (begin_attempt(*connection, kHealthCheck, check_number, timeout, 0)) write_health_check(*connection);
}

// Assigns the attempt to the connection. Returns whether its request may be written now; otherwise on_ready()
// is called later.
bool UpstreamPool::begin_attempt(Connection& connection, int request, int attempt, double timeout,
                                 double send_timeout) {
    connection.is_busy = true;
    connection.is_written = false;
    connection.request = request;
    connection.attempt = attempt;
    connection.started_at = monotonic_now();
    in_flight_.emplace(attempt_key(request, attempt), &connection);
    connection.deadline = connection.started_at + timeout;
    connection.attempt_timer = timers_.schedule(connection.deadline, [this, &connection] {
        connection.attempt_timer = {};
        fail_connection(connection, AttemptOutcome::timed_out);
    });
    if (send_timeout > 0) {
        connection.send_timer = timers_.schedule(connection.started_at + send_timeout, [this, &connection] {
            connection.send_timer = {};
            if (!is_fully_sent(connection) || connection.socket->has_unacknowledged_output())
                fail_connection(connection, AttemptOutcome::timed_out);
        });
    }
    if (!connection.socket->is_connected()) return false;
    // A duplicate of the last response may arrive some milliseconds late. Waiting is better than opening a
    // new connection, because the origin itself holds only a few.
    const double reusable_at = server_at(connection.server).is_origin && connection.last_used > 0
                                   ? connection.last_used + kHttpReuseDelaySeconds
                                   : 0;
    if (reusable_at <= connection.started_at) return true;
    connection.idle_timer = timers_.schedule(reusable_at, [this, &connection] {
        connection.idle_timer = {};
        on_ready(connection);
    });
    return false;
}

void UpstreamPool::on_ready(Connection& connection) {
    if (connection.request == kHealthCheck) return write_health_check(connection);
    on_connected_(connection.request, connection.attempt, connection.server);
}

// Moves an attempt to another connection with its remaining time. Called when its connection closes or
// receives a duplicate response during the reuse delay, before anything of the attempt is sent.
void UpstreamPool::reassign_attempt(Connection& connection) {
    log_.line(topic(connection.server), "second_answer",
              server_at(connection.server).name +
                  ": connection discarded: closed, or a second response received, during the reuse delay");
    const double now = monotonic_now();
    const int request = connection.request, attempt = connection.attempt, server_id = connection.server;
    const bool is_read = connection.is_read;
    const double timeout = connection.deadline - now,
                 send_timeout = connection.send_timer.second != 0
                                    ? std::max(connection.send_timer.first - now, kMinSendTimeoutSeconds)
                                    : 0;
    std::string request_id = std::move(connection.request_id);
    in_flight_.erase(attempt_key(request, attempt));
    connection.is_busy = false;
    close(connection);
    Connection* next = acquire_connection(server_id);
    if (next == nullptr)
        return on_finished_({request,
                             attempt,
                             server_id,
                             AttemptOutcome::refused,
                             now - connection.started_at,
                             {},
                             0,
                             0,
                             false});
    next->is_read = is_read;
    next->request_id = std::move(request_id);
    if (begin_attempt(*next, request, attempt, timeout, send_timeout)) on_ready(*next);
}

// Writes the request of an attempt. Only called on an established connection: a connecting TcpConnection
// would send buffered bytes as soon as it is established, even if by then the deadline has passed, the server
// is draining or the client has closed. The request states the time left now, because waiting for the
// connection has used a part of it.
void UpstreamPool::write_command(Connection& connection, const Command& command) {
    const Server& server = server_at(connection.server);
    const double time_left = connection.deadline - monotonic_now();
    on_write_(connection.request, connection.attempt, connection.server, time_left);
    connection.is_written = true;
    if (server.is_origin) {
        write_request(connection, format_origin_request_head(command, time_left, server.process.address),
                      command.value, {});
    } else {
        write_request(connection, format_command_line(command, time_left), command.value,
                      command.kind == Command::Kind::write ? "\r\n" : "");
    }
}

// Writes a short request at once, and a long value without a copy.
void UpstreamPool::write_request(Connection& connection, std::string head, const SharedBytes& value,
                                 std::string_view end) {
    if (value.size() <= kMaxCopiedValueBytes) {
        connection.socket->write(head.append(value.view()).append(end));
        return;
    }
    connection.socket->write(head);
    connection.socket->write(value);
    connection.socket->write(end);
}

void UpstreamPool::write_health_check(Connection& connection) {
    const Server& server = server_at(connection.server);
    connection.is_written = true;
    connection.socket->write(
        server.is_origin ? format_http_request("GET", "/alive", server.process.address, {}, {}) : "mn\r\n");
}

void UpstreamPool::send(int request, int attempt, const Command& command) {
    const auto entry = in_flight_.find(attempt_key(request, attempt));
    if (entry == in_flight_.end()) return;  // the result is already reported
    Connection& connection = *entry->second;
    const bool is_send_timed_out =
        connection.send_timer.second != 0 && monotonic_now() >= connection.send_timer.first;
    if (is_send_timed_out || monotonic_now() >= connection.deadline)
        return fail_connection(connection, AttemptOutcome::timed_out);
    if (connection.socket->is_connected()) write_command(connection, command);
}

void UpstreamPool::abandon(int request, int attempt) {
    const auto entry = in_flight_.find(attempt_key(request, attempt));
    if (entry == in_flight_.end()) return;
    Connection& connection = *entry->second;
    finish_attempt(connection, AttemptOutcome::not_sent);
    keep_or_close(connection, true);
}

// Returns whether the server's connection limit allows another attempt. Idle connections count towards the
// limit: a new connection is only opened if it fits in addition to the idle ones.
bool UpstreamPool::has_capacity(int server_id) {
    Server& server = server_at(server_id);
    if (!server_connection_limit_ || server.is_origin) return true;
    const int busy = server.open_connections - static_cast<int>(server.idle.size());
    const int max_open = server_connection_limit_(server_id, busy + 1);
    return busy < max_open && (!server.idle.empty() || server.open_connections < max_open);
}

void UpstreamPool::enforce_connection_limit() {
    for (std::size_t i = 0; server_connection_limit_ && i < servers_.size(); ++i) {
        Server& server = servers_[i];
        if (server.is_origin || server.idle.empty()) continue;
        const int max_open = server_connection_limit_(static_cast<int>(i), 0);
        while (!server.idle.empty() && server.open_connections > max_open) close(*server.idle.front());
    }
}

// Returns the most recently used idle connection or a new one, or nullptr if all connections are in use. An
// idle connection with unread input is closed: HTTP responses carry no request id, so a duplicate of the last
// response would be taken for the response to the next request.
UpstreamPool::Connection* UpstreamPool::acquire_connection(int server_id) {
    auto& idle = server_at(server_id).idle;
    while (!idle.empty() && !idle.back()->socket->is_idle()) close(*idle.back());
    if (idle.empty() || monotonic_now() - idle.back()->last_used >= idle_timeout_) return open(server_id);
    Connection* connection = idle.back();
    idle.pop_back();
    return connection;
}

UpstreamPool::Connection* UpstreamPool::open(int server_id) {
    if (open_count_ >= connection_limit_ && !evict_idle()) return nullptr;
    Connection& connection = connections_.emplace_back();
    ++open_count_;
    ++server_at(server_id).open_connections;
    connection.server = server_id;
    connection.process = server_at(server_id).process;
    connection.socket = std::make_unique<TcpConnection>(
        connection.process.address, kFirstReadLimitBytes, budget_,
        [this, &connection](TcpConnection::Event event) { on_event(connection, event); });
    connection.connect_timer = timers_.schedule(monotonic_now() + connect_timeout_, [this, &connection] {
        connection.connect_timer = {};
        fail_connection(connection, AttemptOutcome::timed_out);
    });
    return &connection;
}

// Closes the connection that has been idle the longest, over all servers. Returns false if none is idle.
bool UpstreamPool::evict_idle() {
    Connection* oldest = nullptr;
    for (const Server& server : servers_) {
        if (!server.idle.empty() && (oldest == nullptr || server.idle.front()->last_used < oldest->last_used))
            oldest = server.idle.front();
    }
    if (oldest != nullptr) close(*oldest);
    return oldest != nullptr;
}

void UpstreamPool::cancel(int request, int attempt) {
    const auto entry = in_flight_.find(attempt_key(request, attempt));
    if (entry == in_flight_.end()) return;  // the result is already reported
    Connection& connection = *entry->second;
    finish_attempt(connection, AttemptOutcome::cancelled);
    close(connection);
}

bool UpstreamPool::is_unsent(int request, int attempt, std::size_t tolerated_bytes) const {
    const auto entry = in_flight_.find(attempt_key(request, attempt));
    if (entry == in_flight_.end()) return false;
    const Connection& connection = *entry->second;
    return !is_fully_sent(connection) || connection.socket->unacknowledged_bytes() > tolerated_bytes;
}

// A server starts to execute a request when its last byte arrives. A request that is fully written but not
// acknowledged may still be in transit.
void UpstreamPool::cancel_partially_sent(int request, int attempt, bool may_cancel,
                                         std::size_t tolerated_bytes) {
    const auto entry = in_flight_.find(attempt_key(request, attempt));
    if (entry == in_flight_.end()) return;
    Connection& connection = *entry->second;
    const bool is_sent = is_fully_sent(connection);
    if (!connection.is_written) return;
    if (is_sent && (!may_cancel || connection.socket->unacknowledged_bytes() <= tolerated_bytes)) return;
    finish_attempt(connection, is_sent ? AttemptOutcome::cancelled : AttemptOutcome::not_sent);
    close(connection);
}

void UpstreamPool::close_idle(int server_id) {
    auto& idle = server_at(server_id).idle;
    while (!idle.empty()) close(*idle.back());
}

void UpstreamPool::on_event(Connection& connection, TcpConnection::Event event) {
    if (connection.idle_timer.second != 0 && event != TcpConnection::Event::drained)
        return reassign_attempt(connection);
    switch (event) {
        case TcpConnection::Event::connected:
            // If the main loop was delayed, this event may be dispatched before the expired connect timer.
            if (connection.connect_timer.first <= monotonic_now())
                return fail_connection(connection, AttemptOutcome::timed_out);
            timers_.cancel(connection.connect_timer);
            if (!connection.is_busy) break;
            on_ready(connection);
            break;
        case TcpConnection::Event::readable:
            read_response(connection);
            break;
        case TcpConnection::Event::drained:
            break;
        case TcpConnection::Event::closed:
            if (connection.stream != 0) {
                forward_chunks(connection);  // input received before the close may complete the body
            } else if (connection.is_busy && connection.socket->ended_cleanly() &&
                       (connection.collector || !connection.socket->input().empty())) {
                read_response(connection, true);
            } else if (connection.is_busy) {
                fail_connection(connection, AttemptOutcome::reset);
            } else {
                close(connection);
            }
            break;
    }
}

std::size_t UpstreamPool::parse_response(const Connection& connection, AttemptResponse& response,
                                         bool ended) {
    const std::string_view input = connection.socket->input();
    if (servers_[static_cast<std::size_t>(connection.server)].is_origin)
        return parse_origin_response(input, response, ended);
    Reply reply;
    const std::size_t parsed_bytes = parse_reply(input, reply);
    switch (reply.kind) {
        case Reply::Kind::value:
        case Reply::Kind::receipt:
            response.valid =
                reply.id == connection.request_id && (reply.kind == Reply::Kind::value) == connection.is_read;
            response.outcome = AttemptOutcome::succeeded;
            break;
        case Reply::Kind::miss:
            response.valid = reply.id == connection.request_id;
            response.outcome = AttemptOutcome::miss;
            break;
        case Reply::Kind::hello:
            response.valid = connection.request == kHealthCheck;
            response.outcome = AttemptOutcome::succeeded;
            break;
        case Reply::Kind::busy:
            response.valid = true;
            response.outcome = AttemptOutcome::busy;
            break;
        case Reply::Kind::failed:
            response.valid = true;
            response.outcome = AttemptOutcome::failed;
            break;
        case Reply::Kind::malformed:
            break;
    }
    response.body = std::move(reply.body);
    return parsed_bytes;
}

void UpstreamPool::keep_or_close(Connection& connection, bool reusable) {
    if (!reusable || !connection.socket->is_connected() || !connection.socket->all_written() ||
        !connection.socket->input().empty())
        return close(connection);
    Server& server = server_at(connection.server);
    if (connection.process != server.process) return close(connection);
    if (server_connection_limit_ && !server.is_origin &&
        server.open_connections > server_connection_limit_(connection.server, 0))
        return close(connection);  // the limit has been lowered since
    connection.last_used = monotonic_now();
    connection.socket->set_read_limit(kFirstReadLimitBytes);
    server.idle.push_back(&connection);
}

void UpstreamPool::read_response(Connection& connection, bool ended) {
    if (connection.stream != 0) {
        connection.last_used = monotonic_now();
        return forward_chunks(connection);
    }
    if (begin_stream(connection)) return;
    if (connection.collector || begin_collecting(connection)) return collect_body(connection, ended);
    AttemptResponse response;
    std::size_t parsed_bytes = 0;
    if (connection.is_busy) parsed_bytes = parse_response(connection, response, ended);
    if (connection.is_busy && parsed_bytes == 0 && ended)
        return fail_connection(connection, AttemptOutcome::reset);  // closed before the end of the response
    if (connection.is_busy && parsed_bytes == 0 && receive_more(connection)) return;
    if (connection.socket->is_closed()) return;
    // A response received before the request is fully sent cannot be the response to it.
    if (connection.is_busy &&
        (response.outcome == AttemptOutcome::succeeded || response.outcome == AttemptOutcome::miss))
        response.valid = response.valid && is_fully_sent(connection);
    // A write receipt is copied into a line to the client and must not contain a line end or a blank.
    if (connection.is_busy && response.outcome == AttemptOutcome::succeeded && !connection.is_read &&
        connection.request != kHealthCheck)
        response.valid = response.valid && is_printable_word(response.body);
    if (!connection.is_busy || !response.valid) return on_unexpected_input(connection);
    connection.socket->consume(parsed_bytes);
    finish_attempt(connection, response.outcome, std::move(response.body));
    keep_or_close(connection, response.reusable);
}

// Goes on to receive an incomplete response, unless it is longer than any may be. Fails the attempt if there
// is no memory for it. Returns whether the response is still awaited.
bool UpstreamPool::receive_more(Connection& connection) {
    TcpConnection& socket = *connection.socket;
    if (budget_.exceeded() && socket.input().size() > kMaxLineBytes) {
        log_.line(topic(connection.server), "no_memory",
                  server_at(connection.server).name + ": attempt failed: the byte budget is exceeded");
        fail_connection(connection, AttemptOutcome::failed);
        return false;
    }
    if (!socket.is_read_buffer_full()) return true;
    if (socket.read_limit() >= kUpstreamReadLimitBytes) return false;
    socket.set_read_limit(kUpstreamReadLimitBytes);
    return true;
}

// Fails the attempt and closes the connection: after input that does not parse or was not requested it is
// unknown to which request the next bytes belong.
void UpstreamPool::on_unexpected_input(Connection& connection) {
    const std::string_view input = connection.socket->input();
    log_.line(topic(connection.server), "nonsense",
              server_at(connection.server).name +
                  ": nonsense, connection closed: " + std::string(input.substr(0, kLoggedInputBytes)));
    // The server has responded, so it is neither down nor overloaded. Only this attempt fails, and its
    // request may have been executed.
    if (connection.is_busy) return fail_connection(connection, AttemptOutcome::failed);
    close(connection);
}

// Called when a server no longer accepts attempts (draining, drained or removed). Attempts that are not sent
// by then must no longer be sent to it. Affects only the present attempts; the owner must not start new ones.
void UpstreamPool::refuse_unsent_attempts(int server_id) {
    close_idle(server_id);
    if (server_at(server_id).open_connections == 0) return;
    searched_connections_ += connections_.size();
    for (Connection& connection : connections_) {
        if (connection.server == server_id && connection.is_busy && !connection.is_written)
            fail_connection(connection, AttemptOutcome::refused);
    }
}

// Ends the attempt and closes the connection. Only a request whose last byte was written may have been
// executed; any other ends as refused.
void UpstreamPool::fail_connection(Connection& connection, AttemptOutcome outcome_if_sent) {
    finish_attempt(connection, is_fully_sent(connection) ? outcome_if_sent : AttemptOutcome::refused);
    close(connection);
}

void UpstreamPool::finish_attempt(Connection& connection, AttemptOutcome outcome, std::string body) {
    connection.is_busy = false;
    timers_.cancel(connection.attempt_timer);
    timers_.cancel(connection.send_timer);
    timers_.cancel(connection.idle_timer);
    in_flight_.erase(attempt_key(connection.request, connection.attempt));
    const double latency = monotonic_now() - connection.started_at;
    const char* failure = outcome == AttemptOutcome::refused     ? "refused"
                          : outcome == AttemptOutcome::reset     ? "reset"
                          : outcome == AttemptOutcome::timed_out ? "timed out"
                                                                 : nullptr;
    if (failure != nullptr) {
        char text[64];
        std::snprintf(text, sizeof text, ": forward %s after %.3f s", failure, latency);
        log_.line(topic(connection.server), "forward_failed", server_at(connection.server).name + text);
    }
    budget_.queued += body.size();
    on_finished_({connection.request, connection.attempt, connection.server, outcome, latency,
                  std::move(body), 0, 0, connection.is_written});
}

void UpstreamPool::close(Connection& connection) {
    if (connection.socket->is_closed()) return;
    drop_collected(connection);
    std::erase(server_at(connection.server).idle, &connection);
    timers_.cancel(connection.attempt_timer);
    timers_.cancel(connection.connect_timer);
    timers_.cancel(connection.send_timer);
    timers_.cancel(connection.idle_timer);
    connection.socket->has_unacknowledged_output() ? connection.socket->abort() : connection.socket->close();
    --open_count_;
    --server_at(connection.server).open_connections;
    has_closed_connections_ = true;
}

void UpstreamPool::destroy_closed() {
    if (!has_closed_connections_) return;
    has_closed_connections_ = false;
    connections_.remove_if([](const Connection& connection) { return connection.socket->is_closed(); });
}

void UpstreamPool::close_expired() {
    const double now = monotonic_now();
    for (Server& server : servers_) {
        while (!server.idle.empty() && now - server.idle.front()->last_used >= idle_timeout_)
            close(*server.idle.front());
    }
    timers_.schedule(now + kExpiryCheckIntervalSeconds, [this] { close_expired(); });
}

}  // namespace brookrelay
