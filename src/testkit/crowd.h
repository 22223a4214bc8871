// Hundreds of clients on one thread, each of which sends a text at its own pace and reads at its own pace, or
// not at all. For tests of what many clients may occupy of a node together.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace brookrelay::testkit {

// What each client of a crowd does. Sizes are bytes per step; 0: none.
struct CrowdPace {
    std::size_t written = 0;
    std::size_t read = 0;
    int receive_buffer = 0;  // bytes of its kernel buffer; 0: the system's choice
    bool repeats = false;    // sends its text again and again
};

class Crowd {
  public:
    static constexpr std::chrono::milliseconds kStep{10};

    // Connects the clients. `text_of` returns what the client of the given number sends.
    Crowd(int port, int clients, CrowdPace pace, const std::function<std::string(int)>& text_of);
    ~Crowd();
    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;

    // Lets the clients write and read for the given time.
    void run(std::chrono::milliseconds time);
    // Lets the clients write and read without a pause, until `stop` or the node has closed a connection.
    void run_at_full_speed(const std::atomic<bool>& stop);

  private:
    struct Member {
        int descriptor;
        std::string text;
        std::size_t written;
    };
    // Both return whether the connection is still open.
    bool step(Member& member) const;
    bool read_some(const Member& member) const;

    const CrowdPace pace_;
    std::vector<Member> members_;
};

}  // namespace brookrelay::testkit
