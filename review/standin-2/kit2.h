// Small stand-ins for the cases of the second review: a cache server or an origin with one thread for each
// connection, discovery, a client, and the node as a separate process. Loopback addresses and the real clock.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace kit {

inline double now() {
    static const auto begin = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

inline void sleep_until(double time) {
    while (now() < time) std::this_thread::sleep_for(std::chrono::duration<double>(time - now()));
}

inline std::FILE*& record_file() {
    static std::FILE* file = nullptr;
    return file;
}

/// Writes one line to record.txt, with the time in seconds since the start.
inline void record(const char* format, ...) {
    static std::mutex mutex;
    const std::lock_guard<std::mutex> lock(mutex);
    std::FILE* file = record_file() != nullptr ? record_file() : stdout;
    std::fprintf(file, "%9.4f ", now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file, format, arguments);
    va_end(arguments);
    std::fputc('\n', file);
    std::fflush(file);
}

inline bool has_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

/// Ends what the case has started.
inline std::function<void()>& clean_up() {
    static std::function<void()> action;
    return action;
}

/// Ends the case with this code, and says in one line what was seen.
[[noreturn]] inline void finish(int code, const std::string& text) {
    static std::mutex mutex;
    mutex.lock();  // for good: another thread may want to end the case, too
    if (clean_up()) clean_up()();
    record("result %d: %s", code, text.c_str());
    std::printf("%s: %s\n", code == 0 ? "held" : code == 1 ? "broken" : "could not run", text.c_str());
    std::fflush(stdout);
    std::_Exit(code);
}

/// Ends the case with code 2: it couldn't run.
[[noreturn]] inline void give_up(const std::string& why) { finish(2, why); }

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

inline std::string at(int port) { return "127.0.0.1:" + std::to_string(port); }

/// One end of a connection, with what was received and not yet taken.
struct Peer {
    int fd = -1;
    std::string in;
    bool ended = false;

    Peer() = default;
    explicit Peer(int descriptor) : fd(descriptor) {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    Peer(const Peer&) = delete;
    Peer& operator=(const Peer&) = delete;
    ~Peer() { close_now(); }

    void close_now() {
        if (fd >= 0) ::close(fd);
        fd = -1;
    }
    /// Receives more until `deadline`. Returns false at the end of the connection or of the time.
    bool more(double deadline) {
        if (fd < 0 || ended) return false;
        pollfd entry{fd, POLLIN, 0};
        const double left = deadline - now();
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left * 1e3) + 1) <= 0) return false;
        char buffer[65536];
        const ssize_t count = ::recv(fd, buffer, sizeof buffer, 0);
        if (count <= 0) {
            ended = true;
            return false;
        }
        in.append(buffer, static_cast<std::size_t>(count));
        return true;
    }
    /// Takes one line without its line end.
    bool line(std::string& out, double deadline) {
        while (in.find("\r\n") == std::string::npos) {
            if (!more(deadline)) return false;
        }
        const std::size_t end = in.find("\r\n");
        out = in.substr(0, end);
        in.erase(0, end + 2);
        return true;
    }
    bool bytes(std::size_t count, std::string& out, double deadline) {
        while (in.size() < count) {
            if (!more(deadline)) return false;
        }
        out = in.substr(0, count);
        in.erase(0, count);
        return true;
    }
    bool send(std::string_view text) {
        while (!text.empty()) {
            const ssize_t count = ::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
            if (count <= 0) return false;
            text.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }
    /// Hands to the system what it takes at once, and returns how much that was.
    std::size_t send_some(std::string_view text) {
        const ssize_t count = ::send(fd, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        return count > 0 ? static_cast<std::size_t>(count) : 0;
    }
};

inline int listen_free(int& port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0)
        give_up("no address to listen on");
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

/// A port that was free a moment ago.
inline int free_port() {
    int port = 0;
    ::close(listen_free(port));
    return port;
}

inline std::unique_ptr<Peer> dial(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_unique<Peer>(fd);
}

/// Listens on a free port and calls `serve` in a thread of its own for each connection.
struct Listener {
    using Serve = std::function<void(Peer&, int number)>;
    int port = 0;

    void start(Serve serve) {
        const int fd = listen_free(port);
        std::thread([fd, serve] {
            for (int number = 1;; ++number) {
                const int client = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (client < 0) continue;
                std::thread([client, number, serve] {
                    Peer peer(client);
                    serve(peer, number);
                }).detach();
            }
        }).detach();
    }
};

constexpr double kForever = 1e6;

/// One request as a cache server or the origin receives it.
struct Request {
    std::string verb, key, id, props, value;
    /// The value of a property, such as c or d.
    std::string prop(const std::string& name) const {
        const std::string text = "," + props + ",";
        const std::size_t begin = text.find("," + name + "=");
        if (begin == std::string::npos) return {};
        const std::size_t start = begin + name.size() + 2;
        return text.substr(start, text.find(',', start) - start);
    }
};

/// Reads a command of the memcache text protocol, or its first line only if it is no read or write.
inline bool read_command(Peer& peer, Request& request) {
    std::string line;
    if (!peer.line(line, kForever)) return false;
    request = {};
    std::vector<std::string> words;
    for (std::size_t position = 0; position < line.size();) {
        const std::size_t end = std::min(line.find(' ', position), line.size());
        if (end > position) words.push_back(line.substr(position, end - position));
        position = end + 1;
    }
    if (words.empty()) return false;
    request.verb = words[0];
    if (words.size() > 1) request.key = words[1];
    for (const std::string& word : words) {
        if (word[0] == 'O') request.id = word.substr(1);
        if (word[0] == 'P') request.props = word.substr(1);
    }
    if (request.verb != "ms" || words.size() < 3) return true;
    std::string end;
    return peer.bytes(std::stoul(words[2]), request.value, kForever) && peer.bytes(2, end, kForever);
}

/// Reads a request of HTTP/1.1. `verb` is the method. `read_value` reads the body; the default reads all.
inline bool read_http(Peer& peer, Request& request, std::size_t* length = nullptr) {
    std::string line;
    if (!peer.line(line, kForever)) return false;
    request = {};
    const std::size_t blank = line.find(' ');
    if (blank == std::string::npos) return false;
    request.verb = line.substr(0, blank);
    request.key = line.substr(blank + 2, line.rfind(' ') - blank - 2);
    std::size_t bytes = 0;
    while (peer.line(line, kForever) && !line.empty()) {
        const std::size_t colon = line.find(": ");
        const std::string name = line.substr(0, colon), text = line.substr(colon + 2);
        if (name == "X-Trace-Id") request.id = text;
        if (name == "X-Props") request.props = text;
        if (name == "Content-Length") bytes = std::stoul(text);
    }
    if (length != nullptr) {
        *length = bytes;
        return !peer.ended;
    }
    return !peer.ended && (bytes == 0 || peer.bytes(bytes, request.value, kForever));
}

inline std::string http(int status, const std::string& body, const std::string& headers = {}) {
    return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " No") +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers + "\r\n" + body;
}

inline std::string value_reply(const Request& request, const std::string& value) {
    return "VA " + std::to_string(value.size()) + " O" + request.id + "\r\n" + value + "\r\n";
}

/// Discovery: one list, told whole to who asks for it, else held back until the wait is over.
struct Discovery {
    Listener listener;
    std::mutex mutex;
    long version = 1;
    std::vector<std::string> hosts;

    static std::string host(const std::string& name, int port, const std::string& kind,
                            const char* health = "SERVING") {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + at(port) + "\",\"site\":\"room-a\",\"class\":\"" +
               kind + "\",\"block\":0,\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":0}";
    }
    std::string list(bool whole) {
        std::string text = "{\"seq\":" + std::to_string(version) +
                           ",\"whole\":" + (whole ? "true" : "false") + ",\"hosts\":[";
        for (std::size_t i = 0; whole && i < hosts.size(); ++i) text += (i > 0 ? "," : "") + hosts[i];
        return text + "]}";
    }
    /// Tells another list to all who watch.
    void tell(std::vector<std::string> list) {
        const std::lock_guard<std::mutex> lock(mutex);
        hosts = std::move(list);
        ++version;
    }
    void start() {
        listener.start([this](Peer& peer, int) {
            Request request;
            while (read_http(peer, request)) {
                const std::size_t index = request.key.find("index="), wait = request.key.find("wait=");
                std::string body;
                if (index == std::string::npos) {
                    const std::lock_guard<std::mutex> lock(mutex);
                    body = list(true);
                } else {
                    const long held = std::stol(request.key.substr(index + 6));
                    const double until =
                        now() +
                        (wait == std::string::npos ? 0 : std::stod(request.key.substr(wait + 5)) / 1e3);
                    while (true) {
                        {
                            const std::lock_guard<std::mutex> lock(mutex);
                            if (version != held || now() >= until) {
                                body = list(version != held);
                                break;
                            }
                        }
                        std::this_thread::sleep_for(std::chrono::milliseconds(10));
                    }
                }
                if (!peer.send(http(200, body, "Content-Type: application/json\r\n"))) return;
            }
        });
    }
};

/// The node, started with the command `run` of the deploy file.
struct Node {
    std::string folder;  // temporary, private
    int port = 0, management = 0;
    pid_t pid = -1;

    static std::string run_command() {
        std::ifstream file("deploy/balancer.toml");
        for (std::string line; std::getline(file, line);) {
            if (line.rfind("run", 0) != 0) continue;
            const std::size_t begin = line.find('"');
            return line.substr(begin + 1, line.find('"', begin + 1) - begin - 1);
        }
        give_up("the deploy file has no line 'run'; start from the repository's root");
    }
    void prepare() {
        const char* base = std::getenv("TMPDIR");
        folder = std::string(base != nullptr && *base != 0 ? base : "/tmp") + "/case-XXXXXX";
        if (mkdtemp(folder.data()) == nullptr) give_up("no temporary folder");
        clean_up() = [this] { stop(); };
        port = free_port();
        management = free_port();
    }
    void write_config(const std::string& text) const { std::ofstream(folder + "/config.json") << text; }
    void start() {
        const std::string command = run_command(), log_path = folder + "/log";
        pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            if (log >= 0) {
                dup2(log, 1);
                dup2(log, 2);
            }
            setenv("GW_CONFIG", (folder + "/config.json").c_str(), 1);
            setenv("GW_NAME", "n0", 1);
            setenv("GW_LISTEN", at(port).c_str(), 1);
            setenv("GW_MANAGEMENT", at(management).c_str(), 1);
            setenv("TMPDIR", folder.c_str(), 1);
            execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
            _exit(127);
        }
    }
    bool wait_ready(double seconds) const {
        const double until = now() + seconds;
        while (now() < until) {
            const auto peer = dial(port);
            std::string line;
            if (peer != nullptr && peer->send("mn\r\n") && peer->line(line, now() + 1) && line == "MN")
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return false;
    }
    /// Whether the process has ended; `status` is then as waitpid() gives it.
    bool has_ended(int& status) {
        if (pid <= 0 || waitpid(pid, &status, WNOHANG) != pid) return false;
        pid = -1;
        return true;
    }
    /// Kills the process if it still runs, and removes its folder.
    void stop() {
        if (pid > 0) {
            ::kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
        pid = -1;
        std::error_code ignored;
        if (!folder.empty()) std::filesystem::remove_all(folder, ignored);
        folder.clear();
    }
};

/// Ends the whole case with code 2 after so many seconds.
inline void limit_time(double seconds) {
    std::thread([seconds] {
        sleep_until(seconds);
        give_up("the case took too long");
    }).detach();
}

/// Opens record.txt, ignores broken pipes and limits the time.
inline void begin(const char* path) {
    signal(SIGPIPE, SIG_IGN);
    (void)now();
    record_file() = std::fopen(path, "w");
    if (record_file() == nullptr) give_up("no record");
    limit_time(110);
    record("trouble: %s", has_trouble() ? "yes" : "no");
}

}  // namespace kit

namespace kit {

/// The configuration of a node in a small deployment: one zone, some cache servers and the origin.
struct Config {
    int memory_mb = 192, sockets = 1024;
    std::string operations;  // JSON, the entries of 'operations'
    // Those of kochi-head-office; JSON, the entries of 'permissions'.
    std::string permissions =
        R"("cancel": true, "may_duplicate": true, "may_probe": true, "most_forwards": 6,
        "connect_timeout_us": 250000, "conn_idle_us": 15000000, "max_open": 20000, "retry_after": false)";
    std::string text(const Node& node, Discovery& discovery) const {
        return "{\"name\":\"n0\",\"listen\":\"" + at(node.port) + "\",\"discovery\":\"" +
               at(discovery.listener.port) + "\",\"seed\":\"8c1f30d27a5be964\",\"management\":\"" +
               at(node.management) +
               "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + std::to_string(memory_mb) +
               ",\"sockets\":" + std::to_string(sockets) + "},\"known\":" + discovery.list(true) +
               R"(,"settings":{
 "az":0,"my_number":0,"balancers":1,"localities":["room-a"],"kinds":["box","origin"],"discovery":"pushed",
 "granularity_us":5000,"family":"cache","tier":0,"layers":["cache"],"weights":"off","billed_value_per":"request",
 "beyond_share_billed_value":0.1,"load_info":{"fields":[],"how":"off"},"clients":{"marks_retry":false},
 "specifics":{"mode":"aside","origin_kind":1,"origin_fall_multiple":0.0,"origin_fall_us":3000000},
 "permissions":{)" +
               permissions + R"(},
 "guarantees":{"ask_every_us":10000000,"grace_to_answer_us":20000,"stop_sending_within_us":300000,"cold_from":0.3,
               "warm_within_us":9000000,"fall_multiple":4.0,"fall_us":2000000},
 "operations":[)" +
               operations + "]}}";
    }
};

}  // namespace kit
