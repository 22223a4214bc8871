#include "io/tcp_connection.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "io/socket_address.h"
#include "io/timer_queue.h"

namespace brookrelay {
namespace {

constexpr std::size_t kReadChunkBytes = std::size_t{64} * 1024;
// Once reading resumes after a pause, the peer's kernel delivers what it holds within this time.
constexpr double kPeerFlushSeconds = 0.05;
// Limits the bytes that the kernels on both sides hold for one connection.
constexpr std::size_t kMaxKernelBufferBytes = std::size_t{8} * 1024 * 1024;
// A buffer that becomes empty releases its memory if its capacity exceeds this.
constexpr std::size_t kMaxKeptBufferBytes = 4096;
// Shorter values are copied out of the input buffer.
constexpr std::size_t kMinMovedBytes = std::size_t{128} * 1024;

void configure_socket(GSocket* socket) {
    g_socket_set_blocking(socket, FALSE);
    // A small message must not wait for the acknowledgement of the previous one.
    g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
}

// Returns how long ago the socket last received data, or 0 if the system does not report it.
double seconds_since_last_data(GSocket* socket) {
    tcp_info info{};
    socklen_t size = sizeof info;
    constexpr double kMillisecondsPerSecond = 1e3;
    if (getsockopt(g_socket_get_fd(socket), IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || size < sizeof info)
        return 0;
    return info.tcpi_last_data_recv / kMillisecondsPerSecond;
}

// The pages of a buffer of this size are occupied only once they are written to.
constexpr std::size_t kLargeBufferBytes = std::size_t{128} * 1024;
// The part of a large buffer that is added to the read limit, so that what is consumed is seldom moved out.
constexpr std::size_t kSpareDivisor = 4;

// Counts what the buffers occupy.
std::size_t occupied_bytes(const std::string& buffer) {
    const bool is_inside_object = buffer.capacity() <= std::string().capacity();
    if (is_inside_object) return 0;
    return buffer.capacity() >= kLargeBufferBytes ? buffer.size() : buffer.capacity();
}

}  // namespace

TcpConnection::TcpConnection(SocketRef accepted, std::size_t read_limit, ByteBudget& budget,
                             EventHandler on_event, int priority)
    : socket_(std::move(accepted)),
      state_(State::connected),
      read_limit_(read_limit),
      budget_(budget),
      on_event_(std::move(on_event)),
      is_accepted_unread_(true),
      priority_(priority) {
    configure_socket(socket_.get());
    watch_input();
}

TcpConnection::TcpConnection(const std::string& text, std::size_t read_limit, ByteBudget& budget,
                             EventHandler on_event, int priority)
    : read_limit_(read_limit), budget_(budget), on_event_(std::move(on_event)), priority_(priority) {
    const SocketAddressRef address = parse_socket_address(text);
    if (address != nullptr) socket_ = create_socket(address.get());
    if (socket_ == nullptr) {
        on_error();
        return;
    }
    configure_socket(socket_.get());
    GError* error = nullptr;
    if (!g_socket_connect(socket_.get(), address.get(), nullptr, &error)) {
        const ErrorRef error_owner(error);
        if (!g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING)) {
            on_error();
            return;
        }
    }
    watch(output_source_, G_IO_OUT, &on_socket<&TcpConnection::on_connected>);
}

void TcpConnection::watch(GSourceRef& source, GIOCondition condition, OnSocket on_ready) {
    if (source != nullptr) return;
    source.reset(g_socket_create_source(socket_.get(), condition, nullptr));
    g_source_set_priority(source.get(), priority_);
    g_source_set_callback(source.get(), G_SOURCE_FUNC(on_ready), this, nullptr);
    g_source_attach(source.get(), nullptr);
}

void TcpConnection::watch_input() {
    if (state_ != State::connected) return;
    if (is_read_buffer_full()) {
        if (input_source_ != nullptr) on_reading_paused(monotonic_now());
        input_source_.reset();
    } else {
        if (input_source_ == nullptr && reading_paused_at_ > 0) on_reading_resumed(monotonic_now());
        watch(input_source_, G_IO_IN, &on_socket<&TcpConnection::receive>);
    }
}

void TcpConnection::on_reading_paused(double now) {
    if (reading_paused_at_ == 0) reading_paused_at_ = held_input_.started_at = now;
    close_visibility_.on_paused(now);
}

void TcpConnection::on_reading_resumed(double now) {
    held_input_.resumed_at = now;
    close_visibility_.on_resumed(now);
}

void TcpConnection::on_connected() {
    output_source_.reset();
    GError* error = nullptr;
    if (!g_socket_check_connect_result(socket_.get(), &error)) {
        const ErrorRef error_owner(error);
        return on_end();
    }
    state_ = State::connected;
    watch_input();
    flush();
    if (state_ == State::connected) on_event_(Event::connected);
}

void TcpConnection::update_budget() {
    std::size_t buffered = occupied_bytes(input_);
    for (const OutputSegment& segment : output_) buffered += occupied_bytes(segment.own);
    budget_.used += buffered - budgeted_bytes_;
    budgeted_bytes_ = buffered;
}

void TcpConnection::write(std::string_view bytes) {
    // The kernel usually accepts everything, which avoids copying a large value to the buffer.
    if (state_ == State::connected && output_.empty()) bytes.remove_prefix(send_some(bytes));
    append_output(bytes);
    if (state_ == State::connected) return flush();
    update_budget();
}

void TcpConnection::append_output(std::string_view bytes) {
    if (bytes.empty()) return;
    if (output_.empty() || !output_.back().shared.empty()) output_.emplace_back();
    output_.back().own.append(bytes);
    unwritten_bytes_ += bytes.size();
}

void TcpConnection::write(const SharedBytes& bytes) {
    if (bytes.empty()) return;
    output_.push_back({{}, bytes});
    unwritten_bytes_ += bytes.size();
    if (state_ == State::connected) return flush();
    update_budget();
}

// Returns how many bytes the kernel accepted. The connection may be broken afterwards.
std::size_t TcpConnection::send_some(std::string_view bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        GError* error = nullptr;
        const gssize count =
            g_socket_send(socket_.get(), bytes.data() + sent, bytes.size() - sent, nullptr, &error);
        const ErrorRef error_owner(error);
        if (count < 0) {
            if (!g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) on_error();
            break;
        }
        sent += static_cast<std::size_t>(count);
    }
    return sent;
}

void TcpConnection::flush() {
    while (!output_.empty()) {
        const std::string_view rest = output_.front().view().substr(written_of_front_);
        const std::size_t sent = send_some(rest);
        written_of_front_ += sent;
        unwritten_bytes_ -= sent;
        if (sent < rest.size()) break;
        output_.erase(output_.begin());
        written_of_front_ = 0;
    }
    compact_output();
    update_budget();
    if (state_ != State::connected) return;
    if (!output_.empty()) {
        watch(output_source_, G_IO_OUT, &on_socket<&TcpConnection::flush>);
        return;
    }
    const bool had_unwritten_output = output_source_ != nullptr;
    output_source_.reset();
    if (is_shutting_down_write_) g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr);
    if (had_unwritten_output) on_event_(Event::drained);
}

// Frees the written part of the first segment once it is the larger part, so that the rest is moved seldom.
void TcpConnection::compact_output() {
    if (output_.empty() || !output_.front().shared.empty()) return;
    std::string& own = output_.front().own;
    if (written_of_front_ <= own.size() / 2) return;
    own.erase(0, std::exchange(written_of_front_, 0));
    if (own.capacity() > kMaxKeptBufferBytes) own.shrink_to_fit();
}

void TcpConnection::shutdown_write() {
    is_shutting_down_write_ = true;
    if (state_ == State::connected) flush();
}

void TcpConnection::receive() {
    for (std::size_t chunk = 0; chunk < chunks_per_iteration_; ++chunk) {
        if (!receive_chunk() || input_source_ == nullptr) return;
    }
}

// Returns whether a whole chunk was received, in which case more input may be available.
bool TcpConnection::receive_chunk() {
    if (budget_.queued > budget_.queued_limit || is_read_buffer_full()) return false;
    // Reads into a buffer on the stack, because otherwise hundreds of idle connections would each keep a
    // chunk of memory.
    std::array<char, kReadChunkBytes> buffer;
    const std::size_t wanted = std::min(buffer.size(), read_limit_ - (input_.size() - consumed_));
    GError* error = nullptr;
    const gssize count = g_socket_receive(socket_.get(), buffer.data(), wanted, nullptr, &error);
    const ErrorRef error_owner(error);
    if (count < 0 && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) return false;
    ended_cleanly_ = count == 0;
    if (count <= 0) {
        on_end();
        return false;
    }
    const auto bytes = static_cast<std::size_t>(count);
    const bool may_have_more = bytes == wanted;
    received_at_ = arrival_time_of_input(bytes, may_have_more);
    close_visibility_.on_received(monotonic_now(), may_have_more);
    make_space(bytes);
    input_.append(buffer.data(), bytes);
    update_budget();
    on_event_(Event::readable);
    watch_input();
    return may_have_more;
}

// Makes space for `bytes` more input: first what is consumed is given up, then the buffer grows by doubling,
// but not beyond the read limit.
void TcpConnection::make_space(std::size_t bytes) {
    if (input_.size() + bytes <= input_.capacity()) return;
    input_.erase(0, std::exchange(consumed_, 0));
    const std::size_t needed = input_.size() + bytes;
    if (needed <= input_.capacity()) return;
    std::string larger;
    const std::size_t spare = read_limit_ > kLargeBufferBytes ? read_limit_ / kSpareDivisor : 0;
    larger.reserve(std::max(needed, std::min(2 * needed, read_limit_ + spare)));
    larger.append(input_);
    input_ = std::move(larger);
}

// Returns when the chunk of `bytes` just received arrived. Input that may have waited while reading was
// paused is dated from the start of the pause. The first input of an accepted connection may have waited in
// the backlog and is dated by the kernel's time of the last data.
double TcpConnection::arrival_time_of_input(std::size_t bytes, bool may_have_more) {
    const double now = monotonic_now();
    if (reading_paused_at_ > 0) {
        const double arrival = reading_paused_at_;
        update_held_input(bytes, may_have_more, now);
        return arrival;
    }
    return std::exchange(is_accepted_unread_, false) ? now - seconds_since_last_data(socket_.get()) : now;
}

// Input may have waited in the kernel of this host or of the peer until both have been emptied. A peer that
// never lets them become empty cannot have sent a byte before the buffers had space for it.
void TcpConnection::update_held_input(std::size_t bytes, bool may_have_more, double now) {
    held_input_.bytes += bytes;
    if (!may_have_more && now - held_input_.resumed_at >= kPeerFlushSeconds) {
        reading_paused_at_ = 0;
        held_input_ = {};
    } else if (held_input_.bytes >= kMaxKernelBufferBytes) {
        reading_paused_at_ = std::exchange(held_input_.started_at, now);
        held_input_.bytes = 0;
    }
}

bool TcpConnection::has_unread_input() const { return !input().empty() || has_unreceived_input(); }

bool TcpConnection::has_unreceived_input() const {
    return state_ == State::connected && g_socket_get_available_bytes(socket_.get()) > 0;
}

bool TcpConnection::is_idle() const {
    constexpr auto kAnyInput = static_cast<GIOCondition>(G_IO_IN | G_IO_HUP | G_IO_ERR);
    return is_connected() && input().empty() && g_socket_condition_check(socket_.get(), kAnyInput) == 0;
}

// Uses poll(), because GLib's conditions do not report a close that follows unread input.
bool TcpConnection::peer_has_closed() const {
    if (state_ != State::connected) return state_ != State::connecting;
    pollfd poll_entry{g_socket_get_fd(socket_.get()), POLLRDHUP, 0};
    int ready = 0;
    do {
        ready = ::poll(&poll_entry, 1, 0);
    } while (ready < 0 && errno == EINTR);
    return ready > 0 && (poll_entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

double TcpConnection::close_hidden_since() {
    if (state_ != State::connected || close_visibility_.is_visible()) return 0;
    return close_visibility_.hidden_since(monotonic_now(), has_unreceived_input());
}

void TcpConnection::consume(std::size_t bytes) {
    consumed_ += bytes;
    if (consumed_ == input_.size()) {
        input_.clear();
        if (input_.capacity() > kMaxKeptBufferBytes) input_.shrink_to_fit();
        consumed_ = 0;
    } else if (consumed_ > kReadChunkBytes && consumed_ >= input_.size() / 2) {
        input_.erase(0, consumed_);  // moves no more than has been consumed
        consumed_ = 0;
    }
    update_budget();
    watch_input();
}

std::string TcpConnection::take(std::size_t bytes, std::size_t begin, std::size_t length) {
    if (length < kMinMovedBytes || 2 * length < input_.capacity()) {
        std::string copy(input().substr(begin, length));
        consume(bytes);
        return copy;
    }
    std::string taken = std::move(input_);
    const std::size_t removed = std::exchange(consumed_, 0);
    input_ = taken.substr(removed + bytes);
    taken.resize(removed + begin + length);
    taken.erase(0, removed + begin);
    update_budget();
    watch_input();
    return taken;
}

void TcpConnection::set_read_limit(std::size_t bytes) {
    read_limit_ = bytes;
    watch_input();
}

void TcpConnection::reserve_input() {
    if (input_.size() < consumed_ + read_limit_) make_space(read_limit_ - (input_.size() - consumed_));
}

// Breaks the connection. The owner may be inside a call to it, so Event::closed is deferred to the main loop.
void TcpConnection::on_error() {
    input_source_.reset();
    output_source_.reset();
    state_ = State::broken;
    input_source_.reset(g_timeout_source_new(0));
    const auto report = [](gpointer self) -> gboolean {
        static_cast<TcpConnection*>(self)->on_end();
        return G_SOURCE_REMOVE;
    };
    g_source_set_callback(input_source_.get(), report, this, nullptr);
    g_source_attach(input_source_.get(), nullptr);
}

void TcpConnection::on_end() {
    input_source_.reset();
    output_source_.reset();
    state_ = State::broken;
    on_event_(Event::closed);
}

std::size_t TcpConnection::unacknowledged_bytes() const {
    int bytes = 0;
    if (socket_ == nullptr || ioctl(g_socket_get_fd(socket_.get()), SIOCOUTQ, &bytes) != 0) return 0;
    const bool is_write_side_shut_down = is_shutting_down_write_ && output_.empty();
    if (is_write_side_shut_down) --bytes;  // the kernel counts the end of the output as a byte
    return static_cast<std::size_t>(std::max(bytes, 0));
}

// After an ordinary close the kernel retransmits unacknowledged data for minutes. After a network partition a
// request could then arrive long after its attempt timed out and was retried elsewhere.
void TcpConnection::abort() {
    const linger reset_on_close{1, 0};
    if (socket_ != nullptr)
        setsockopt(g_socket_get_fd(socket_.get()), SOL_SOCKET, SO_LINGER, &reset_on_close,
                   sizeof reset_on_close);
    close();
}

void TcpConnection::close() {
    input_source_.reset();
    output_source_.reset();
    if (socket_ != nullptr) g_socket_close(socket_.get(), nullptr);
    socket_.reset();
    state_ = State::closed;
    input_ = {};
    output_ = {};
    consumed_ = unwritten_bytes_ = written_of_front_ = 0;
    update_budget();
}

}  // namespace brookrelay
