// A peer that plays a script, for tests that need every byte of an exchange to be as they say: it listens on
// loopback, hands each message to its script, a thread a connection, and keeps what it heard. It owns its
// threads and sockets. Where a server's ordinary behaviour is wanted, the kit's servers have it.
#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace brookrelay::testkit {

constexpr int kPatienceMs = 20000;  // for what must come; it only ends a test that has failed already

// A blocking socket with what has been read from it and not yet used.
class Line {
  public:
    explicit Line(int fd) : fd_(fd) {}
    Line(const std::string& host, int port);
    ~Line();
    Line(const Line&) = delete;
    Line& operator=(const Line&) = delete;

    bool up() const { return up_; }
    void send(const std::string& text) const;
    std::string until(const std::string& end);  // up to and with it, or what came before the peer closed
    std::string bytes(std::size_t n);
    bool closed_by_peer() { return in_.empty() && !more() && in_.empty(); }
    void shut() const;
    void reset();
    void end_sending() const;

  private:
    bool more();
    int fd_;
    bool up_ = true;
    std::string in_;
};

// What a peer does with one message: sends a text, if there is one, may wait and send the rest, and may then
// close.
struct Act {
    std::string text;
    bool close = false;
    std::function<void()> wait = {};
    std::string rest = {};
    bool reset = false;  // it closes by a reset, which is no end
};

class ScriptedPeer {
  public:
    using Script = std::function<Act(const std::string& message)>;
    explicit ScriptedPeer(bool http);  // else messages are commands of the memcache text
    ~ScriptedPeer();
    ScriptedPeer(const ScriptedPeer&) = delete;
    ScriptedPeer& operator=(const ScriptedPeer&) = delete;

    void plays(Script script);
    void takes_at_most(int bytes);  // its side of new connections, beyond what it has read
    void reads_bodies_after(std::function<double()> seconds);  // how long it leaves each body unread
    void stall();   // accepts no more, with room for one connection in the queue,
    void resume();  // until now
    std::vector<std::string> heard();
    std::string address() const;

    int port = 0;
    std::atomic<int> connections{0};
    std::atomic<int> ended{0};

  private:
    void accept_all();
    std::string message(Line& line) const;
    void serve(Line& line);

    const bool http_;
    int listener_;
    std::thread acceptor_;
    std::mutex mutex_;
    std::function<double()> body_waits_;
    Script script_ = [](const std::string&) { return Act{}; };
    std::vector<std::string> heard_;
    std::list<Line> lines_;
    std::vector<std::thread> threads_;
    std::atomic<bool> ending_{false};
};

// A port of own_loopback() that is bound and not yet listened on; its socket.
int bound_socket(int& port);

}  // namespace brookrelay::testkit
