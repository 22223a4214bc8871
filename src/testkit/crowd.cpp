#include "testkit/crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <thread>

#include "testkit/connection.h"

namespace brookrelay::testkit {
namespace {

// A failed connection shows in the first step of its client.
int connect_to(int port, int receive_buffer) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0)
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, own_loopback().c_str(), &address.sin_addr);
    (void)connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    return descriptor;
}

}  // namespace

Crowd::Crowd(int port, int clients, CrowdPace pace, const std::function<std::string(int)>& text_of)
    : pace_(pace) {
    for (int number = 0; number < clients; ++number)
        members_.push_back({connect_to(port, pace.receive_buffer), text_of(number), 0});
}

Crowd::~Crowd() {
    for (const Member& member : members_) close(member.descriptor);
}

void Crowd::run(std::chrono::milliseconds time) {
    for (auto elapsed = kStep * 0; elapsed < time; elapsed += kStep) {
        for (Member& member : members_) (void)step(member);
        std::this_thread::sleep_for(kStep);
    }
}

void Crowd::run_at_full_speed(const std::atomic<bool>& stop) {
    bool is_open = true;
    while (!stop && is_open) {
        for (Member& member : members_) is_open = is_open && step(member);
    }
}

bool Crowd::step(Member& member) const {
    if (pace_.repeats && member.written == member.text.size()) member.written = 0;
    const std::size_t bytes = std::min(pace_.written, member.text.size() - member.written);
    if (bytes > 0) {
        const ssize_t sent =
            send(member.descriptor, member.text.data() + member.written, bytes, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0 && errno != EAGAIN) return false;
        member.written += static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
    }
    return read_some(member);
}

bool Crowd::read_some(const Member& member) const {
    if (pace_.read == 0) return true;
    std::string buffer(pace_.read, 0);
    const ssize_t received = recv(member.descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
    return received > 0 || (received < 0 && errno == EAGAIN);
}

}  // namespace brookrelay::testkit
