#include "testkit/daemon_process.h"

#include <dirent.h>
#include <fcntl.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <sched.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cmath>
#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string_view>
#include <vector>

namespace brookrelay::testkit {
namespace {

using Json = rapidjson::Writer<rapidjson::StringBuffer>;

void put(Json& json, const char* key, const std::string& value) {
    json.Key(key);
    json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}
void put(Json& json, const char* key, double value) { json.Key(key), json.Double(value); }
void put(Json& json, const char* key, int value) { json.Key(key), json.Int(value); }
void put_us(Json& json, const char* key, double seconds) {
    json.Key(key), json.Int64(std::llround(seconds * 1e6));
}
void put_bool(Json& json, const char* key, bool value) { json.Key(key), json.Bool(value); }

double number_after(const std::string& text, const char* name) {
    const std::size_t at = text.find(name);
    return at == std::string::npos
               ? 0
               : std::strtod(text.c_str() + at + std::char_traits<char>::length(name), nullptr);
}

std::string read_file(const std::string& path) {
    std::ifstream file(path);
    std::ostringstream out;
    out << file.rdbuf();
    return out.str();
}

constexpr int kInheritedListenerFd = 5;  // the value of GW_ACCEPT_FD
constexpr int kExecPipeFd = 3;           // in the child, closed by the exec
constexpr int kMinTemporaryFd = 64;      // above all descriptors that the child sets up

// Sets up the child between fork and exec: descriptors, signals, process group and core. Allocates no memory,
// because the parent may have threads.
void prepare_child_for_exec(const DaemonProcess::LaunchOptions& place, const std::string& log, pid_t parent,
                            int exec_pipe) {
    const int temporary_exec_pipe = fcntl(exec_pipe, F_DUPFD_CLOEXEC, kMinTemporaryFd);
    // The daemon is killed when its parent ends, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(127);
    setpgid(0, 0);  // Ctrl-C reaches the test kit only
    if (place.cpu >= 0) {
        cpu_set_t set;
        CPU_ZERO(&set);
        CPU_SET(static_cast<std::size_t>(place.cpu), &set);
        sched_setaffinity(0, sizeof set, &set);
    }
    const int log_file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    const int null_input = open("/dev/null", O_RDONLY);
    dup2(null_input, 0);
    dup2(log_file, 1);
    dup2(log_file, 2);
    if (place.listener >= 0) {
        dup2(place.listener, kInheritedListenerFd);
        fcntl(kInheritedListenerFd, F_SETFD, 0);
    }
    const int first_closed = place.listener >= 0 ? kInheritedListenerFd + 1 : kInheritedListenerFd;
    dup3(temporary_exec_pipe, kExecPipeFd, O_CLOEXEC);
    for (int fd = kExecPipeFd + 1; fd < kInheritedListenerFd; ++fd) close(fd);
    close_range(static_cast<unsigned>(first_closed), ~0U, 0);
    sigset_t all;
    sigfillset(&all);
    sigprocmask(SIG_UNBLOCK, &all, nullptr);
    std::signal(SIGINT, SIG_DFL);
    std::signal(SIGTERM, SIG_DFL);
    std::signal(SIGPIPE, SIG_DFL);
}

}  // namespace

DaemonProcess::~DaemonProcess() { kill(); }

void DaemonProcess::configure(const std::string& json) const {
    std::ofstream file(config_path());
    if (!(file << json << std::flush)) throw std::runtime_error("cannot write " + config_path());
}

void DaemonProcess::start() {
    const std::string config = "GW_CONFIG=" + config_path();
    const std::string log = log_path();
    // Built before the fork: the child of a multithreaded process must not allocate memory.
    std::vector<char*> environment;
    for (char** at = environ; *at != nullptr; ++at) {
        const std::string_view entry(*at);
        if (!place_.tmp.empty() && entry.starts_with("TMPDIR=")) continue;
        if (!entry.starts_with("GW_")) environment.push_back(*at);
    }
    environment.push_back(const_cast<char*>(config.c_str()));
    std::string tmpdir = "TMPDIR=" + place_.tmp;
    if (!place_.tmp.empty()) environment.push_back(tmpdir.data());
    std::string accept_fd = "GW_ACCEPT_FD=" + std::to_string(kInheritedListenerFd);
    if (place_.listener >= 0) environment.push_back(accept_fd.data());
    for (std::string& entry : place_.environment) environment.push_back(entry.data());
    environment.push_back(nullptr);
    std::vector<char*> arguments{place_.program.data()};
    for (std::string& argument : place_.arguments) arguments.push_back(argument.data());
    arguments.push_back(nullptr);
    // Until the exec, the child holds this process's descriptors, and a signal does not reach the program's
    // handlers. The exec closes the pipe, and start() waits for that.
    int exec_pipe[2] = {-1, -1};
    if (pipe2(exec_pipe, O_CLOEXEC) != 0) throw std::runtime_error("cannot start the daemon's process");
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ != 0) {
        close(exec_pipe[1]);
        char unused = 0;
        while (pid_ > 0 && read(exec_pipe[0], &unused, 1) < 0 && errno == EINTR) continue;
        close(exec_pipe[0]);
        if (pid_ < 0) throw std::runtime_error("cannot start the daemon's process");
        return;
    }
    prepare_child_for_exec(place_, log, parent, exec_pipe[1]);
    execve(place_.program.c_str(), arguments.data(), environment.data());
    _exit(127);
}

void DaemonProcess::signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
}

bool DaemonProcess::running() {
    if (pid_ <= 0) return false;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == 0) return true;
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    pid_ = 0;
    return false;
}

void DaemonProcess::kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    int status = 0;
    waitpid(pid_, &status, 0);
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    pid_ = 0;
}

ProcessUsage DaemonProcess::resource_usage() const {
    ProcessUsage f;
    if (pid_ <= 0) return f;
    const std::string proc = "/proc/" + std::to_string(pid_);
    // The first two numbers of schedstat: nanoseconds run on a core, and nanoseconds waited for one.
    std::istringstream schedule(read_file(proc + "/schedstat"));
    double ran = 0, waited = 0;
    schedule >> ran >> waited;
    f.cpu = ran / 1e9;
    f.waited = waited / 1e9;
    const std::string status = read_file(proc + "/status");
    f.rss_mb = number_after(status, "VmRSS:") / 1024;
    f.max_rss_mb = number_after(status, "VmHWM:") / 1024;
    if (DIR* folder = opendir((proc + "/fd").c_str())) {
        while (readdir(folder) != nullptr) ++f.descriptors;
        closedir(folder);
        f.descriptors -= 2;
    }
    return f;
}

// NOLINTNEXTLINE(readability-function-size): see ROADMAP
std::string node_config_json(const Scenario& s, int node, const std::string& listen,
                             const std::string& discovery, const std::string& endpoint_list,
                             std::uint64_t seed, const GossipAddresses& gossip) {
    rapidjson::StringBuffer buffer;
    Json json(buffer);
    std::ostringstream hex;
    hex << std::hex << seed;
    json.StartObject();
    put(json, "name", "n" + std::to_string(node));
    put(json, "listen", listen);
    put(json, "discovery", discovery);
    put(json, "seed", hex.str());
    if (!gossip.management.empty()) put(json, "management", gossip.management);
    if (!gossip.listen.empty()) {
        put(json, "peer_listen", gossip.listen);
        json.Key("peers");
        json.StartArray();
        for (const std::string& peer : gossip.peers) json.String(peer.c_str());
        json.EndArray();
    }
    json.Key("limits");
    json.StartObject();
    put(json, "cores", 1.0);
    put(json, "memory_mb", s.node_memory_mb);
    put(json, "sockets", s.node_descriptors);
    json.EndObject();
    json.Key("known");
    json.RawValue(endpoint_list.data(), endpoint_list.size(), rapidjson::kObjectType);
    json.Key("settings");
    json.StartObject();
    put(json, "az", node % static_cast<int>(s.zones.size()));
    put(json, "my_number", node);
    put(json, "balancers", s.nodes);
    json.Key("localities");
    json.StartArray();
    for (const std::string& zone : s.zones) json.String(zone.c_str());
    json.EndArray();
    json.Key("kinds");
    json.StartArray();
    for (const ServerKind& k : s.kinds) json.String(k.name.c_str());
    json.String("origin");
    json.EndArray();
    put(json, "discovery", std::string(s.discovery_asked ? "on_request" : "pushed"));
    put_us(json, "granularity_us", 0.005);
    json.Key("specifics");
    json.StartObject();
    put(json, "mode", std::string("aside"));
    put(json, "origin_kind", static_cast<int>(s.kinds.size()));
    put(json, "origin_fall_multiple", s.origin.fall_multiple);
    put_us(json, "origin_fall_us", s.origin.fall_time);
    json.EndObject();
    json.Key("permissions");
    json.StartObject();
    put_bool(json, "cancel", true);
    put_bool(json, "may_duplicate", true);
    put_bool(json, "peers", !gossip.listen.empty());
    put(json, "most_forwards", s.most_forwards);
    put(json, "max_open", s.most_open);
    put_us(json, "connect_timeout_us", s.connect_timeout);
    put_us(json, "conn_idle_us", s.connection_idle);
    put_bool(json, "retry_after", s.longest_advice > 0);
    put_us(json, "max_retry_after_us", s.longest_advice);
    json.EndObject();
    json.Key("guarantees");
    json.StartObject();
    if (s.discovery_asked) put_us(json, "ask_every_us", s.ask_every);
    put_us(json, "grace_to_answer_us", s.answer_grace);
    put_us(json, "stop_sending_within_us", s.drain_grace);
    put(json, "cold_from", s.cold_from);
    put_us(json, "warm_within_us", s.warm_within);
    put(json, "fall_multiple", s.fall_multiple);
    put_us(json, "fall_us", s.fall_time);
    json.EndObject();
    put(json, "beyond_share_billed_value", s.beyond_share_part);
    json.Key("operations");
    json.StartArray();
    for (const OperationPlan& o : s.operations) {
        static constexpr const char* kRepeats[] = {"idempotent", "deduplicated", "at_most_once"};
        static constexpr const char* kScopes[] = {"all", "zone", "cell"};
        json.StartObject();
        put(json, "name", o.name);
        put(json, "repeat", std::string(kRepeats[static_cast<int>(o.promised.idempotency)]));
        put(json, "group", std::string(kScopes[static_cast<int>(o.promised.deduplication_scope)]));
        put_us(json, "key_ttl_us", o.promised.deduplication_window);
        put_us(json, "client_timeout_us", o.promised.client_timeout);
        put_us(json, "latency_objective_us", o.promised.latency_objective);
        put(json, "billed_value", o.promised.priority_weight);
        put(json, "tardy_billed_value", o.promised.late_value_ratio);
        json.EndObject();
    }
    json.EndArray();
    json.Key("parties");
    json.StartArray();
    for (const TenantPlan& t : s.tenants) {
        json.StartObject();
        put(json, "name", t.name);
        put(json, "quota_per_s", t.quota);
        json.EndObject();
    }
    json.EndArray();
    json.EndObject();
    json.EndObject();
    return buffer.GetString();
}

}  // namespace brookrelay::testkit
