// A node of the program with scripted cache servers, an origin and a discovery server, for tests that act as
// clients and operators. No check depends on the speed of the machine: each wait is for an event, and its
// timeout only ends a test that has already failed.
#pragma once

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iterator>
#include <list>
#include <memory>
#include <mutex>
#include <source_location>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "testkit/connection.h"
#include "testkit/daemon_process.h"
#include "testkit/scripted_peer.h"

namespace brookrelay::testkit {

// Waits for a condition. A timeout fails the test at the caller's line, and the test goes on: if it returned
// early, scripts would wait forever for steps that only the test triggers.
template <typename Condition>
void wait_for(Condition condition, std::source_location from = std::source_location::current()) {
    for (int ms = 0; ms < kReceiveTimeoutMs; ms += 5) {
        if (condition()) return;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    ADD_FAILURE_AT(from.file_name(), static_cast<int>(from.line())) << "timed out waiting for a condition";
}

// Seconds on the monotonic clock.
inline double now_seconds() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

inline std::string id_in(const std::string& command) {
    const std::size_t at = command.find(" O") + 2;
    return command.substr(at, command.find_first_of(" \r", at) - at);
}
inline ScriptedResponse hit(const std::string& command) {
    return {"VA 5 O" + id_in(command) + " h1\r\nhello\r\n"};
}
inline ScriptedResponse miss(const std::string& command) { return {"EN O" + id_in(command) + " h0\r\n"}; }
inline ScriptedResponse silent(const std::string&) { return {}; }
inline std::string http(const std::string& body, const std::string& status = "200 OK") {
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string read_of(const std::string& key, const std::string& id, int ms = 10000) {
    return "mg " + key + " v O" + id + " Pc=read,t=acme,d=" + std::to_string(ms) + "\r\n";
}

inline std::string write_header(const std::string& id, std::size_t bytes, int ms) {
    return "ms " + id + " " + std::to_string(bytes) + " O" + id + " Pc=put,d=" + std::to_string(ms) +
           ",k=" + id + "\r\n";
}
inline std::string write_of(const std::string& id, std::size_t bytes, int ms) {
    return write_header(id, bytes, ms) + std::string(bytes, 'v') + "\r\n";
}

inline std::string next_name() {
    static int count = 0;
    return "brookrelay_node_" + std::to_string(getpid()) + "_" + std::to_string(++count);
}

// Options of the node and of the fleet around it.
struct NodeOptions {
    int descriptors = 256;
    int connect_timeout_ms = 250;
    ScriptedPeer::Script watch = silent;
    bool cache_aside = true;  // false: cache servers fetch by themselves, and no origin is listed
    int memory_mb = 192;
    bool has_management = false;     // has a management address
    bool inherits_listener = false;  // accepts on a listening socket of the test
    std::string tmp = {};            // TMPDIR of the daemon; empty: that of the test
    bool may_cancel = true;
    // Idempotency of the write operation, as the rest of its JSON entry.
    const char* write_idempotency = R"("deduplicated","group":"all","key_ttl_us":3000000)";
    bool polls_endpoints = false;  // endpoint lists are polled, not pushed
    int drain_grace_ms = 0;
    std::vector<std::string> environment = {};  // NAME=VALUE, added to the daemon's environment
};

// A further process of the same node: with the same listener and TMPDIR, and its own management address.
struct Process {
    std::unique_ptr<DaemonProcess> daemon;
    int management = 0;
    Process(std::unique_ptr<DaemonProcess> started, int address)
        : daemon(std::move(started)), management(address) {}
    Process(Process&&) = default;
    ~Process() {
        if (daemon == nullptr) return;
        daemon->kill();
        std::remove(daemon->config_path().c_str());
        std::remove(daemon->log_path().c_str());
    }
};

// One node with `count` cache servers, an origin and a discovery server.
class Fleet {
  public:
    explicit Fleet(std::size_t count, NodeOptions options = {}) {
        for (std::size_t i = 0; i < count; ++i) caches.emplace_back(false).set_script(hit);
        origin.set_script([](const std::string&) { return ScriptedResponse{http("made")}; });
        discovery.set_script(std::move(options.watch));
        listener_ = bound_socket(port_);
        if (options.inherits_listener) {
            listen(listener_, 1024);
        } else {
            close(listener_);
            listener_ = -1;
        }
        tmpdir_ = options.tmp;
        daemon_ = std::make_unique<DaemonProcess>(DaemonProcess::LaunchOptions{
            BROOKRELAY_PROGRAM, "/tmp", next_name(), -1, listener_, tmpdir_, {}, options.environment});
        if (options.has_management) management_ = free_address();
        std::string hosts = options.cache_aside ? entry("origin", origin, "SERVING") : "";
        for (ScriptedPeer& cache : caches)
            hosts += (hosts.empty() ? "" : ",") + entry(name(cache), cache, "SERVING");
        std::ostringstream configuration;
        configuration
            << R"({"name":"n1","listen":")" << own_loopback() << ":" << port_ << R"(","discovery":")"
            << discovery.address() << '"' << managed_at(management_) << R"(,"seed":"1f","limits":{"sockets":)"
            << options.descriptors << R"(,"memory_mb":)" << options.memory_mb
            << R"(},"known":{"seq":7,"whole":true,"hosts":[)" << hosts
            << R"(]},"settings":{"az":0,"balancers":2,"localities":["a"],"kinds":["m","origin"],
 "discovery":")"
            << (options.polls_endpoints ? "on_request" : "pushed")
            << R"(","granularity_us":5000,"guarantees":{"grace_to_answer_us":20000,"ask_every_us":4000000,"stop_sending_within_us":)"
            << 1000 * options.drain_grace_ms << R"(},
 "permissions":{"cancel":)"
            << (options.may_cancel ? "true" : "false") << R"(,"most_forwards":5,"connect_timeout_us":)"
            << options.connect_timeout_ms << R"(000,"conn_idle_us":15000000},
 "specifics":{"mode":")"
            << (options.cache_aside ? "aside" : "through") << R"(","origin_kind":1},"operations":[
 {"name":"read","repeat":"idempotent","client_timeout_us":2000000,"latency_objective_us":1000000,
  "tardy_billed_value":0.2},
 {"name":"put","repeat":)"
            << options.write_idempotency << R"(,"client_timeout_us":2000000}]}})";
        configuration_ = configuration.str();
        configure(configuration_);
        daemon_->start();
        wait_for([this] { return TestSocket(own_loopback(), port_).up(); });
        TestSocket line(own_loopback(), port_);
        line.send("mn\r\n");
        EXPECT_EQ(line.until("\r\n"), "MN\r\n") << "the daemon does not answer";
    }
    ~Fleet() {
        daemon_->kill();
        if (listener_ >= 0) close(listener_);
        std::remove(daemon_->config_path().c_str());
        std::remove(daemon_->log_path().c_str());
    }
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    static std::string name(const ScriptedPeer& server) { return "s-" + std::to_string(server.port); }
    static std::string entry(const std::string& host, const ScriptedPeer& server, const char* health) {
        return R"({"host":")" + host + R"(","dial":")" + server.address() + R"(","site":"a","class":")" +
               (host == "origin" ? "origin" : "m") + R"(","block":0,"health":")" + health +
               R"(","share":1.0,"born_ms":0})";
    }
    int port() const { return port_; }
    int management() const { return management_; }
    DaemonProcess& daemon() const { return *daemon_; }
    // Returns a free port that differs from those of this node, which are not bound until it has started.
    int free_address() const {
        int port = 0;
        do {
            close(bound_socket(port));
        } while (port == port_ || port == management_);
        return port;
    }
    static std::string managed_at(int port) {
        return port == 0 ? "" : R"(,"management":")" + own_loopback() + ":" + std::to_string(port) + '"';
    }
    // Starts another process of this node, with the same files and listener.
    Process start_second_process() const {
        Process process(std::make_unique<DaemonProcess>(DaemonProcess::LaunchOptions{
                            BROOKRELAY_PROGRAM, "/tmp", next_name(), -1, listener_, tmpdir_}),
                        free_address());
        process.daemon->configure(
            configuration_with(managed_at(management_), managed_at(process.management)));
        process.daemon->start();
        return process;
    }
    // Sends a request to the management address and returns the HTTP status, or 0 without a valid response.
    static int call(int port, const std::string& method, const std::string& target) {
        TestSocket line(own_loopback(), port);
        if (!line.up()) return 0;
        line.send(method + " " + target + " HTTP/1.1\r\nHost: node\r\n\r\n");
        const std::string head = line.until("\r\n");
        return head.starts_with("HTTP/1.1 ") ? std::atoi(head.c_str() + 9) : 0;
    }
    void signal(int number) const { daemon_->signal(number); }
    void configure(const std::string& text) const { daemon_->configure(text); }
    // Returns the configuration with the text `from` replaced by `to`.
    std::string configuration_with(const std::string& from, const std::string& to) const {
        std::string text = configuration_;
        const std::size_t at = text.find(from);
        EXPECT_NE(at, std::string::npos) << "not in the configuration: " << from;
        if (at == std::string::npos) return text;
        return text.replace(at, from.size(), to);
    }
    bool logged(const std::string& text) const {
        std::ifstream file(daemon_->log_path());
        return std::string(std::istreambuf_iterator<char>(file), {}).find(text) != std::string::npos;
    }
    int count_logged(const std::string& text) const {
        std::ifstream file(daemon_->log_path());
        const std::string all(std::istreambuf_iterator<char>(file), {});
        int count = 0;
        for (std::size_t at = 0; (at = all.find(text, at)) != std::string::npos; at += text.size()) ++count;
        return count;
    }
    bool alive() const { return daemon_->running(); }
    int exit_code() {
        wait_for([this] { return !daemon_->running(); });
        return daemon_->exit_code();
    }
    std::string ask(const std::string& command) const {
        TestSocket line(own_loopback(), port_);
        line.send(command);
        return line.until("\r\n");
    }

    std::list<ScriptedPeer> caches;
    ScriptedPeer origin{true};
    ScriptedPeer discovery{true};

  private:
    int port_ = 0;
    int management_ = 0;
    int listener_ = -1;
    std::string tmpdir_;
    std::unique_ptr<DaemonProcess> daemon_;
    std::string configuration_;
};

// A server whose next connection is not accepted until it resumes; the kernel retries the handshake within a
// second.
struct StalledServer {
    explicit StalledServer(ScriptedPeer& at) : peer(at) {
        peer.stall();
        filler = std::make_unique<TestSocket>(own_loopback(), peer.port);
        before = peer.connections;
    }
    void resume() {
        peer.resume();
        wait_for([this] { return peer.connections >= before + 2; });
    }
    ScriptedPeer& peer;
    std::unique_ptr<TestSocket> filler;
    int before = 0;
};

// A discovery server that the test controls: a watch is answered with the next change, or after a short time
// with none.
class UpdateFeed {
  public:
    ScriptedPeer::Script script() {
        return [this](const std::string& request) {
            const std::size_t at = request.find("index=");
            if (at == std::string::npos) return ScriptedResponse{};
            const int held_version = std::stoi(request.substr(at + 6));
            watched_version_ = held_version;
            for (int ms = 0; ms < 100 && held_version >= version_; ++ms)
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            const std::lock_guard lock(mutex_);
            const std::size_t next = static_cast<std::size_t>(held_version - kFirst);
            const std::string hosts = next < changes_.size() ? changes_[next] : "";
            const bool is_full = hosts.starts_with('!');
            return ScriptedResponse{
                http(R"({"seq":)" + std::to_string(next < changes_.size() ? held_version + 1 : held_version) +
                     R"(,"whole":)" + (is_full ? "true" : "false") + R"(,"hosts":[)" + hosts.substr(is_full) +
                     "]}")};
        };
    }
    // Publishes a change and waits until the node has it, which its next watch shows. A leading '!' marks a
    // full list.
    void publish(const std::string& hosts) {
        {
            const std::lock_guard lock(mutex_);
            changes_.push_back(hosts);
        }
        ++version_;
        wait_for([&] { return watched_version_ == version_; });
    }

  private:
    static constexpr int kFirst = 7;
    std::atomic<int> version_{kFirst};
    std::atomic<int> watched_version_{0};
    std::mutex mutex_;
    std::vector<std::string> changes_;
};

}  // namespace brookrelay::testkit
