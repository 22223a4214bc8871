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
constexpr std::size_t kMaxUnparsedBytes = 4 << 20;
// Connection attempts that fill an accept queue of length 0.
constexpr int kQueueFillers = 4;
}  // namespace

Connection::Ptr Connection::accepted(Tcp::socket socket, const Clock& clock, Handlers handlers) {
    Ptr connection(new Connection(std::move(socket), clock, std::move(handlers)));
    Code ignored;
    connection->socket_.set_option(Tcp::no_delay(true), ignored);
    connection->is_up_ = true;
    connection->read();
    return connection;
}

Connection::Ptr Connection::to(Io& io, const Tcp::endpoint& remote, const Clock& clock, Handlers handlers) {
    Ptr connection(new Connection(Tcp::socket(io), clock, std::move(handlers)));
    connection->socket_.async_connect(remote, [connection](const Code& error) {
        if (connection->is_closed_) return;
        if (error) return connection->close_and_notify();
        Code ignored;
        connection->socket_.set_option(Tcp::no_delay(true), ignored);
        connection->is_up_ = true;
        connection->call_handler(connection->handlers_.up);
        connection->read();
        connection->flush();
    });
    return connection;
}

void Connection::read() {
    if (is_closed_ || is_paused_ || is_reading_) return;
    is_reading_ = true;
    socket_.async_read_some(boost::asio::buffer(read_buffer_),
                            [self = shared_from_this()](const Code& error, std::size_t n) {
                                self->is_reading_ = false;
                                if (self->is_closed_) return;
                                if (n > 0) {
                                    if (self->input().empty()) self->first_byte_at_ = self->clock_.now();
                                    self->received_.append(self->read_buffer_.data(), n);
                                    self->call_handler(self->handlers_.input);
                                    if (self->is_closed_) return;
                                }
                                if (error || self->input().size() > kMaxUnparsedBytes)
                                    return self->close_and_notify();
                                self->read();
                            });
}

void Connection::resume() {
    is_paused_ = false;
    read();
}

void Connection::take(std::size_t bytes) {
    consumed_ += bytes;
    first_byte_at_ = clock_.now();
    if (consumed_ == received_.size()) {
        received_.clear();
        consumed_ = 0;
    } else if (consumed_ > 65536) {
        received_.erase(0, consumed_);
        consumed_ = 0;
    }
}

void Connection::write(std::string_view bytes) {
    if (is_closed_) return;
    pending_.append(bytes);
    flush();
}

void Connection::flush() {
    if (!is_up_ || is_closed_ || !sending_.empty() || pending_.empty()) return;
    // Writes what fits into the socket buffer at once; only the rest needs an asynchronous write.
    Code error;
    socket_.non_blocking(true, error);
    const std::size_t sent = socket_.write_some(boost::asio::buffer(pending_), error);
    if (!error && sent == pending_.size()) return pending_.clear();
    if (error && error != boost::asio::error::would_block && error != boost::asio::error::try_again) {
        pending_.clear();
        return;  // the pending read reports the error
    }
    pending_.erase(0, sent);
    sending_.swap(pending_);
    boost::asio::async_write(socket_, boost::asio::buffer(sending_),
                             [self = shared_from_this()](const Code& failed, std::size_t) {
                                 self->sending_.clear();
                                 if (!failed) self->flush();
                             });
}

void Connection::close_and_notify() {
    if (is_closed_) return;
    const auto ended = std::exchange(handlers_.ended, nullptr);
    const Ptr self = shared_from_this();
    close();
    if (ended) ended(*this);
}

void Connection::close() {
    if (is_closed_) return;
    is_closed_ = true;
    Code ignored;
    socket_.close(ignored);
    if (running_handlers_ == 0) handlers_ = {};
}

void Connection::call_handler(std::function<void(Connection&)>& handler) {
    if (!handler) return;
    ++running_handlers_;
    handler(*this);
    if (--running_handlers_ == 0 && is_closed_) handlers_ = {};
}

void Connection::reset() {
    if (is_closed_) return;
    Code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    close();
}

Listener::Listener(Io& io, const std::string& host, Accepted accepted, unsigned short port)
    : io_(io), accepted_(std::move(accepted)), endpoint_(boost::asio::ip::make_address(host), port) {
    open();
}

std::string Listener::address() const {
    return endpoint_.address().to_string() + ":" + std::to_string(endpoint_.port());
}

void Listener::open() {
    if (is_unresponsive_) {
        is_unresponsive_ = false;
        queue_fillers_.clear();
        acceptor_->listen(kBacklog);
        return accept();
    }
    if (acceptor_ != nullptr) return;
    acceptor_ = std::make_unique<Tcp::acceptor>(io_);
    acceptor_->open(endpoint_.protocol());
    acceptor_->set_option(Tcp::acceptor::reuse_address(true));
    acceptor_->bind(endpoint_);
    endpoint_ = acceptor_->local_endpoint();
    acceptor_->listen(kBacklog);
    accept();
}

void Listener::accept() {
    acceptor_->async_accept([this](const Code& error, Tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) return;
        if (!error) accepted_(std::move(socket));
        if (acceptor_ != nullptr && !is_unresponsive_) accept();
    });
}

void Listener::close() {
    is_unresponsive_ = false;
    queue_fillers_.clear();
    acceptor_.reset();
}

void Listener::make_unresponsive() {
    if (acceptor_ == nullptr || is_unresponsive_) return;
    is_unresponsive_ = true;
    acceptor_->cancel();
    // With an accept queue of length 0 that is full, the kernel does not answer a new SYN.
    acceptor_->listen(0);
    for (int i = 0; i < kQueueFillers; ++i) {
        Tcp::socket& filler = queue_fillers_.emplace_back(io_);
        filler.open(endpoint_.protocol());
        filler.native_non_blocking(true);
        // Asio's connect() waits for the result even on a non-blocking socket, so the system call is used.
        (void)::connect(filler.native_handle(), endpoint_.data(), static_cast<socklen_t>(endpoint_.size()));
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
