#include "testkit/scripted_peer.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <stdexcept>
#include <utility>

#include "testkit/connection.h"

namespace brookrelay::testkit {
namespace {

constexpr int kBacklog = 64;

sockaddr_in address_of(const std::string& host, int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

void require(bool condition, const char* message) {
    if (!condition) throw std::runtime_error(message);
}

}  // namespace

int bound_socket(int& port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = address_of(own_loopback(), 0);
    socklen_t length = sizeof address;
    require(bind(fd, reinterpret_cast<sockaddr*>(&address), length) == 0,
            "cannot bind a test socket to the loopback address");
    require(getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) == 0,
            "cannot read the port of a bound test socket");
    port = ntohs(address.sin_port);
    return fd;
}

TestSocket::TestSocket(const std::string& host, int port, int receive_buffer)
    : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    if (receive_buffer > 0) setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    const sockaddr_in address = address_of(host, port);
    is_up_ = connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
}

TestSocket::~TestSocket() { close(fd_); }

void TestSocket::send(const std::string& text) const {
    (void)::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
}

std::string TestSocket::until(const std::string& end) {
    std::size_t at = 0;
    while ((at = input_.find(end)) == std::string::npos) {
        if (!receive_more()) return std::exchange(input_, {});
    }
    return bytes(at + end.size());
}

std::string TestSocket::bytes(std::size_t n) {
    while (input_.size() < n && receive_more()) continue;
    std::string out = input_.substr(0, n);
    input_.erase(0, n);
    return out;
}

void TestSocket::shut_down() const { shutdown(fd_, SHUT_RDWR); }

void TestSocket::end_sending() const { shutdown(fd_, SHUT_WR); }

// Closes the connection with a TCP reset. The descriptor is replaced by an unconnected socket and stays open
// until the TestSocket is destroyed, so that its number is not reused meanwhile.
void TestSocket::reset() {
    const linger at_once{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    const int replacement = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    dup3(replacement, fd_, O_CLOEXEC);
    close(replacement);
}

bool TestSocket::receive_more() {
    pollfd p{fd_, POLLIN, 0};
    require(poll(&p, 1, kReceiveTimeoutMs) == 1, "no data from the peer within 20 s (kReceiveTimeoutMs)");
    char buffer[65536];
    const ssize_t n = recv(fd_, buffer, sizeof buffer, 0);
    if (n > 0) input_.append(buffer, static_cast<std::size_t>(n));
    return n > 0;
}

ScriptedPeer::ScriptedPeer(bool http) : is_http_(http), listener_(bound_socket(port)) {
    require(listen(listener_, kBacklog) == 0, "cannot listen on the port of a scripted peer");
    acceptor_ = std::thread([this] { accept_all(); });
}

ScriptedPeer::~ScriptedPeer() {
    is_stopping_ = true;
    shutdown(listener_, SHUT_RDWR);
    if (acceptor_.joinable()) acceptor_.join();
    for (TestSocket& l : lines_) l.shut_down();
    for (std::thread& t : threads_) t.join();
    close(listener_);
}

void ScriptedPeer::set_script(Script script) {
    const std::lock_guard lock(mutex_);
    script_ = std::move(script);
}

void ScriptedPeer::set_receive_buffer(int bytes) {
    setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
}

void ScriptedPeer::delay_bodies(std::function<double()> seconds) { body_delay_ = std::move(seconds); }

void ScriptedPeer::stall() {
    is_stopping_ = true;
    (void)TestSocket(own_loopback(), port).up();
    acceptor_.join();
    require(listen(listener_, 0) == 0, "cannot listen on the port of a scripted peer");
}

void ScriptedPeer::resume() {
    is_stopping_ = false;
    require(listen(listener_, kBacklog) == 0, "cannot listen on the port of a scripted peer");
    acceptor_ = std::thread([this] { accept_all(); });
}

std::vector<std::string> ScriptedPeer::received_messages() {
    const std::lock_guard lock(mutex_);
    return received_;
}

std::string ScriptedPeer::address() const { return own_loopback() + ":" + std::to_string(port); }

void ScriptedPeer::accept_all() {
    while (true) {
        const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0 || is_stopping_) {
            if (fd >= 0) close(fd);
            return;
        }
        ++connections;
        TestSocket& line = lines_.emplace_back(fd);
        threads_.emplace_back([this, &line] { serve(line); });
    }
}

std::string ScriptedPeer::message(TestSocket& line) const {
    std::string text = line.until(is_http_ ? "\r\n\r\n" : "\r\n");
    std::size_t body = 0;
    if (is_http_) {
        const std::size_t at = text.find("Content-Length: ");
        if (at != std::string::npos) body = std::stoul(text.substr(at + 16));
        if (body > 0 && body_delay_)
            std::this_thread::sleep_for(std::chrono::duration<double>(body_delay_()));
    } else if (text.starts_with("ms ")) {
        body = std::stoul(text.substr(text.find(' ', 3) + 1)) + 2;
    }
    return body > 0 ? text + line.bytes(body) : text;
}

void ScriptedPeer::serve(TestSocket& line) {
    while (true) {
        const std::string text = message(line);
        if (text.empty()) break;
        Script script;
        {
            const std::lock_guard lock(mutex_);
            received_.push_back(text);
            script = script_;
        }
        const ScriptedResponse response = script(text);
        if (!response.text.empty()) line.send(response.text);
        if (response.wait) response.wait();
        if (!response.rest.empty()) line.send(response.rest);
        for (std::size_t i = 0; i < response.pieces.size() && !is_stopping_; ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(response.piece_interval_ms));
            line.send(response.pieces[i]);
        }
        if (response.reset) line.reset();
        if (response.close || response.reset) break;
    }
    line.shut_down();
    ++ended;
}

}  // namespace brookrelay::testkit
