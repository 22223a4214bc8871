#include "testkit/load.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <deque>
#include <memory>
#include <set>
#include <thread>

#include "testkit/connection.h"
#include "testkit/daemon_process.h"
#include "testkit/fault_schedule.h"
#include "testkit/wire.h"

namespace brookrelay::testkit {
namespace {

constexpr double kReadyTimeout = 15;      // seconds from the start until the daemon responds
constexpr std::uint32_t kRunId = 0x10ad;  // part of the request ids

// An event loop that runs in its own thread.
class EventLoopThread {
  public:
    EventLoopThread() : guard_(boost::asio::make_work_guard(io)), thread_([this] { io.run(); }) {}
    ~EventLoopThread() { stop(); }
    void stop() {
        guard_.reset();
        io.stop();
        if (thread_.joinable()) thread_.join();
    }
    Io io;

  private:
    boost::asio::executor_work_guard<Io::executor_type> guard_;
    std::thread thread_;
};

// A cache server that answers every read with the same value at once.
class InstantCacheServer {
  public:
    InstantCacheServer(Io& io, const Clock& clock, const std::string& host, int bytes)
        : clock_(clock),
          value_(value_text(0, 0, 0, static_cast<std::size_t>(bytes))),
          listener_(io, host, [this](Tcp::socket s) {
              connections_.insert(Connection::accepted(
                  std::move(s), clock_,
                  {nullptr, [this](Connection& c) { on_input(c); },
                   [this](Connection& c) { connections_.erase(c.shared_from_this()); }}));
          }) {}
    std::string address() const { return listener_.address(); }

  private:
    void on_input(Connection& conn) {
        Command command;
        std::string out;
        for (std::size_t n = read_command(conn.input(), command); n > 0;
             n = read_command(conn.input(), command)) {
            if (command.kind == Command::Kind::hello) {
                out += "MN\r\n";
            } else {
                out.append("VA ").append(std::to_string(value_.size())).append(" O").append(command.id);
                out.append(" h1\r\n").append(value_).append("\r\n");
            }
            conn.take(n);
        }
        if (!out.empty()) conn.write(out);
    }
    const Clock& clock_;
    const std::string value_;
    std::set<Connection::Ptr> connections_;
    Listener listener_;
};

// A part of the clients, on one event loop.
class LoadGenerator {
  public:
    LoadGenerator(const LoadPlan& plan, const Clock& clock, Tcp::endpoint node, int clients, int first_id,
                  double rate)
        : plan_(plan),
          clock_(clock),
          node_(std::move(node)),
          next_id_(first_id),
          rate_(rate),
          random_(static_cast<std::uint64_t>(first_id) + 1),
          arrivals_(loop_.io) {
        boost::asio::post(loop_.io, [this, clients] { start(clients); });
    }
    void set_counting(bool is_counting) {
        boost::asio::post(loop_.io, [this, is_counting] { is_counting_ = is_counting; });
    }
    void stop() { loop_.stop(); }

    LatencyHistogram latency;
    std::uint64_t succeeded = 0, throttled = 0, other = 0;

  private:
    struct Client {
        Connection::Ptr conn;
        double due_at = -1;  // scheduled time of the open request; -1: none
        std::string id;
    };

    void start(int clients) {
        for (int i = 0; i < clients; ++i) {
            Client& c = clients_.emplace_back();
            c.conn =
                Connection::to(loop_.io, node_, clock_,
                               {[this, &c](Connection&) { on_connection_free(c); },
                                [this, &c](Connection&) { on_input(c); }, [this](Connection&) { ++other; }});
        }
        if (rate_ > 0) next_arrival(clock_.now());
    }
    void next_arrival(double after) {
        boost::random::exponential_distribution<double> interval(rate_);
        const double at = after + interval(random_);
        arrivals_.expires_at(clock_.at(at));
        arrivals_.async_wait([this, at](const Code& bad) {
            if (bad) return;
            pending_arrivals_.push_back(at);
            assign_arrivals();
            next_arrival(at);
        });
    }
    void assign_arrivals() {
        while (!pending_arrivals_.empty() && !idle_.empty()) {
            Client& c = *idle_.back();
            idle_.pop_back();
            send_request(c, pending_arrivals_.front());
            pending_arrivals_.pop_front();
        }
    }
    void on_connection_free(Client& c) {
        if (rate_ <= 0) return send_request(c, clock_.now());
        idle_.push_back(&c);
        assign_arrivals();
    }
    void send_request(Client& c, double due_at) {
        c.due_at = due_at;
        c.id = format_request_id(kRunId, next_id_++);
        const std::uint64_t key = key_of_rank(random_() % static_cast<std::uint64_t>(plan_.keys));
        c.conn->write("mg " + key_text(key) + " v O" + c.id + " Pc=read,t=shop,d=2000\r\n");
    }
    void on_input(Client& c) {
        Response reply;
        const std::size_t taken = read_response(c.conn->input(), reply);
        if (taken == 0) return;
        const bool good = reply.kind == Response::Kind::value && reply.id == c.id;
        if (is_counting_) {
            if (good) latency.add(clock_.now() - c.due_at);
            ++(good ? succeeded : reply.kind == Response::Kind::busy ? throttled : other);
        }
        c.conn->take(taken);
        on_connection_free(c);
    }

    const LoadPlan& plan_;
    const Clock& clock_;
    const Tcp::endpoint node_;
    int next_id_;
    const double rate_;
    boost::random::mt19937_64 random_;
    bool is_counting_ = false;
    EventLoopThread loop_;
    boost::asio::steady_timer arrivals_;
    std::deque<Client> clients_;
    std::vector<Client*> idle_;
    std::deque<double> pending_arrivals_;
};

void sleep_for(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

Scenario make_scenario(const LoadPlan& plan) {
    Scenario s;
    s.nodes = 1;
    ServerKind box;
    box.count = plan.caches;
    s.kinds = {box};
    OperationPlan read;
    read.name = "read";
    read.promised.client_timeout = 2;
    read.promised.latency_objective = 1;
    s.operations = {read};
    s.tenants = {{"shop", 1, 0}};
    return s;
}

bool is_ready(Io& io, const Tcp::endpoint& node) {
    Tcp::socket socket(io);
    Code bad;
    socket.connect(node, bad);
    if (bad) return false;
    boost::asio::write(socket, boost::asio::buffer("mn\r\n", 4), bad);
    char buffer[4];
    boost::asio::read(socket, boost::asio::buffer(buffer), bad);
    return !bad;
}

}  // namespace

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): see ROADMAP
LoadResult play_load(const LoadPlan& plan) {
    LoadResult result;
    const Clock clock;
    const std::string host = own_loopback();
    const Scenario scenario = make_scenario(plan);
    std::vector<std::unique_ptr<EventLoopThread>> loops;
    loops.reserve(static_cast<std::size_t>(plan.threads));
    for (int i = 0; i < plan.threads; ++i) loops.push_back(std::make_unique<EventLoopThread>());
    // Created before their loops accept connections, and destroyed only after the loops have stopped.
    std::vector<std::unique_ptr<InstantCacheServer>> caches;
    std::string endpoints;
    for (int i = 0; i < plan.caches; ++i) {
        EventLoopThread& loop = *loops[static_cast<std::size_t>(i % plan.threads)];
        caches.push_back(std::make_unique<InstantCacheServer>(loop.io, clock, host, plan.value_bytes));
        endpoints += (i == 0 ? "" : ",") + std::string(R"({"host":"box-)") + std::to_string(i + 1) +
                     R"(","dial":")" + caches.back()->address() +
                     R"(","site":"room-a","class":"box","block":0,"health":"SERVING"})";
    }
    // Discovery accepts connections and never responds: the daemon uses the endpoint list of its
    // configuration.
    Io io;
    Tcp::acceptor discovery(io, {boost::asio::ip::make_address(host), 0});
    const std::string discovery_at = host + ":" + std::to_string(discovery.local_endpoint().port());
    const unsigned short port = free_port(io, host);
    const Tcp::endpoint node(boost::asio::ip::make_address(host), port);
    const int cpu = plan.cpu >= 0 ? plan.cpu : static_cast<int>(std::thread::hardware_concurrency()) - 1;
    const std::string listen = host + ":" + std::to_string(port);
    DaemonProcess daemon({plan.program, plan.folder, "load", cpu});
    daemon.configure(node_config_json(scenario, 0, listen, discovery_at,
                                      R"({"seq":1,"whole":true,"hosts":[)" + endpoints + "]}", 7));
    daemon.start();
    while (!is_ready(io, node)) {
        if (!daemon.running() || clock.now() > kReadyTimeout) {
            result.failed = "the daemon ended at its start or does not respond; see " + daemon.log_path();
            break;
        }
        sleep_for(0.02);
    }
    if (result.failed.empty()) {
        result.idle_rss_mb = daemon.resource_usage().rss_mb;
        std::vector<std::unique_ptr<LoadGenerator>> generators;
        for (int i = 0; i < plan.threads; ++i) {
            const int client_count = plan.clients / plan.threads + (i < plan.clients % plan.threads ? 1 : 0);
            if (client_count == 0) continue;
            generators.push_back(
                std::make_unique<LoadGenerator>(plan, clock, node, client_count, i << 28,
                                                plan.rate * client_count / std::max(1, plan.clients)));
        }
        sleep_for(plan.warm_up);
        const double cpu_before = daemon.resource_usage().cpu, from = clock.now();
        for (auto& a : generators) a->set_counting(true);
        sleep_for(plan.seconds);
        for (auto& a : generators) a->set_counting(false);
        result.seconds = clock.now() - from;
        const ProcessUsage after = daemon.resource_usage();
        result.cpu = after.cpu - cpu_before;
        result.rss_mb = after.rss_mb;
        for (auto& a : generators) a->stop();
        for (auto& a : generators) {
            result.latency.add(a->latency);
            result.succeeded += a->succeeded;
            result.throttled += a->throttled;
            result.other += a->other;
        }
        if (!daemon.running())
            result.failed = "the daemon ended during the measurement; see " + daemon.log_path();
    }
    daemon.kill();
    for (auto& loop : loops) loop->stop();
    return result;
}

std::string load_summary(const LoadPlan& plan, const LoadResult& r) {
    if (!r.failed.empty()) return "not played: " + r.failed;
    char line[240];
    std::snprintf(
        line, sizeof line,
        "%4d clients %s %8.0f/s  p50 %.3f  p99 %.3f  p99.9 %.3f ms  %.1f us of processor an invocation  "
        "RSS %.1f MB (idle %.1f)  throttled %llu  other %llu",
        plan.clients, plan.rate > 0 ? "open  " : "closed", r.successes_per_second(),
        1e3 * r.latency.quantile(0.5), 1e3 * r.latency.quantile(0.99), 1e3 * r.latency.quantile(0.999),
        r.cpu_us_per_request(), r.rss_mb, r.idle_rss_mb, static_cast<unsigned long long>(r.throttled),
        static_cast<unsigned long long>(r.other));
    return line;
}

}  // namespace brookrelay::testkit
