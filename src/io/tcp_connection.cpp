#include "io/tcp_connection.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <utility>

#include "util/address.h"

namespace brookrelay {
namespace {

constexpr std::size_t kReadStep = 64 * 1024;
constexpr int kBacklog = 1024;  // what is written to a connection that waits here already counts as taken

void prepare(GSocket* socket) {
    g_socket_set_blocking(socket, FALSE);
    // Small answers must not wait for the other side's acknowledgement of the one before.
    g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
}

SocketRef new_socket(GSocketAddress* address) {
    return SocketRef(g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM,
                                  G_SOCKET_PROTOCOL_TCP, nullptr));
}

// Empty when it is no address.
using AddressRef = std::unique_ptr<GSocketAddress, GObjectUnref>;
AddressRef socket_address(const std::string& text) {
    const auto address = parse_address(text);
    return AddressRef(address ? g_inet_socket_address_new_from_string(address->host.c_str(), address->port)
                              : nullptr);
}

}  // namespace

SocketRef listen_on(const std::string& text, std::string& complaint) {
    const AddressRef address = socket_address(text);
    if (address == nullptr) {
        complaint = "'" + text + "' is not an address and port";
        return nullptr;
    }
    SocketRef socket = new_socket(address.get());
    GError* error = nullptr;
    if (socket != nullptr) {
        g_socket_set_blocking(socket.get(), FALSE);
        g_socket_set_listen_backlog(socket.get(), kBacklog);
        if (g_socket_bind(socket.get(), address.get(), TRUE, &error) && g_socket_listen(socket.get(), &error))
            return socket;
    }
    const ErrorRef why(error);
    complaint = "cannot listen on " + text + ": " + (why ? why->message : "no socket");
    return nullptr;
}

SocketRef adopt_listener(int descriptor, std::string& complaint) {
    int listens = 0;
    socklen_t size = sizeof listens;
    GError* error = nullptr;
    SocketRef socket;
    // Asked first: what is no socket, or does not listen, stays whoever's it is.
    if (getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) == 0 && listens != 0)
        socket.reset(g_socket_new_from_fd(descriptor, &error));
    const ErrorRef why(error);
    if (socket == nullptr) {
        complaint = "descriptor " + std::to_string(descriptor) + " is no listening socket" +
                    (why ? std::string(": ") + why->message : "");
        return nullptr;
    }
    g_socket_set_blocking(socket.get(), FALSE);
    return socket;
}

TcpConnection::TcpConnection(SocketRef accepted, std::size_t in_most, ByteBudget& budget, EventHandler told,
                             int priority)
    : socket_(std::move(accepted)),
      state_(State::connected),
      read_limit_(in_most),
      budget_(budget),
      on_event_(std::move(told)),
      priority_(priority) {
    prepare(socket_.get());
    watch_input();
}

TcpConnection::TcpConnection(const std::string& text, std::size_t in_most, ByteBudget& budget,
                             EventHandler told)
    : read_limit_(in_most), budget_(budget), on_event_(std::move(told)) {
    const AddressRef address = socket_address(text);
    if (address != nullptr) socket_ = new_socket(address.get());
    if (socket_ == nullptr) {
        on_error();
        return;
    }
    prepare(socket_.get());
    GError* error = nullptr;
    if (!g_socket_connect(socket_.get(), address.get(), nullptr, &error)) {
        const ErrorRef why(error);
        if (!g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING)) {
            on_error();
            return;
        }
    }
    watch(output_source_, G_IO_OUT, &on_socket<&TcpConnection::on_connected>);
}

void TcpConnection::watch(GSource*& source, GIOCondition condition, OnSocket on_ready) {
    if (source != nullptr) return;
    source = g_socket_create_source(socket_.get(), condition, nullptr);
    g_source_set_priority(source, priority_);
    g_source_set_callback(source, G_SOURCE_FUNC(on_ready), this, nullptr);
    g_source_attach(source, nullptr);
}

void TcpConnection::unwatch(GSource*& source) {
    if (source == nullptr) return;
    g_source_destroy(source);
    g_source_unref(source);
    source = nullptr;
}

void TcpConnection::watch_input() {
    if (state_ != State::connected) return;
    if (is_read_buffer_full()) {
        unwatch(input_source_);
    } else {
        watch(input_source_, G_IO_IN, &on_socket<&TcpConnection::receive>);
    }
}

void TcpConnection::on_connected() {
    unwatch(output_source_);
    GError* error = nullptr;
    if (!g_socket_check_connect_result(socket_.get(), &error)) {
        const ErrorRef why(error);
        return on_end();
    }
    state_ = State::connected;
    watch_input();
    flush();
    if (state_ == State::connected) on_event_(Event::connected);
}

void TcpConnection::update_budget() {
    const std::size_t now = input_.size() + output_.size();
    budget_.used += now - budgeted_bytes_;
    budgeted_bytes_ = now;
}

void TcpConnection::write(std::string_view bytes) {
    // Mostly the kernel takes it all, and a large value is not copied once more.
    if (state_ == State::connected && output_.empty()) bytes.remove_prefix(send_some(bytes));
    output_.append(bytes);
    if (state_ == State::connected) return flush();
    update_budget();
}

// How much the kernel takes for now; the stream may be broken after it.
std::size_t TcpConnection::send_some(std::string_view bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        GError* error = nullptr;
        const gssize n =
            g_socket_send(socket_.get(), bytes.data() + sent, bytes.size() - sent, nullptr, &error);
        const ErrorRef why(error);
        if (n < 0) {
            if (!g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) on_error();
            break;
        }
        sent += static_cast<std::size_t>(n);
    }
    return sent;
}

void TcpConnection::flush() {
    output_.erase(0, send_some(output_));
    if (output_.empty() && output_.capacity() > kReadStep) output_.shrink_to_fit();
    update_budget();
    if (state_ != State::connected) return;
    if (!output_.empty()) {
        watch(output_source_, G_IO_OUT, &on_socket<&TcpConnection::flush>);
        return;
    }
    const bool waited = output_source_ != nullptr;  // for room, with something unsent
    unwatch(output_source_);
    if (shutting_down_write_) g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr);
    if (waited) on_event_(Event::drained);
}

void TcpConnection::shutdown_write() {
    shutting_down_write_ = true;
    if (state_ == State::connected) flush();
}

void TcpConnection::receive() {
    // Not in the buffer: hundreds of idle streams would each keep a step's room.
    std::array<char, kReadStep> room;
    GError* error = nullptr;
    const gssize n = g_socket_receive(socket_.get(), room.data(), room.size(), nullptr, &error);
    const ErrorRef why(error);
    if (n < 0 && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) return;
    ended_cleanly_ = n == 0;
    if (n <= 0) return on_end();
    input_.append(room.data(), static_cast<std::size_t>(n));
    update_budget();
    on_event_(Event::readable);
    watch_input();
}

bool TcpConnection::has_unread_input() const {
    return !input().empty() ||
           (state_ == State::connected && g_socket_get_available_bytes(socket_.get()) > 0);
}

bool TcpConnection::is_idle() const {
    constexpr auto any = static_cast<GIOCondition>(G_IO_IN | G_IO_HUP | G_IO_ERR);
    return is_connected() && input().empty() && g_socket_condition_check(socket_.get(), any) == 0;
}

// Asked of the kernel, since GLib's conditions know no end of the peer's sending that is not next to be read.
bool TcpConnection::peer_has_closed() const {
    if (state_ != State::connected) return state_ != State::connecting;
    pollfd one{g_socket_get_fd(socket_.get()), POLLRDHUP, 0};
    return ::poll(&one, 1, 0) > 0 && (one.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void TcpConnection::consume(std::size_t bytes) {
    consumed_ += bytes;
    if (consumed_ == input_.size()) {
        input_.clear();
        if (input_.capacity() > kReadStep)
            input_.shrink_to_fit();  // one large value is not paid for ever after
        consumed_ = 0;
    } else if (consumed_ > kReadStep) {
        input_.erase(0, consumed_);
        consumed_ = 0;
    }
    update_budget();
    watch_input();
}

void TcpConnection::set_read_limit(std::size_t bytes) {
    read_limit_ = bytes;
    if (!input_.empty())
        input_.reserve(consumed_ + bytes);  // growing by halves it would hold up to twice as much
    watch_input();
}

// The owner may be in the middle of a call to this stream, so it hears of the end from the loop.
void TcpConnection::on_error() {
    unwatch(input_source_);
    unwatch(output_source_);
    state_ = State::broken;
    input_source_ = g_timeout_source_new(0);
    const auto later = [](gpointer self) -> gboolean {
        static_cast<TcpConnection*>(self)->on_end();
        return G_SOURCE_REMOVE;
    };
    g_source_set_callback(input_source_, later, this, nullptr);
    g_source_attach(input_source_, nullptr);
}

void TcpConnection::on_end() {
    unwatch(input_source_);
    unwatch(output_source_);
    state_ = State::broken;
    on_event_(Event::closed);
}

bool TcpConnection::has_unacknowledged_output() const {
    int bytes = 0;
    return socket_ != nullptr && ioctl(g_socket_get_fd(socket_.get()), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

// After an ordinary close the system goes on trying to deliver, for minutes: a command would arrive at the
// end of a cut, long after it was given up and sent elsewhere.
void TcpConnection::abort() {
    const linger at_once{1, 0};
    if (socket_ != nullptr)
        setsockopt(g_socket_get_fd(socket_.get()), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close();
}

void TcpConnection::close() {
    unwatch(input_source_);
    unwatch(output_source_);
    if (socket_ != nullptr) g_socket_close(socket_.get(), nullptr);
    socket_.reset();
    state_ = State::closed;
    input_.clear();
    output_.clear();
    consumed_ = 0;
    update_budget();
}

}  // namespace brookrelay
