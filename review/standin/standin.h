// Stand-ins for the cases of the review: cache servers, the origin, the discovery agent, clients and the
// platform that starts a node. Everything is on loopback addresses and on the real clock. Each connection of
// a stand-in has a thread of its own; the program ends by _exit once the case is decided.
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
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();

/// Seconds since the case began.
inline double now() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }
inline void pause(double seconds) {
    if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline double unix_ms() {
    return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// ---- the record ---------------------------------------------------------------------------------------

inline std::mutex record_mutex;
inline FILE* record_file = nullptr;

inline void record(const char* format, ...) __attribute__((format(printf, 1, 2)));
inline void record(const char* format, ...) {
    const double at = now();
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard lock(record_mutex);
    if (record_file == nullptr) return;
    std::fprintf(record_file, "%9.3f %s\n", at, text);
    std::fflush(record_file);
}

// ---- sockets ------------------------------------------------------------------------------------------

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

inline int listen_on_free_port(int& port, int backlog = 1024) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        (backlog > 0 && listen(fd, backlog) != 0))
        return -1;
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

/// A port that nothing listens on now.
inline int free_port() {
    int port = 0;
    const int fd = listen_on_free_port(port, 0);
    close(fd);
    return port;
}

inline std::string address_of(int port) { return "127.0.0.1:" + std::to_string(port); }

/// Sends all bytes; false if the connection is broken.
inline bool send_all(int fd, const std::string& bytes) {
    for (std::size_t sent = 0; sent < bytes.size();) {
        const ssize_t count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR) continue;
        if (count <= 0) return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// Closes with a reset.
inline void reset_connection(int fd) {
    const linger at_once{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close(fd);
}

/// Buffered reading from one socket. `received_at` is the time of the receive that brought the first byte
/// of what is in `buffer`.
struct Reader {
    int fd = -1;
    std::string buffer;
    double received_at = 0;
    bool ended = false, was_reset = false;

    /// Waits until something comes or `until` passes; false at the end of the connection and in a time-out.
    bool receive(double until = 1e9) {
        pollfd entry{fd, POLLIN, 0};
        const double left = until - now();
        const int ready = poll(&entry, 1, left > 1e6 ? -1 : std::max(0, static_cast<int>(left * 1e3 + 0.999)));
        if (ready <= 0) return false;
        char chunk[65536];
        const ssize_t count = recv(fd, chunk, sizeof chunk, 0);
        if (count <= 0) {
            ended = true;
            was_reset = count < 0;
            return false;
        }
        if (buffer.empty()) received_at = now();
        buffer.append(chunk, static_cast<std::size_t>(count));
        return true;
    }
    /// Takes one line without its line end; false if there is none by `until`.
    bool line(std::string& text, double until = 1e9) {
        std::size_t end;
        while ((end = buffer.find('\n')) == std::string::npos) {
            if (!receive(until)) {
                if (ended || now() >= until) return false;
            }
        }
        text = buffer.substr(0, end);
        if (!text.empty() && text.back() == '\r') text.pop_back();
        take(end + 1);
        return true;
    }
    bool bytes(std::size_t count, std::string& text, double until = 1e9) {
        while (buffer.size() < count) {
            if (!receive(until)) {
                if (ended || now() >= until) return false;
            }
        }
        text = buffer.substr(0, count);
        take(count);
        return true;
    }

  private:
    void take(std::size_t count) {
        buffer.erase(0, count);
        received_at = now();
    }
};

class Server {
  public:
    Server() : fd_(listen_on_free_port(port_)) {}
    virtual ~Server() = default;
    int port() const { return port_; }
    std::string address() const { return address_of(port_); }
    void start() {
        std::thread([this] {
            while (true) {
                const int client = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                if (client < 0) continue;
                const int on = 1;
                setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread([this, client] { serve(client); }).detach();
            }
        }).detach();
    }

  protected:
    virtual void serve(int fd) = 0;

  private:
    int port_ = 0;
    int fd_;
};

inline std::vector<std::string> words_of(const std::string& line) {
    std::istringstream stream(line);
    std::vector<std::string> words;
    for (std::string word; stream >> word;) words.push_back(word);
    return words;
}

/// The value of `name` in a list of names and values such as c=read,d=480.
inline std::string property(const std::string& properties, const std::string& name) {
    std::istringstream stream(properties);
    for (std::string item; std::getline(stream, item, ',');) {
        if (item.rfind(name + "=", 0) == 0) return item.substr(name.size() + 1);
    }
    return {};
}

// ---- cache servers and the origin ---------------------------------------------------------------------

/// A cache server: stores what the origin gave for a request that missed here.
class CacheServer : public Server {
  public:
    explicit CacheServer(std::string host) : name(std::move(host)) {}

    const std::string name;
    double work = 0.02;  ///< seconds that a read takes
    /// Answers a read in another way; returns false to close the connection, true once it has answered.
    std::function<bool(int fd, const std::string& key, const std::string& id, const std::string& value)> answer;
    /// Told of each read, with the time of its first byte.
    std::function<void(CacheServer&, const std::string& key, const std::string& id, double first_byte)> on_read;

    void store(const std::string& key, const std::string& value) {
        const std::lock_guard lock(mutex_);
        values_[key] = value;
    }
    void drop(const std::string& key) {
        const std::lock_guard lock(mutex_);
        values_.erase(key);
    }
    /// Whether the read `id` missed here.
    bool missed(const std::string& id) {
        const std::lock_guard lock(mutex_);
        return missed_.erase(id) > 0;
    }

  protected:
    void serve(int fd) override {
        Reader in;
        in.fd = fd;
        std::string line;
        while (true) {
            if (in.buffer.empty() && !in.receive()) break;
            const double first_byte = in.received_at;
            if (!in.line(line)) break;
            const std::vector<std::string> words = words_of(line);
            if (words.empty()) break;
            if (words[0] == "mn") {
                if (!send_all(fd, "MN\r\n")) break;
                continue;
            }
            std::string id;
            for (std::size_t i = 2; i < words.size(); ++i) {
                if (words[i][0] == 'O') id = words[i].substr(1);
            }
            if (words[0] == "ms" && words.size() > 2) {
                std::string value;
                if (!in.bytes(static_cast<std::size_t>(std::atoll(words[2].c_str())) + 2, value)) break;
                record("%s: WRITE %s for %s came to a cache server", name.c_str(), id.c_str(), words[1].c_str());
                if (!send_all(fd, "SERVER_ERROR failed\r\n")) break;
                continue;
            }
            if (words[0] != "mg" || words.size() < 4 || id.empty()) {
                send_all(fd, "CLIENT_ERROR bad command\r\n");
                break;
            }
            const std::string key = words[1];
            if (on_read) on_read(*this, key, id, first_byte);
            pause(work);
            std::string value;
            bool hit = false;
            {
                const std::lock_guard lock(mutex_);
                const auto found = values_.find(key);
                hit = found != values_.end();
                if (hit) value = found->second;
                if (!hit) missed_.insert(id);
            }
            if (!hit) {
                if (!send_all(fd, "EN O" + id + "\r\n")) break;
            } else if (answer) {
                if (!answer(fd, key, id, value)) return;
            } else if (!send_all(fd, "VA " + std::to_string(value.size()) + " O" + id + "\r\n" + value + "\r\n")) {
                break;
            }
        }
        close(fd);
    }

  private:
    std::mutex mutex_;
    std::map<std::string, std::string> values_;
    std::set<std::string> missed_;
};

/// What the origin is to do with one write after it has run.
struct AfterWrite {
    double delay = 0;    ///< seconds until it answers or resets
    bool reset = false;  ///< resets the connection and gives no answer
};

/// The origin: HTTP/1.1, values that depend on the key, writes that drop the copies. A write whose
/// idempotency key it has seen within `window` seconds is a repeat: it is dropped and gets the same receipt.
class Origin : public Server {
  public:
    double work = 0.03;
    double window = 3;
    std::vector<std::shared_ptr<CacheServer>> caches;
    std::function<AfterWrite(const std::string& id, const std::string& idempotency_key)> after_write;
    /// Told of each write, with the time at which its last byte had come.
    std::function<void(const std::string& id, double whole_at)> on_write;
    std::function<std::string(const std::string& key)> value_of = [](const std::string& key) {
        return "value-of-" + key;
    };
    /// Gives values without a length, in pieces of `piece_bytes`, and ends the connection behind them.
    bool no_length = false;
    std::size_t piece_bytes = 50'000;
    double piece_pause = 0.002;

    /// Times at which a write with this idempotency key was applied.
    std::vector<double> applied(const std::string& idempotency_key) {
        const std::lock_guard lock(mutex_);
        return applied_[idempotency_key];
    }

  protected:
    void serve(int fd) override {
        Reader in;
        in.fd = fd;
        while (true) {
            std::string line, id, properties, body;
            std::size_t length = 0;
            if (!in.line(line)) break;
            const std::vector<std::string> words = words_of(line);
            if (words.size() < 3) break;
            while (in.line(line) && !line.empty()) {
                const std::size_t colon = line.find(':');
                std::string name = line.substr(0, colon), value = line.substr(colon + 2);
                std::transform(name.begin(), name.end(), name.begin(), [](char c) { return std::tolower(c); });
                if (name == "x-trace-id") id = value;
                if (name == "x-props") properties = value;
                if (name == "content-length") length = static_cast<std::size_t>(std::atoll(value.c_str()));
            }
            if (length > 0 && !in.bytes(length, body)) break;
            const std::string key = words[1].substr(1);
            std::string answer = "ok";
            if (words[0] == "GET" && !id.empty()) {
                pause(work);
                answer = value_of(key);
                record("origin: read %s of %s, gives %zu bytes", id.c_str(), key.c_str(), answer.size());
                for (const auto& cache : caches) {
                    if (cache->missed(id)) cache->store(key, answer);
                }
                if (no_length) {
                    bool whole = send_all(fd, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
                    for (std::size_t at = 0; whole && at < answer.size(); at += piece_bytes) {
                        whole = send_all(fd, answer.substr(at, piece_bytes));
                        pause(piece_pause);
                    }
                    break;
                }
            } else if (words[0] == "PUT") {
                if (!apply(fd, key, id, properties, answer)) return;
            }
            if (!send_all(fd, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(answer.size()) + "\r\n\r\n" +
                                  answer))
                break;
        }
        close(fd);
    }

  private:
    bool apply(int fd, const std::string& key, const std::string& id, const std::string& properties,
               std::string& receipt) {
        const std::string idempotency_key = property(properties, "k"), told = property(properties, "d");
        const double began = now();
        if (on_write) on_write(id, began);
        pause(work);
        bool repeat = false;
        {
            const std::lock_guard lock(mutex_);
            const auto seen = seen_.find(idempotency_key);
            repeat = !idempotency_key.empty() && seen != seen_.end() && began - seen->second < window;
            if (!repeat) {
                seen_[idempotency_key] = began;
                applied_[idempotency_key].push_back(now());
            }
        }
        for (const auto& cache : caches) cache->drop(key);
        receipt = "r" + idempotency_key;
        record("origin: write %s of key %s, k=%s, told d=%s: %s", id.c_str(), key.c_str(), idempotency_key.c_str(),
               told.c_str(), repeat ? "a repeat, dropped" : "applied");
        const AfterWrite plan = after_write ? after_write(id, idempotency_key) : AfterWrite{};
        pause(plan.delay);
        if (!plan.reset) return true;
        record("origin: connection reset under %s, %.3f s after it came", id.c_str(), now() - began);
        reset_connection(fd);
        return false;
    }

    std::mutex mutex_;
    std::map<std::string, double> seen_;
    std::map<std::string, std::vector<double>> applied_;
};

// ---- the discovery agent ------------------------------------------------------------------------------

struct ListEntry {
    std::string host, dial, zone = "kochi-ho", kind = "std-box", health = "SERVING";
    double born_ms = 0;
    int changed_at = 1;  ///< the version that changed it last
};

/// The agent: answers at once with what it has, holds watches until there is a change. While `set_down(true)`
/// holds, it takes connections and calls and is silent; when discovery is back, it answers the calls that
/// wait.
class Discovery : public Server {
  public:
    std::atomic<double> bytes_per_second{0};  ///< how fast answers are written; 0: at once
    std::atomic<bool> gives_whole{false};     ///< answers a watch that is behind with the whole list

    void add(ListEntry entry) {
        const std::lock_guard lock(mutex_);
        entries_.push_back(std::move(entry));
    }
    void change_health(const std::string& host, const std::string& health) {
        const std::lock_guard lock(mutex_);
        ++version_;
        for (ListEntry& entry : entries_) {
            if (entry.host != host) continue;
            entry.health = health;
            entry.changed_at = version_;
        }
        changed_.notify_all();
    }
    void set_down(bool down) {
        const std::lock_guard lock(mutex_);
        down_ = down;
        changed_.notify_all();
    }
    std::string list(int since = -1) {
        const std::lock_guard lock(mutex_);
        return format(since);
    }

  protected:
    void serve(int fd) override {
        Reader in;
        in.fd = fd;
        while (true) {
            std::string line, other;
            if (!in.line(line)) break;
            while (in.line(other) && !other.empty()) continue;
            int since = -1;
            double wait = 0;
            if (const auto at = line.find("index="); at != std::string::npos) since = std::atoi(&line[at + 6]);
            if (const auto at = line.find("wait="); at != std::string::npos) wait = std::atof(&line[at + 5]) / 1e3;
            std::string body;
            {
                std::unique_lock lock(mutex_);
                const double until = now() + wait;
                while (down_ || (since >= 0 && version_ <= since && now() < until)) {
                    changed_.wait_for(lock, std::chrono::milliseconds(2));
                    pollfd entry{fd, POLLRDHUP, 0};
                    if (poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
                        close(fd);
                        return;
                    }
                }
                if (gives_whole && version_ > since) since = -1;
                body = format(since);
            }
            if (bytes_per_second > 0 && body.size() > 1000)
                record("agent: begins an answer of %zu bytes, the %s", body.size(), since < 0 ? "whole list" : "changes");
            if (!send_paced(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                                    std::to_string(body.size()) + "\r\n\r\n" + body))
                break;
        }
        close(fd);
    }

  private:
    bool send_paced(int fd, const std::string& text) const {
        const double rate = bytes_per_second;
        if (rate <= 0) return send_all(fd, text);
        const double began = now();
        constexpr std::size_t kPiece = 4096;
        for (std::size_t at = 0; at < text.size(); at += kPiece) {
            if (!send_all(fd, text.substr(at, kPiece))) return false;
            pause(began + static_cast<double>(at + kPiece) / rate - now());
        }
        return true;
    }
    std::string format(int since) const {
        std::string text = "{\"seq\":" + std::to_string(version_) +
                           ",\"whole\":" + (since < 0 ? "true" : "false") + ",\"hosts\":[";
        bool first = true;
        for (const ListEntry& entry : entries_) {
            if (since >= 0 && entry.changed_at <= since) continue;
            if (!first) text += ",";
            first = false;
            char born[40];
            std::snprintf(born, sizeof born, "%.0f", entry.born_ms);
            text += "{\"host\":\"" + entry.host + "\",\"dial\":\"" + entry.dial + "\",\"site\":\"" + entry.zone +
                    "\",\"class\":\"" + entry.kind + "\",\"block\":0,\"health\":\"" + entry.health +
                    "\",\"share\":1.0,\"born_ms\":" + born + "}";
        }
        return text + "]}";
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<ListEntry> entries_;
    int version_ = 1;
    bool down_ = false;
};

// ---- the platform -------------------------------------------------------------------------------------

struct NodeOptions {
    std::string name = "n0";
    int number = 0, nodes = 1;
    int memory_mb = 192, descriptors = 1024;
    std::string zones = "\"kochi-ho\"";
    int zone = 0;
    bool retry_after = false;
    /// The entries of `operations`.
    std::string operations =
        R"({"name":"status-check","repeat":"idempotent","group":"all","key_ttl_us":3000000,"client_timeout_us":5000000,"latency_objective_us":1500000,"billed_value":1,"tardy_billed_value":0.2},)"
        R"({"name":"activation-submit","repeat":"deduplicated","group":"all","key_ttl_us":3000000,"client_timeout_us":2000000,"latency_objective_us":1000000,"billed_value":1,"tardy_billed_value":0.25})";
};

/// One node, started by the command `run` of the deploy file.
class Node {
  public:
    Node(const NodeOptions& options, Discovery& discovery, const std::string& folder)
        : options_(options), port_(free_port()), folder_(folder + "/" + options.name) {
        std::string made = "mkdir -p '" + folder_ + "/tmp'";
        if (std::system(made.c_str()) != 0) std::_Exit(2);
        config_ = folder_ + "/config.json";
        write_config(discovery);
        discovery_ = discovery.address();
    }
    int port() const { return port_; }
    pid_t pid() const { return pid_; }
    std::string log_path() const { return folder_ + "/log"; }
    void write_config(Discovery& discovery) {
        std::ofstream file(config_);
        char seed[20];
        std::snprintf(seed, sizeof seed, "8c1f30d27a5b%04x", 0xe964 + options_.number * 0x101);
        file << "{\"name\":\"" << options_.name << "\",\"listen\":\"" << address_of(port_) << "\",\"discovery\":\""
             << discovery.address() << "\",\"seed\":\"" << seed
             << "\",\n\"limits\":{\"cores\":1.0,\"memory_mb\":" << options_.memory_mb
             << ",\"sockets\":" << options_.descriptors << "},\n\"known\":" << discovery.list()
             << ",\n\"settings\":{\"az\":" << options_.zone << ",\"my_number\":" << options_.number
             << ",\"balancers\":" << options_.nodes << ",\"localities\":[" << options_.zones
             << "],\"kinds\":[\"std-box\",\"origin\"],\"discovery\":\"pushed\",\"granularity_us\":5000,"
             << "\"specifics\":{\"mode\":\"aside\",\"origin_kind\":1},"
             << "\"permissions\":{\"cancel\":true,\"may_duplicate\":true,\"may_probe\":true,\"most_forwards\":6,"
             << "\"connect_timeout_us\":250000,\"conn_idle_us\":15000000,\"max_open\":20000,\"retry_after\":"
             << (options_.retry_after ? "true" : "false") << ",\"max_retry_after_us\":2000000},"
             << "\"guarantees\":{\"grace_to_answer_us\":20000,\"stop_sending_within_us\":300000,\"cold_from\":0.31,"
             << "\"warm_within_us\":8700000,\"fall_multiple\":4.0,\"fall_us\":2000000},"
             << "\"operations\":[" << options_.operations << "]}}\n";
    }
    /// Starts the program and waits until it answers `mn`; false if it does not within 30 s.
    bool start() {
        const char* command = std::getenv("RUN_COMMAND");
        if (command == nullptr) return false;
        pid_ = fork();
        if (pid_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = open(log_path().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            const int null = open("/dev/null", O_RDONLY);
            dup2(null, 0);
            dup2(log, 1);
            dup2(log, 2);
            setenv("GW_NAME", options_.name.c_str(), 1);
            setenv("GW_LISTEN", address_of(port_).c_str(), 1);
            setenv("GW_DISCOVERY", discovery_.c_str(), 1);
            setenv("GW_CONFIG", config_.c_str(), 1);
            setenv("TMPDIR", (folder_ + "/tmp").c_str(), 1);
            signal(SIGPIPE, SIG_DFL);
            execl("/bin/sh", "sh", "-c", command, nullptr);
            _exit(127);
        }
        const double until = now() + 30;
        while (now() < until) {
            const int fd = connect_client();
            if (fd >= 0) {
                Reader in;
                in.fd = fd;
                std::string line;
                const bool ready = send_all(fd, "mn\r\n") && in.line(line, now() + 1) && line == "MN";
                close(fd);
                if (ready) {
                    record("node %s serves, process %d", options_.name.c_str(), static_cast<int>(pid_));
                    return true;
                }
            }
            pause(0.02);
        }
        return false;
    }
    /// A new client connection to the node; -1 if it is refused.
    int connect_client() const {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port_);
        if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
            close(fd);
            return -1;
        }
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return fd;
    }
    /// Whether the process has ended by itself.
    bool has_ended() {
        if (pid_ <= 0) return true;
        if (waitpid(pid_, &status_, WNOHANG) != pid_) return false;
        pid_ = -1;
        return true;
    }
    void signal_process(int number) const {
        if (pid_ > 0) kill(pid_, number);
    }
    /// Ends the process: SIGTERM, and SIGKILL after `wait` seconds.
    void stop(double wait = 0) {
        if (pid_ <= 0) return;
        if (wait > 0) kill(pid_, SIGTERM);
        const double until = now() + wait;
        while (wait > 0 && now() < until) {
            if (has_ended()) return;
            pause(0.02);
        }
        kill(pid_, SIGKILL);
        waitpid(pid_, &status_, 0);
        pid_ = -1;
    }
    /// Kilobytes of memory that belong to the process alone (no files, no shared libraries); 0 if it has ended.
    long private_memory_kb() const {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
        for (std::string line; std::getline(file, line);) {
            if (line.rfind("RssAnon:", 0) == 0) return std::atol(line.c_str() + 8);
        }
        return 0;
    }
    /// The lines of the node's log that contain `text`.
    std::vector<std::string> log_lines(const std::string& text) const {
        std::vector<std::string> lines;
        std::ifstream file(log_path());
        for (std::string line; std::getline(file, line);) {
            if (line.find(text) != std::string::npos) lines.push_back(line);
        }
        return lines;
    }

  private:
    NodeOptions options_;
    int port_;
    std::string folder_, config_, discovery_;
    pid_t pid_ = -1;
    int status_ = 0;
};

/// One answer of a node.
struct Answer {
    enum class Kind { none, value, receipt, busy, failed, closed } kind = Kind::none;
    std::string line, body;
    double at = 0;
};

inline const char* name_of(Answer::Kind kind) {
    switch (kind) {
        case Answer::Kind::none: return "no answer";
        case Answer::Kind::value: return "value";
        case Answer::Kind::receipt: return "receipt";
        case Answer::Kind::busy: return "busy";
        case Answer::Kind::failed: return "failed";
        case Answer::Kind::closed: return "connection closed without an answer";
    }
    return "?";
}

/// Reads one answer. `closed` also stands for a value that breaks off.
inline Answer read_answer(Reader& in, double until) {
    Answer answer;
    if (!in.line(answer.line, until)) {
        answer.kind = in.ended ? Answer::Kind::closed : Answer::Kind::none;
        answer.at = now();
        return answer;
    }
    const std::vector<std::string> words = words_of(answer.line);
    if (!words.empty() && words[0] == "VA" && words.size() > 1) {
        const bool whole = in.bytes(static_cast<std::size_t>(std::atoll(words[1].c_str())) + 2, answer.body, until);
        if (!whole) answer.body = in.buffer;
        answer.kind = whole ? Answer::Kind::value : in.ended ? Answer::Kind::closed : Answer::Kind::none;
    } else if (!words.empty() && words[0] == "HD") {
        answer.kind = Answer::Kind::receipt;
    } else if (answer.line.rfind("SERVER_ERROR busy", 0) == 0) {
        answer.kind = Answer::Kind::busy;
    } else {
        answer.kind = Answer::Kind::failed;
    }
    answer.at = now();
    return answer;
}

inline std::string read_command(const std::string& key, const std::string& id, int ms) {
    return "mg " + key + " v O" + id + " Pc=status-check,d=" + std::to_string(ms) + "\r\n";
}
inline std::string write_command(const std::string& key, const std::string& value, const std::string& id, int ms,
                                 const std::string& idempotency_key) {
    return "ms " + key + " " + std::to_string(value.size()) + " O" + id + " Pc=activation-submit,d=" +
           std::to_string(ms) + ",k=" + idempotency_key + "\r\n" + value + "\r\n";
}

/// A small deployment: cache servers, the origin and discovery, started and listed.
struct Deployment {
    std::vector<std::shared_ptr<CacheServer>> caches;
    Origin origin;
    Discovery discovery;

    explicit Deployment(int count) {
        for (int i = 0; i < count; ++i) {
            caches.push_back(std::make_shared<CacheServer>("s-" + std::to_string(i + 1)));
            ListEntry entry;
            entry.host = caches.back()->name;
            entry.dial = caches.back()->address();
            discovery.add(entry);
        }
        ListEntry entry;
        entry.host = "master";
        entry.dial = origin.address();
        entry.kind = "origin";
        discovery.add(entry);
        origin.caches = caches;
    }
    void start() {
        for (const auto& cache : caches) cache->start();
        origin.start();
        discovery.start();
    }
};

/// Whether the case plays its disruption.
inline bool with_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// Opens the record and returns the folder for files of the run; both come from run.sh.
inline std::string open_case() {
    signal(SIGPIPE, SIG_IGN);
    const char* path = std::getenv("RECORD");
    const char* folder = std::getenv("WORK_FOLDER");
    if (path == nullptr || folder == nullptr) std::_Exit(2);
    record_file = std::fopen(path, "w");
    if (record_file == nullptr) std::_Exit(2);
    record("the disruption is %s", with_trouble() ? "played" : "left out (TROUBLE=0)");
    return folder;
}

/// Ends the case with its exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
[[noreturn]] inline void end_case(int code, const std::string& verdict) {
    record("%s", verdict.c_str());
    std::printf("%s\n", verdict.c_str());
    std::fflush(stdout);
    std::_Exit(code);
}

}  // namespace standin
