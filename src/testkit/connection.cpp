#include "testkit/connection.h"

#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace brookrelay::testkit {
namespace {
constexpr int kBacklog = 1024;  // connections in the accept queue
// Bytes that may be received without forming a message before the connection is closed. No message of the
// test protocols is as long.
constexpr std::size_t kUnreadMost = 4 << 20;
// Connection attempts that fill an accept queue of length 0.
constexpr int kFillers = 4;
}  // namespace

Connection::Ptr Connection::accepted(Tcp::socket socket, const Clock& clock, Handlers handlers) {
    Ptr conn(new Connection(std::move(socket), clock, std::move(handlers)));
    Code ignored;
    conn->socket_.set_option(Tcp::no_delay(true), ignored);
    conn->up_ = true;
    conn->read();
    return conn;
}

Connection::Ptr Connection::to(Io& io, const Tcp::endpoint& where, const Clock& clock, Handlers handlers) {
    Ptr conn(new Connection(Tcp::socket(io), clock, std::move(handlers)));
    conn->socket_.async_connect(where, [conn](const Code& bad) {
        if (conn->closed_) return;
        if (bad) return conn->broke();
        Code ignored;
        conn->socket_.set_option(Tcp::no_delay(true), ignored);
        conn->up_ = true;
        conn->call(conn->handlers_.up);
        conn->read();
        conn->flush();
    });
    return conn;
}

void Connection::read() {
    if (closed_ || paused_ || reading_) return;
    reading_ = true;
    socket_.async_read_some(boost::asio::buffer(room_),
                            [self = shared_from_this()](const Code& bad, std::size_t n) {
                                self->reading_ = false;
                                if (self->closed_) return;
                                if (n > 0) {
                                    if (self->input().empty()) self->first_byte_at_ = self->clock_.now();
                                    self->in_.append(self->room_.data(), n);
                                    self->call(self->handlers_.input);
                                    if (self->closed_) return;
                                }
                                if (bad || self->input().size() > kUnreadMost) return self->broke();
                                self->read();
                            });
}

void Connection::resume() {
    paused_ = false;
    read();
}

void Connection::take(std::size_t bytes) {
    taken_ += bytes;
    first_byte_at_ = clock_.now();
    if (taken_ == in_.size()) {
        in_.clear();
        taken_ = 0;
    } else if (taken_ > 65536) {
        in_.erase(0, taken_);
        taken_ = 0;
    }
}

void Connection::write(std::string_view bytes) {
    if (closed_) return;
    out_.append(bytes);
    flush();
}

void Connection::flush() {
    if (!up_ || closed_ || !going_.empty() || out_.empty()) return;
    // Writes what fits into the socket buffer at once; only the rest needs an asynchronous write.
    Code bad;
    socket_.non_blocking(true, bad);
    const std::size_t sent = socket_.write_some(boost::asio::buffer(out_), bad);
    if (!bad && sent == out_.size()) return out_.clear();
    if (bad && bad != boost::asio::error::would_block && bad != boost::asio::error::try_again) {
        out_.clear();
        return;  // the pending read reports the error
    }
    out_.erase(0, sent);
    going_.swap(out_);
    boost::asio::async_write(socket_, boost::asio::buffer(going_),
                             [self = shared_from_this()](const Code& failed, std::size_t) {
                                 self->going_.clear();
                                 if (!failed) self->flush();
                             });
}

void Connection::broke() {
    if (closed_) return;
    const auto ended = std::exchange(handlers_.ended, nullptr);
    const Ptr self = shared_from_this();
    close();
    if (ended) ended(*this);
}

void Connection::close() {
    if (closed_) return;
    closed_ = true;
    Code ignored;
    socket_.close(ignored);
    if (calling_ == 0) handlers_ = {};
}

void Connection::call(std::function<void(Connection&)>& handler) {
    if (!handler) return;
    ++calling_;
    handler(*this);
    if (--calling_ == 0 && closed_) handlers_ = {};
}

void Connection::reset() {
    if (closed_) return;
    Code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    close();
}

Listener::Listener(Io& io, const std::string& host, Accepted accepted, unsigned short port)
    : io_(io), accepted_(std::move(accepted)), where_(boost::asio::ip::make_address(host), port) {
    open();
}

std::string Listener::address() const {
    return where_.address().to_string() + ":" + std::to_string(where_.port());
}

void Listener::open() {
    if (hushed_) {
        hushed_ = false;
        fillers_.clear();
        acceptor_->listen(kBacklog);
        return accept();
    }
    if (acceptor_ != nullptr) return;
    acceptor_ = std::make_unique<Tcp::acceptor>(io_);
    acceptor_->open(where_.protocol());
    acceptor_->set_option(Tcp::acceptor::reuse_address(true));
    acceptor_->bind(where_);
    where_ = acceptor_->local_endpoint();
    acceptor_->listen(kBacklog);
    accept();
}

void Listener::accept() {
    acceptor_->async_accept([this](const Code& bad, Tcp::socket socket) {
        if (bad == boost::asio::error::operation_aborted) return;
        if (!bad) accepted_(std::move(socket));
        if (acceptor_ != nullptr && !hushed_) accept();
    });
}

void Listener::shut() {
    hushed_ = false;
    fillers_.clear();
    acceptor_.reset();
}

void Listener::hush() {
    if (acceptor_ == nullptr || hushed_) return;
    hushed_ = true;
    acceptor_->cancel();
    // With an accept queue of length 0 that is full, the kernel does not answer a new SYN.
    acceptor_->listen(0);
    for (int i = 0; i < kFillers; ++i) {
        Tcp::socket& filler = fillers_.emplace_back(io_);
        filler.open(where_.protocol());
        filler.native_non_blocking(true);
        // Asio's connect() waits for the result even on a non-blocking socket, so the system call is used.
        (void)::connect(filler.native_handle(), where_.data(), static_cast<socklen_t>(where_.size()));
    }
}

std::string own_loopback() {
    // Maps 22 bits of the process id into 127.64.0.0/10, so that concurrent runs use different addresses.
    const auto pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string(64 + (pid >> 16) % 64) + "." + std::to_string(pid >> 8 & 0xff) + "." +
           std::to_string(pid & 0xff);
}

unsigned short free_port(Io& io, const std::string& host) {
    Tcp::acceptor probe(io, Tcp::endpoint(boost::asio::ip::make_address(host), 0));
    return probe.local_endpoint().port();
}

}  // namespace brookrelay::testkit
