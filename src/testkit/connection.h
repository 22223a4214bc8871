// One TCP connection of a stand-in, and a listener that can be hushed or shut, on Boost.Asio. A connection
// owns its socket and its two buffers, and ends by close(), by reset(), or when its peer goes; whoever holds
// it is told once. Nothing here knows a protocol.
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

// Seconds since the day's start, by the one clock that all stand-ins share.
class Clock {
  public:
    Clock() : start_(std::chrono::steady_clock::now()) {}
    double now() const { return of(std::chrono::steady_clock::now()); }
    double of(std::chrono::steady_clock::time_point t) const {
        return std::chrono::duration<double>(t - start_).count();
    }
    std::chrono::steady_clock::time_point at(double seconds) const {
        return start_ + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                            std::chrono::duration<double>(seconds));
    }

  private:
    std::chrono::steady_clock::time_point start_;
};

class Conn : public std::enable_shared_from_this<Conn> {
  public:
    using Ptr = std::shared_ptr<Conn>;
    struct Handlers {
        std::function<void(Conn&)> up;     // a connection that was opened from here stands
        std::function<void(Conn&)> input;  // more has come
        std::function<void(Conn&)> ended;  // the peer ended it, it broke, or it never came up; once
    };
    static Ptr accepted(Tcp::socket socket, const Clock& clock, Handlers handlers);
    static Ptr to(Io& io, const Tcp::endpoint& where, const Clock& clock, Handlers handlers);

    void write(std::string_view bytes);
    std::string_view input() const { return std::string_view(in_).substr(taken_); }
    void take(std::size_t bytes);
    double first_byte_at() const { return first_byte_at_; }  // of what has not been taken yet
    bool is_up() const { return up_; }
    bool is_closed() const { return closed_; }
    std::size_t unwritten() const { return out_.size() + going_.size(); }
    void pause() { paused_ = true; }  // reads no more; what has come stays
    void resume();
    void close();
    void reset();  // the peer sees its connection reset

  private:
    Conn(Tcp::socket socket, const Clock& clock, Handlers handlers)
        : socket_(std::move(socket)), clock_(clock), handlers_(std::move(handlers)) {}
    void read();
    void flush();
    void broke();
    void call(std::function<void(Conn&)>& handler);

    Tcp::socket socket_;
    const Clock& clock_;
    Handlers handlers_;
    std::string in_, out_, going_;
    std::size_t taken_ = 0;
    double first_byte_at_ = 0;
    int calling_ =
        0;  // its handlers hold whoever holds it: they go with its end, but not from under one that runs
    bool up_ = false, closed_ = false, paused_ = false, reading_ = false;
    std::array<char, 16384> room_{};
};

// Listens on an address of its own choice of port, and keeps that port for later.
class Listener {
  public:
    using Accepted = std::function<void(Tcp::socket)>;
    Listener(Io& io, const std::string& host, Accepted accepted, unsigned short port = 0);
    const Tcp::endpoint& endpoint() const { return where_; }
    std::string address() const;
    void open();  // as at its start: after shut() on the same port, after hush() with a queue again
    void shut();  // connections are refused
    // New connections neither come up nor are refused, as of a machine that is cut off.
    void hush();

  private:
    void accept();

    Io& io_;
    Accepted accepted_;
    Tcp::endpoint where_;
    std::unique_ptr<Tcp::acceptor> acceptor_;
    std::vector<Tcp::socket> fillers_;
    bool hushed_ = false;
};

// A loopback address that no other process's rehearsal uses.
std::string own_loopback();
// A port of it that is free now, for a process that wants to be told one.
unsigned short free_port(Io& io, const std::string& host);

}  // namespace brookrelay::testkit
