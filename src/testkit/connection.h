// A TCP connection of a fake server or client, and a listener that can be closed or made unresponsive, on
// Boost.Asio. A connection owns its socket and buffers and notifies its owner once when the peer closes it or
// it fails; close() and reset() do not notify. It knows no application protocol.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace brookrelay::testkit {

using Io = boost::asio::io_context;
using Tcp = boost::asio::ip::tcp;
using Code = boost::system::error_code;

// Converts between seconds since the clock's construction and steady_clock; all parts of a run share one
// instance.
class Clock {
  public:
    Clock() : start_(std::chrono::steady_clock::now()) {}
    double now() const { return to_seconds(std::chrono::steady_clock::now()); }
    double to_seconds(std::chrono::steady_clock::time_point t) const {
        return std::chrono::duration<double>(t - start_).count();
    }
    std::chrono::steady_clock::time_point at(double seconds) const {
        return start_ + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                            std::chrono::duration<double>(seconds));
    }

  private:
    std::chrono::steady_clock::time_point start_;
};

class Connection : public std::enable_shared_from_this<Connection> {
  public:
    using Ptr = std::shared_ptr<Connection>;
    struct Handlers {
        std::function<void(Connection&)> up;     // an outgoing connection is established
        std::function<void(Connection&)> input;  // more bytes were received
        std::function<void(Connection&)> ended;  // closed by the peer, failed, or never established; once
    };
    static Ptr accepted(Tcp::socket socket, const Clock& clock, Handlers handlers);
    static Ptr to(Io& io, const Tcp::endpoint& remote, const Clock& clock, Handlers handlers);

    void write(std::string_view bytes);
    std::string_view input() const { return std::string_view(received_).substr(consumed_); }
    void take(std::size_t bytes);
    double first_byte_at() const { return first_byte_at_; }  // of the input that has not been consumed
    bool is_up() const { return is_up_; }
    bool is_closed() const { return is_closed_; }
    std::size_t unwritten() const { return pending_.size() + sending_.size(); }
    void pause() { is_paused_ = true; }  // reads no more; the input received stays
    void resume();
    void close();
    void reset();  // closes with a TCP reset

  private:
    Connection(Tcp::socket socket, const Clock& clock, Handlers handlers)
        : socket_(std::move(socket)), clock_(clock), handlers_(std::move(handlers)) {}
    void read();
    void flush();
    void close_and_notify();
    void call_handler(std::function<void(Connection&)>& handler);

    Tcp::socket socket_;
    const Clock& clock_;
    Handlers handlers_;
    std::string received_, pending_, sending_;
    std::size_t consumed_ = 0;
    double first_byte_at_ = 0;
    // Number of handler calls in progress. Handlers may hold the owner of this connection alive, so they are
    // released when the connection ends, but not while one of them runs.
    int running_handlers_ = 0;
    bool is_up_ = false, is_closed_ = false, is_paused_ = false, is_reading_ = false;
    std::array<char, 16384> read_buffer_{};
};

// Listens on one port of a host. It reopens on the same port after close() or make_unresponsive().
class Listener {
  public:
    using Accepted = std::function<void(Tcp::socket)>;
    Listener(Io& io, const std::string& host, Accepted accepted, unsigned short port = 0);
    const Tcp::endpoint& endpoint() const { return endpoint_; }
    std::string address() const;
    void open();   // accepts connections again after close() or make_unresponsive(), on the same port
    void close();  // refuses new connections
    // Lets new connections neither be established nor refused, as if the machine were unreachable.
    void make_unresponsive();

  private:
    void accept();

    Io& io_;
    Accepted accepted_;
    Tcp::endpoint endpoint_;
    std::unique_ptr<Tcp::acceptor> acceptor_;
    std::vector<Tcp::socket> queue_fillers_;
    bool is_unresponsive_ = false;
};

// Returns a loopback address derived from the process id, so that concurrent runs do not share one.
std::string own_loopback();
// Returns a currently free port of the host, for a process that takes its port from the configuration.
unsigned short free_port(Io& io, const std::string& host);

}  // namespace brookrelay::testkit
