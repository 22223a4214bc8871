// Follows one path of a coordination service by its published protocol: a session that moves from address to
// address, the children of the path and what stands in each, watched without a gap. It knows no socket and no
// clock: bytes and times are told, and what it wants sent or closed it says. It decides nothing of what a
// registration means; each whole picture goes to Registrations with the order that the service gave it.
//
// Without a gap: children are listed with a watch and each is read with one, so whatever changes after a
// reading is told; a child that is removed and created again between two listings shows by its own watch.
// All sessions begin anew after a lost connection with a listing, so no watch needs to be set again.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "coordination/service_registrations.h"

namespace brookrelay {

class CoordinationSession {
  public:
    struct Out {
        std::function<void(const std::string& frame)> send;
        std::function<void(const char* why)> hang_up;  // the connection is of no more use
        std::function<void(const std::string& child, const std::string& why)> left_out;
    };
    // What a child's data says; nothing: it makes no sense, and `why` says so.
    using Read = std::function<std::optional<Registration>(const std::string& child, const std::string& data,
                                                           std::string& why)>;

    // `path` without a slash at its end; `timeout` of the session, seconds.
    CoordinationSession(std::string path, double timeout, ServiceRegistrations& registrations, Read read,
                        Out out);

    void up(double now);  // a new connection stands, to any address of the ensemble
    void received(double now, std::string_view payload);
    void broke(double now);  // it is gone, or none came up
    void tick(double now);   // call it at next_at()
    double next_at() const;  // infinity: nothing is due
    bool follows() const { return state_ == State::following; }
    std::int64_t session() const { return session_; }

  private:
    enum class State { down, greeting, following };
    enum class Call { children, data };
    struct Child {
        bool asked = false;  // its data is on the way
        bool again = false;  // and is old news already
        std::optional<Registration> registration;
    };
    struct Asked {
        Call call = Call::children;
        std::string child;
    };

    void greet(double now);
    void list_children();
    void read_child(const std::string& name);
    void call(std::int32_t type, const std::string& path, Asked asked);
    void heard_event(double now, std::string_view payload);
    void heard_children(double now, std::int64_t order, std::string_view payload, std::int32_t error);
    void heard_data(double now, std::int64_t order, const std::string& child, std::string_view payload,
                    std::int32_t error);
    void show(double now, std::int64_t order);
    void give_up(double now, const char* why);

    const std::string path_;
    const double wished_timeout_;
    ServiceRegistrations& registrations_;
    Read read_;
    Out out_;
    State state_ = State::down;
    std::int64_t session_ = 0;
    std::string password_ = std::string(16, '\0');
    double timeout_ = 0;  // as the service granted it
    double heard_at_ = 0, said_at_ = 0;
    std::int64_t seen_ = 0;  // the newest order that was shown by any answer
    std::int32_t xid_ = 0;
    std::map<std::int32_t, Asked> asked_;
    std::map<std::string, Child> children_;
    bool listing_ = false, list_again_ = false, listed_ = false;
};

}  // namespace brookrelay
