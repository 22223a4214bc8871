// The connections to the caches and to the origin, and the forwards that are out on them. It owns each
// connection and its time limits and gives both back in drop(). A connection carries one forward at a time:
// giving one up closes it, and behind a slow answer a quick one would wait. It chooses no server, sends
// nothing twice, and tells of an end only from the loop or through the node's inbox.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "protocol/attempt_response.h"
#include "io/log.h"
#include "protocol/memcache_text.h"
#include "io/tcp_connection.h"
#include "io/timer_queue.h"

namespace brookrelay {

class Pool {
  public:
    struct Ended {
        int inv;
        int forward;
        int cache;
        Ending ending;
        double took;
        std::string body;
        // A long value follows in pieces, `length` bytes of it, to whom this number stands for; 0: all is
        // told.
        std::uint64_t relay = 0;
        std::size_t length = 0;
    };
    // Who takes the pieces of long values: how many bytes it has room for, some of them, and their end. Where
    // there is no room it pulls once there is.
    struct Taker {
        std::function<std::size_t(std::uint64_t relay)> room;
        std::function<void(std::uint64_t relay, std::string_view piece)> piece;
        std::function<void(std::uint64_t relay, bool whole)> end;
    };
    using Tell = std::function<void(Ended&&)>;
    // A forward's connection has come up, and nothing of it is sent: it waits for begin() or decline().
    using Up = std::function<void(int inv, int forward)>;
    // How many connections to a server may be open, of which so many would be at work.
    using Places = std::function<int(int cache, int wanted)>;
    static constexpr int kProbe = -1;  // in the place of an invocation

    Pool(Timers& timers, Log& log, const Deployment& deployment, std::size_t most, std::size_t bytes,
         Tell tell, Up up, Taker taker);

    void settle_in(const Deployment& deployment);  // for connections from now on
    // Without: only the budget says. What is open beyond it is closed by keep_places(), or as it falls idle.
    void limit_places(Places places) { places_ = std::move(places); }
    void keep_places();
    void know(int cache, const std::string& name, const std::string& address, bool origin);
    bool in_use(int cache) const;  // something of it is still open
    void forget(int cache);        // only what is not in use: its number may then stand for another server
    // `begin_within`: s in which its last byte has to be handed on, or it is not sent; 0: its limit alone
    // counts.
    void forward(int inv, int forward, int cache, const Command& command, double limit, double begin_within);
    void probe(int cache, double limit);
    void begin(int inv, int forward);
    void decline(int inv, int forward);  // nobody wants it any more: it is not sent, and its connection rests
    void cancel(int inv, int forward);
    void pull(std::uint64_t relay);
    void give_up(std::uint64_t relay);  // nobody wants the rest
    void release(int cache);            // closes the idle ones
    void withdraw(int cache);           // and those that have not begun to carry what they were opened for
    int live() const { return static_cast<int>(live_); }
    double connect_timeout() const { return connect_timeout_; }
    void keep_to(double part);  // of its connections and bytes: the rest is another process's
    void sweep();               // takes away what was closed in this turn

  private:
    struct Connection {
        int cache = 0;
        std::unique_ptr<Stream> stream;
        bool busy = false;
        bool read = false;  // what is out is a read: only a value answers it
        int inv = 0;
        int forward = 0;
        std::string id;
        std::string unsent;  // the forward's bytes, until its connection is up and it is still wanted then
        double sent = 0;
        double due = 0;  // when it is given up
        double used = 0;
        Timers::Handle limit;
        Timers::Handle connect;
        Timers::Handle begin_by;
        Timers::Handle rest_by;
        std::uint64_t relay = 0;  // its long value is being passed on
        LongValue rest;           // what of it has not been
        bool passing = false;     // a piece, whose taker may pull from inside
    };
    struct Server {
        std::string name, address;
        bool origin = false;
        std::vector<Connection*> idle;  // the last used at the end
        int open = 0;                   // idle ones among them
    };

    Server& server(int cache) { return servers_[static_cast<std::size_t>(cache)]; }
    Topic topic(int cache) const;
    static std::uint64_t mark(int inv, int forward);
    Connection* connection_to(int cache);
    Connection* open(int cache);
    bool has_place(int cache);
    bool make_room();
    void start(Connection& c, int inv, int forward, double limit, double begin_within, std::string bytes);
    void move_on(Connection& c);
    void send_off(Connection& c);
    void news(Connection& c, Stream::News news);
    void read_answer(Connection& c, bool ended = false);  // `ended`: by an orderly end behind what has come
    bool begin_relay(Connection& c);
    void pass_on(Connection& c);
    void watch_standstill(Connection& c);
    void end_relay(Connection& c, bool whole);
    void rest_or_drop(Connection& c, bool reusable);
    static bool sent_whole(const Connection& c) { return c.unsent.empty() && c.stream->unwritten() == 0; }
    std::size_t parse(const Connection& c, Answer& answer, bool ended);
    void broken(Connection& c, Ending if_written);
    void end(Connection& c, Ending ending, std::string body = {});
    void drop(Connection& c);
    void age();

    Timers& timers_;
    Log& log_;
    double connect_timeout_ = 0;
    double idle_most_ = 0;
    const std::size_t most_ever_;
    std::size_t most_;
    const std::size_t bytes_ever_;
    ByteBudget budget_;
    Tell tell_;
    Up up_;
    Taker taker_;
    Places places_;
    std::uint64_t last_relay_ = 0;
    std::unordered_map<std::uint64_t, Connection*> relays_;
    std::vector<Server> servers_;
    std::list<Connection> connections_;
    std::size_t live_ = 0;
    bool dropped_ = false;
    int probes_ = 0;
    std::unordered_map<std::uint64_t, Connection*> out_;
};

}  // namespace brookrelay
