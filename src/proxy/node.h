// The node around the module. A turn gathers what is ready into an inbox, hands it to the module in one go at
// one `now`, and then carries out what the module asked, in its order. It owns the invocations and gives
// their places back in settle(). It decides nothing: no server, no time, no further forward, and no final
// answer but those that the protocol itself calls for: the first success, a command that names no operation,
// and whoever would outlive its client timeout or this node.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "admin/admin_server.h"
#include "admin/admin_state.h"
#include "balancer/balancer.h"
#include "config/node_config.h"
#include "config/operator_config.h"
#include "discovery/coordination_client.h"
#include "discovery/endpoint_watch.h"
#include "downstream/client_connections.h"
#include "gossip_agent/gossip_agent.h"
#include "io/log.h"
#include "io/timer_queue.h"
#include "proxy/graceful_shutdown.h"
#include "proxy/request_table.h"
#include "proxy/server_table.h"
#include "proxy/sibling_processes.h"
#include "proxy/warm_start_file.h"
#include "upstream/upstream_pool.h"

namespace brookrelay {

class Node final : public Host {
  public:
    Node(const NodeConfig& station, const OperatorConfig& operator_file, Log& log);
    // Listens: from here on it can serve. `inherited`: the clients' listener, shared with other processes;
    // else -1.
    bool start(int inherited, std::string& complaint);
    void run_iteration();
    bool has_work() const { return !inbox_.empty(); }
    // All of it that can be live, or nothing; of the operators' own file the fleet's limits.
    void reload(const NodeConfig& station, const OperatorConfig& operator_file);
    void begin_shutdown();
    bool is_done() const { return done_; }

    void start_attempt(int request, int server, double limit) override;
    void cancel_attempt(int request, int forward) override;
    void reject(int request, double retry_after) override;
    void fail(int request) override;
    void check_health(int server) override;
    void close_idle_connections(int server) override;
    void poll_endpoints() override;
    void set_timer(double after, std::uint64_t token) override;
    void log(std::string_view text) override;
    bool admit_slow_start(int server) override;

  private:
    using Event = std::function<void(double now)>;

    double came_at();
    int asked(const ClientConnections::RequestHandle& asker, Command&& command);
    void left(const ClientConnections::RequestHandle& asker, int request);
    void arrived(double now, int request, int operation);
    void ended(double now, UpstreamPool::AttemptResult& e);
    void client_left(double now, int request);
    void listed(double now, UpdateKind kind, const EndpointUpdate& list);
    void registered(const std::vector<RegistrationChange>& changes);
    void settle_limits(const OperatorConfig& operator_file);
    void limit_places();
    void forget_gone();
    void carry_out_forward(int request, int number, int server, double limit);
    void begin_forward(int request, int number);
    void answer(int request, std::string text);
    void finish(int request);
    void look_whether_done();
    void fail_open_requests();
    void handle_admin_request(std::uint64_t caller, const HttpRequest& http_request);
    void change_server_state(std::uint64_t caller, const std::string& name, bool out);
    void change_zone_state(std::uint64_t caller, const std::string& name, bool out);
    void merge_by_hand(double now, const std::vector<std::string>& names);
    void look_by_hand();
    void share_budget();
    void save_warm_start();
    void load_warm_start(double now);
    void found_by_fleet(double now, const std::string& name, bool bad, double apart);
    void tell_talk_of_list();

    NodeConfig station_;
    OperatorConfig operator_file_;
    Log& log_;
    TimerQueue timers_;
    const double wall_clock_offset_;
    std::unique_ptr<Balancer> balancer_;
    UpstreamPool pool_;
    ClientConnections clients_;
    EndpointWatch discovery_;
    AdminServer management_;
    bool registry_heard_ = false;
    std::unique_ptr<GossipAgent>
        talk_;  // with other nodes, where the operators have it so and the settings allow it
    std::unique_ptr<CoordinationClient>
        registry_;  // in the place of discovery, where the operators have it so
    std::vector<Event> inbox_;
    std::vector<std::function<void()>> to_do_;
    std::vector<int> to_settle_;
    RequestTable requests_;
    std::unordered_map<std::uint64_t, ClientConnections::RequestHandle>
        relays_;  // for whom each long value is
    AdminState by_hand_;
    WarmStartFile warm_start_file_;  // used where the listener is shared
    ServerTable servers_;
    std::unique_ptr<SiblingProcesses> beside_;  // where the listener is shared
    double turned_at_ = 0;  // when the last turn began, and where the process then stood still,
    double stood_from_ = 0, behind_until_ = 0;  // from when, and until when what comes may be from that time
    double part_ = 1;                           // of the budget that is this process's
    TimerQueue::Handle forgetting_;
    GracefulShutdown shutdown_;
    bool done_ = false;
    bool takes_clients_ = false;
    bool shared_ = false;  // the clients' listener is another process's too
};

}  // namespace brookrelay
