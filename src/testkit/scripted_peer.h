// A TCP peer that follows a script, for tests that need control over every byte of an exchange: it listens on
// loopback, passes each message to its script in a thread for each connection, and records what it received.
#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace brookrelay::testkit {

constexpr int kReceiveTimeoutMs = 20000;  // receive timeout; only a failing test reaches it

// A blocking socket with a read buffer.
class TestSocket {
  public:
    explicit TestSocket(int fd) : fd_(fd) {}
    // `receive_buffer`: bytes of the kernel's buffer; 0: the system's choice, which may grow by megabytes.
    TestSocket(const std::string& host, int port, int receive_buffer = 0);
    ~TestSocket();
    TestSocket(const TestSocket&) = delete;
    TestSocket& operator=(const TestSocket&) = delete;

    bool up() const { return is_up_; }
    void send(const std::string& text) const;
    std::string until(const std::string& end);  // reads through `end`, or until the peer closes
    std::string bytes(std::size_t n);
    bool closed_by_peer() { return input_.empty() && !receive_more() && input_.empty(); }
    void shut_down() const;
    void reset();
    void end_sending() const;

  private:
    bool receive_more();
    int fd_;
    bool is_up_ = true;
    std::string input_;
};

// The response to one message: sends `text`, calls `wait`, sends `rest` and then each of `pieces`, and may
// then close or reset the connection.
struct ScriptedResponse {
    std::string text;
    bool close = false;
    std::function<void()> wait = {};
    std::string rest = {};
    bool reset = false;  // closes with a TCP reset
    std::vector<std::string> pieces = {};
    int piece_interval_ms = 0;  // before each piece
};

class ScriptedPeer {
  public:
    using Script = std::function<ScriptedResponse(const std::string& message)>;
    explicit ScriptedPeer(bool http);  // false: messages are memcache text commands
    ~ScriptedPeer();
    ScriptedPeer(const ScriptedPeer&) = delete;
    ScriptedPeer& operator=(const ScriptedPeer&) = delete;

    void set_script(Script script);
    void set_receive_buffer(int bytes);                  // receive buffer of new connections
    void delay_bodies(std::function<double()> seconds);  // delay before each body is read
    void stall();   // stops accepting and shrinks the accept queue to one connection
    void resume();  // accepts again after stall()
    std::vector<std::string> received_messages();
    std::string address() const;

    int port = 0;
    std::atomic<int> connections{0};
    std::atomic<int> ended{0};

  private:
    void accept_all();
    std::string message(TestSocket& line) const;
    void serve(TestSocket& line);

    const bool is_http_;
    int listener_;
    std::thread acceptor_;
    std::mutex mutex_;
    std::function<double()> body_delay_;
    Script script_ = [](const std::string&) { return ScriptedResponse{}; };
    std::vector<std::string> received_;
    std::list<TestSocket> lines_;
    std::vector<std::thread> threads_;
    std::atomic<bool> is_stopping_{false};
};

// Binds a free port of own_loopback() without listening on it; returns the socket.
int bound_socket(int& port);

}  // namespace brookrelay::testkit
