// The clients' side: the listener, each client's connection, and its answers in the order of its commands. It
// owns the connections and gives them back in drop(), also those of clients that keep one for nothing. It
// never decides an answer: each command that the node is asked is answered by the node, once; only what is no
// command at all, or no whole one in time, gets its error line here.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "io/log.h"
#include "protocol/memcache_text.h"
#include "io/tcp_connection.h"
#include "io/timer_queue.h"

namespace brookrelay {

class Clients {
  public:
    struct Asker {
        std::uint64_t connection = 0;
        std::uint64_t command = 0;
        bool operator==(const Asker&) const = default;
    };
    static constexpr int kNoInvocation = -1;
    using Asked = std::function<int(Asker, Command&&)>;  // which invocation the command is, if it is one
    using Left = std::function<void(Asker, int inv)>;    // one call for each invocation without its answer
    // For long values: there is room for more of it, or nobody wants the rest any more.
    struct Relayed {
        std::function<void(std::uint64_t relay)> room;
        std::function<void(std::uint64_t relay)> left;
    };

    Clients(Timers& timers, Log& log, std::size_t most, std::size_t bytes, Asked asked, Left left,
            Relayed relayed);
    ~Clients();
    Clients(const Clients&) = delete;
    Clients& operator=(const Clients&) = delete;

    void listen(SocketRef listener);
    void stop_accepting();  // the listener may be another process's too, which goes on
    void answer(const Asker& asker, std::string text);
    // An answer in pieces, which follow while there is room. Not whole at its end, the client is let go,
    // unless nothing of it has been written: then it gets the line instead.
    void begin_long(const Asker& asker, std::string head, std::uint64_t relay);
    std::size_t room(const Asker& asker) const;
    void piece(const Asker& asker, std::string_view bytes);
    void end_long(const Asker& asker, bool whole, std::string_view line);
    // From now on each connection is closed once it has nothing to be answered. `at_once`: those that rest
    // give back their descriptor in the same moment, which another process of this node needs.
    void begin_shutdown(bool at_once);
    // Whether whoever asked has closed its connection; if so it is dropped, though its end may not be read
    // yet.
    bool has_gone(const Asker& asker);
    bool none() const { return live_ == 0; }
    int live() const { return static_cast<int>(live_); }
    void keep_to(double part);            // of its connections and bytes: the rest is another process's
    bool quiet_since(double time) const;  // nothing is owed to anyone, and nobody has asked
    void sweep();

  private:
    struct Pending {
        bool ready = false;
        int inv = kNoInvocation;
        std::string text;
        std::uint64_t relay = 0;   // the rest of it comes in pieces
        bool begun = false;        // and some of it is written
        std::size_t reserved = 0;  // for the value that the command brought
    };
    struct Client {
        std::unique_ptr<Stream> stream;
        std::deque<Pending> pending;
        std::uint64_t first = 0;  // the number of the command in front
        double used = 0;
        std::size_t untaken = 0;  // bytes of answers that it had not taken at the last look that saw a change
        double untaken_since = 0;
        bool last = false;       // nothing more is read from it
        bool finishing = false;  // all is answered, and the client has been told that it was the last
        Timers::Handle linger;
        std::size_t reserved = 0;  // for the long value that is being read
        bool waits = false;        // for such a place
    };

    bool may_hold_another(const Client& c) const;
    static bool between_commands(const Client& c);
    void watch_listener(bool on);
    void accept_ready();
    bool make_room();
    void news(std::uint64_t id, Client& c, Stream::News what);
    void read_commands(std::uint64_t id, Client& c);
    bool may_go_on_reading(Client& c);
    Client* whose(const Asker& asker);
    void say(Pending& p, std::string text);
    void write_answers(Client& c);
    void turn_away(std::uint64_t id, Client& c, const char* line);
    void age();
    void close_longest_idle(double now);
    void age(std::uint64_t id, Client& c, double now);
    void close_if_done(std::uint64_t id, Client& c);
    void close_gracefully(std::uint64_t id, Client& c);
    void linger(std::uint64_t id, Client& c);
    void forget_pending(std::uint64_t id, Client& c);
    void drop(std::uint64_t id, Client& c);

    Timers& timers_;
    Log& log_;
    const std::size_t most_ever_;
    std::size_t most_;
    const std::size_t bytes_ever_;
    ByteBudget budget_;
    Asked asked_;
    Left left_;
    Relayed relayed_;
    std::size_t reserved_most_;
    std::size_t reserved_ = 0;  // bytes of long values that clients write
    SocketRef listener_;
    GSource* accepting_ = nullptr;
    Timers::Handle accept_again_;
    std::map<std::uint64_t, Client> clients_;
    std::vector<std::uint64_t> dropped_;
    std::size_t live_ = 0;
    std::size_t held_ = 0;  // commands without their answer written
    std::uint64_t last_id_ = 0;
    double last_command_ = 0;
    bool shutting_down_ = false;
    bool at_once_ = false;
};

}  // namespace brookrelay
