#include "coordination/coordination_session.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>
#include <vector>

#include "coordination/jute.h"

namespace brookrelay {
namespace {

// The protocol's numbers.
constexpr std::int32_t kGetData = 4, kPing = 11, kGetChildren2 = 12;
constexpr std::int32_t kEventXid = -1, kPingXid = -2;
constexpr std::int32_t kNoNode = -101;
constexpr std::int32_t kRemoved = 2, kChanged = 3, kChildren = 4;

constexpr double kPingPart = 1.0 / 3.0;  // of the time-out: so often something is said
constexpr double kSilentPart =
    2.0 / 3.0;  // of it: a service that says nothing for so long is left for another
constexpr std::size_t kChildrenMost = 20000;

}  // namespace

CoordinationSession::CoordinationSession(std::string path, double timeout,
                                         ServiceRegistrations& registrations, Read read, Out out)
    : path_(std::move(path)),
      wished_timeout_(timeout),
      registrations_(registrations),
      read_(std::move(read)),
      out_(std::move(out)),
      timeout_(timeout) {}

void CoordinationSession::up(double now) {
    state_ = State::greeting;
    asked_.clear();
    listing_ = list_again_ = listed_ = false;
    heard_at_ = now;
    greet(now);
}

void CoordinationSession::greet(double now) {
    JuteWriter out;
    out.number(0).long_number(seen_).number(static_cast<std::int32_t>(wished_timeout_ * 1e3));
    out.long_number(session_).text(password_).flag(false);
    said_at_ = now;
    out_.send(out.frame());
}

void CoordinationSession::broke(double now) {
    if (state_ == State::down) return;
    state_ = State::down;
    asked_.clear();
    registrations_.lost(now);
}

void CoordinationSession::give_up(double now, const char* why) {
    broke(now);
    out_.hang_up(why);
}

void CoordinationSession::received(double now, std::string_view payload) {
    heard_at_ = now;
    JuteReader in(payload);
    if (state_ == State::greeting) {
        (void)in.number();
        const std::int32_t timeout = in.number();
        const std::int64_t session = in.long_number();
        const std::string password = in.text();
        if (!in.sound()) return give_up(now, "nonsense in the place of a greeting");
        if (timeout <= 0 || session == 0) {
            // Expired. A new session sees whatever is there: nothing of ours hung on the old one.
            session_ = 0;
            password_.assign(16, '\0');
            return give_up(now, "the session had expired");
        }
        session_ = session;
        password_ = password;
        timeout_ = timeout / 1e3;
        state_ = State::following;
        return list_children();
    }
    if (state_ != State::following) return;
    const std::int32_t xid = in.number();
    const std::int64_t order = in.long_number();
    const std::int32_t error = in.number();
    if (!in.sound()) return give_up(now, "an answer that is not whole");
    if (xid == kEventXid) return heard_event(now, payload.substr(16));
    seen_ = std::max(seen_, order);
    if (xid == kPingXid) return;
    const auto found = asked_.find(xid);
    if (found == asked_.end()) return give_up(now, "an answer to nothing that was asked");
    const Asked asked = std::move(found->second);
    asked_.erase(found);
    if (asked.call == Call::children) return heard_children(now, order, payload.substr(16), error);
    heard_data(now, order, asked.child, payload.substr(16), error);
}

void CoordinationSession::call(std::int32_t type, const std::string& path, Asked asked) {
    JuteWriter out;
    out.number(++xid_).number(type).text(path).flag(true);
    asked_.emplace(xid_, std::move(asked));
    out_.send(out.frame());
}

void CoordinationSession::list_children() {
    if (listing_) {
        list_again_ = true;
        return;
    }
    listing_ = true;
    call(kGetChildren2, path_, {Call::children, ""});
}

void CoordinationSession::read_child(const std::string& name) {
    Child& c = children_[name];
    if (c.asked) {
        c.again = true;
        return;
    }
    c.asked = true;
    c.again = false;
    call(kGetData, path_ + "/" + name, {Call::data, name});
}

void CoordinationSession::heard_event(double now, std::string_view payload) {
    JuteReader in(payload);
    const std::int32_t kind = in.number();
    (void)in.number();
    const std::string path = in.text();
    if (!in.sound()) return give_up(now, "an event that is not whole");
    if (path == path_) {
        if (kind == kChildren || kind == kRemoved) list_children();
        return;
    }
    if (!path.starts_with(path_ + "/")) return;
    const std::string name = path.substr(path_.size() + 1);
    const auto found = children_.find(name);
    if (found == children_.end()) return;
    if (kind == kChanged) return read_child(name);
    if (kind != kRemoved) return;
    // Gone at once: the listing that follows may take long, and may show another under the same name.
    found->second.registration.reset();
    if (found->second.asked) found->second.again = true;
    show(now, seen_);
    list_children();
}

void CoordinationSession::heard_children(double now, std::int64_t order, std::string_view payload,
                                         std::int32_t error) {
    listing_ = false;
    if (error != 0 && error != kNoNode) return give_up(now, "the path may not be listed");
    std::vector<std::string> names;
    if (error == 0) {
        JuteReader in(payload);
        names = in.texts();
        if (!in.sound() || names.size() > kChildrenMost)
            return give_up(now, "a listing that is not whole, or too long");
    }
    const std::set<std::string> named(names.begin(), names.end());
    std::erase_if(children_, [&](const auto& one) { return !named.contains(one.first); });
    // After a new connection all watches are gone, so each child is read again; else only those not known
    // yet.
    for (const std::string& name : named) {
        if (!listed_ || !children_[name].registration) {
            if (!listed_) children_[name].asked = false;
            read_child(name);
        }
    }
    const bool first = !listed_;
    listed_ = true;
    // The first listing is shown once its children have been read: until then it is no picture of the whole.
    if (!first || named.empty()) show(now, order);
    if (std::exchange(list_again_, false)) list_children();
}

void CoordinationSession::heard_data(double now, std::int64_t order, const std::string& name,
                                     std::string_view payload, std::int32_t error) {
    const auto found = children_.find(name);
    if (found == children_.end()) return;
    Child& c = found->second;
    c.asked = false;
    if (c.again) return read_child(name);
    if (error != 0) {
        // It went between the listing and this; another listing follows its own event, or is due now.
        children_.erase(found);
        list_children();
    } else {
        JuteReader in(payload);
        const std::string data = in.text();
        const std::int64_t created = in.long_number();
        if (!in.sound()) return give_up(now, "data that is not whole");
        std::string why;
        c.registration = read_(name, data, why);
        if (c.registration) {
            c.registration->name = name;
            c.registration->created = created;
        } else {
            out_.left_out(name, why);
            c.registration.reset();
        }
    }
    const bool all_read =
        std::none_of(children_.begin(), children_.end(), [](const auto& one) { return one.second.asked; });
    if (all_read) show(now, order);
}

void CoordinationSession::show(double now, std::int64_t order) {
    std::vector<Registration> all;
    for (const auto& [name, c] : children_) {
        if (c.registration) all.push_back(*c.registration);
    }
    (void)registrations_.view(now, std::max(order, seen_), all);
}

void CoordinationSession::tick(double now) {
    if (state_ == State::down) return;
    // As next_at() has them: a difference would round to just before, and be asked for again at once.
    if (now >= heard_at_ + kSilentPart * timeout_) return give_up(now, "it says nothing");
    if (state_ == State::following && now >= said_at_ + kPingPart * timeout_) {
        JuteWriter out;
        out.number(kPingXid).number(kPing);
        said_at_ = now;
        out_.send(out.frame());
    }
}

double CoordinationSession::next_at() const {
    if (state_ == State::down) return std::numeric_limits<double>::infinity();
    const double silent = heard_at_ + kSilentPart * timeout_;
    return state_ == State::following ? std::min(silent, said_at_ + kPingPart * timeout_) : silent;
}

}  // namespace brookrelay
