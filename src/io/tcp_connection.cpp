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
using AddressRef = std::unique_ptr<GSocketAddress, Unref>;
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

SocketRef inherited_listener(int descriptor, std::string& complaint) {
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

Stream::Stream(SocketRef accepted, std::size_t in_most, ByteBudget& budget, Told told, int priority)
    : socket_(std::move(accepted)),
      state_(State::up),
      in_most_(in_most),
      budget_(budget),
      told_(std::move(told)),
      priority_(priority) {
    prepare(socket_.get());
    watch_input();
}

Stream::Stream(const std::string& text, std::size_t in_most, ByteBudget& budget, Told told)
    : in_most_(in_most), budget_(budget), told_(std::move(told)) {
    const AddressRef address = socket_address(text);
    if (address != nullptr) socket_ = new_socket(address.get());
    if (socket_ == nullptr) {
        broke();
        return;
    }
    prepare(socket_.get());
    GError* error = nullptr;
    if (!g_socket_connect(socket_.get(), address.get(), nullptr, &error)) {
        const ErrorRef why(error);
        if (!g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING)) {
            broke();
            return;
        }
    }
    watch(out_source_, G_IO_OUT, &on_socket<&Stream::came_up>);
}

void Stream::watch(GSource*& source, GIOCondition condition, OnSocket on_ready) {
    if (source != nullptr) return;
    source = g_socket_create_source(socket_.get(), condition, nullptr);
    g_source_set_priority(source, priority_);
    g_source_set_callback(source, G_SOURCE_FUNC(on_ready), this, nullptr);
    g_source_attach(source, nullptr);
}

void Stream::unwatch(GSource*& source) {
    if (source == nullptr) return;
    g_source_destroy(source);
    g_source_unref(source);
    source = nullptr;
}

void Stream::watch_input() {
    if (state_ != State::up) return;
    if (full()) {
        unwatch(in_source_);
    } else {
        watch(in_source_, G_IO_IN, &on_socket<&Stream::receive>);
    }
}

void Stream::came_up() {
    unwatch(out_source_);
    GError* error = nullptr;
    if (!g_socket_check_connect_result(socket_.get(), &error)) {
        const ErrorRef why(error);
        return ended();
    }
    state_ = State::up;
    watch_input();
    flush();
    if (state_ == State::up) told_(News::up);
}

void Stream::count() {
    const std::size_t now = in_.size() + out_.size();
    budget_.used += now - counted_;
    counted_ = now;
}

void Stream::write(std::string_view bytes) {
    // Mostly the kernel takes it all, and a large value is not copied once more.
    if (state_ == State::up && out_.empty()) bytes.remove_prefix(send_some(bytes));
    out_.append(bytes);
    if (state_ == State::up) return flush();
    count();
}

// How much the kernel takes for now; the stream may be broken after it.
std::size_t Stream::send_some(std::string_view bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        GError* error = nullptr;
        const gssize n =
            g_socket_send(socket_.get(), bytes.data() + sent, bytes.size() - sent, nullptr, &error);
        const ErrorRef why(error);
        if (n < 0) {
            if (!g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) broke();
            break;
        }
        sent += static_cast<std::size_t>(n);
    }
    return sent;
}

void Stream::flush() {
    out_.erase(0, send_some(out_));
    if (out_.empty() && out_.capacity() > kReadStep) out_.shrink_to_fit();
    count();
    if (state_ != State::up) return;
    if (!out_.empty()) {
        watch(out_source_, G_IO_OUT, &on_socket<&Stream::flush>);
        return;
    }
    const bool waited = out_source_ != nullptr;  // for room, with something unsent
    unwatch(out_source_);
    if (finishing_) g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr);
    if (waited) told_(News::drained);
}

void Stream::finish() {
    finishing_ = true;
    if (state_ == State::up) flush();
}

void Stream::receive() {
    // Not in the buffer: hundreds of idle streams would each keep a step's room.
    std::array<char, kReadStep> room;
    GError* error = nullptr;
    const gssize n = g_socket_receive(socket_.get(), room.data(), room.size(), nullptr, &error);
    const ErrorRef why(error);
    if (n < 0 && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) return;
    ended_in_order_ = n == 0;
    if (n <= 0) return ended();
    in_.append(room.data(), static_cast<std::size_t>(n));
    count();
    told_(News::input);
    watch_input();
}

bool Stream::has_unread() const {
    return !input().empty() || (state_ == State::up && g_socket_get_available_bytes(socket_.get()) > 0);
}

bool Stream::rests() const {
    constexpr auto any = static_cast<GIOCondition>(G_IO_IN | G_IO_HUP | G_IO_ERR);
    return up() && input().empty() && g_socket_condition_check(socket_.get(), any) == 0;
}

// Asked of the kernel, since GLib's conditions know no end of the peer's sending that is not next to be read.
bool Stream::peer_gone() const {
    if (state_ != State::up) return state_ != State::connecting;
    pollfd one{g_socket_get_fd(socket_.get()), POLLRDHUP, 0};
    return ::poll(&one, 1, 0) > 0 && (one.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Stream::take(std::size_t bytes) {
    taken_ += bytes;
    if (taken_ == in_.size()) {
        in_.clear();
        if (in_.capacity() > kReadStep) in_.shrink_to_fit();  // one large value is not paid for ever after
        taken_ = 0;
    } else if (taken_ > kReadStep) {
        in_.erase(0, taken_);
        taken_ = 0;
    }
    count();
    watch_input();
}

void Stream::hold_at_most(std::size_t bytes) {
    in_most_ = bytes;
    if (!in_.empty()) in_.reserve(taken_ + bytes);  // growing by halves it would hold up to twice as much
    watch_input();
}

// The owner may be in the middle of a call to this stream, so it hears of the end from the loop.
void Stream::broke() {
    unwatch(in_source_);
    unwatch(out_source_);
    state_ = State::broken;
    in_source_ = g_timeout_source_new(0);
    const auto later = [](gpointer self) -> gboolean {
        static_cast<Stream*>(self)->ended();
        return G_SOURCE_REMOVE;
    };
    g_source_set_callback(in_source_, later, this, nullptr);
    g_source_attach(in_source_, nullptr);
}

void Stream::ended() {
    unwatch(in_source_);
    unwatch(out_source_);
    state_ = State::broken;
    told_(News::ended);
}

bool Stream::unacknowledged() const {
    int bytes = 0;
    return socket_ != nullptr && ioctl(g_socket_get_fd(socket_.get()), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

// After an ordinary close the system goes on trying to deliver, for minutes: a command would arrive at the
// end of a cut, long after it was given up and sent elsewhere.
void Stream::abort() {
    const linger at_once{1, 0};
    if (socket_ != nullptr)
        setsockopt(g_socket_get_fd(socket_.get()), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close();
}

void Stream::close() {
    unwatch(in_source_);
    unwatch(out_source_);
    if (socket_ != nullptr) g_socket_close(socket_.get(), nullptr);
    socket_.reset();
    state_ = State::closed;
    in_.clear();
    out_.clear();
    taken_ = 0;
    count();
}

}  // namespace brookrelay
