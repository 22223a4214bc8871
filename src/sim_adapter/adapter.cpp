// Connects the balancer to the simulator's protocol (garnet-ffb5), with one Balancer for each instance. Each
// input line is a JSON batch of events, which are decoded into calls of the balancer. The balancer's actions
// are encoded as commands in the one output line of the batch. Request ids and server names of the protocol
// are mapped to small indices and back.
#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <iostream>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "balancer/balancer.h"
#include "config/deployment.h"
#include "config/json.h"

namespace brookrelay {
namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;
using Pool = rapidjson::MemoryPoolAllocator<>;
using Document = rapidjson::GenericDocument<rapidjson::UTF8<>, Pool, Pool>;
using rapidjson::Value;

constexpr std::array<std::pair<std::string_view, AttemptOutcome>, 9> kEndings{
    {{"done", AttemptOutcome::succeeded},
     {"enoent", AttemptOutcome::miss},
     {"err", AttemptOutcome::failed},
     {"busy", AttemptOutcome::busy},
     {"etimedout", AttemptOutcome::timed_out},
     {"econnrefused", AttemptOutcome::refused},
     {"econnreset", AttemptOutcome::reset},
     {"ecanceled", AttemptOutcome::cancelled},
     {"skipped", AttemptOutcome::not_sent}}};

class Instance final : public Host {
  public:
    Instance(std::int64_t number, Writer& out) : number_(number), out_(out) {}

    void start(const Deployment& deployment, std::uint64_t seed) {
        operations_ = static_cast<int>(deployment.operations.size());
        slots_.clear();
        free_.clear();
        by_id_.clear();
        caches_.clear();
        names_.clear();
        balancer_ = make_balancer(deployment, seed, *this);
    }
    void stop() { balancer_.reset(); }
    bool running() const { return balancer_ != nullptr; }

    void list(double now, const Value& e) {
        const std::string_view mode = text(need(e, "mode"), "mode");
        if (mode == "error") {
            balancer_->on_poll_failed(now);
            return;
        }
        UpdateKind kind = UpdateKind::delta;
        if (mode == "snapshot")
            kind = UpdateKind::full;
        else if (mode == "disk")
            kind = UpdateKind::cached_on_disk;
        else if (mode != "diff")
            throw ConfigurationError("field 'mode' has the unknown value '" + std::string(mode) + "'");
        std::vector<Endpoint> entries;
        if (const Value* array = find(e, "entries")) {
            if (!array->IsArray()) throw ConfigurationError("field 'entries' is not a list");
            for (const Value& entry : array->GetArray()) {
                if (!entry.IsObject()) throw ConfigurationError("an entry of 'entries' is not an object");
                Endpoint l;
                l.name = text(need(entry, "server"), "server");
                l.server = cache_index(l.name);
                l.zone = small(entry, "locality", 0);
                l.kind = small(entry, "machine", 0);
                l.cell = small(entry, "group", 0);
                l.weight = number(entry, "scale", 0);
                l.state = parse_endpoint_state(need(entry, "mode"), "mode");
                l.started_at = seconds(entry, "since_us");
                entries.push_back(l);
            }
        }
        balancer_->on_endpoints(now, kind, entries);
    }

    void arrive(double now, const Value& e) {
        Request a;
        const std::int64_t id = whole(need(e, "corr"), "corr");
        a.operation = small(e, "cls", -1);
        if (a.operation < 0) throw ConfigurationError("missing field 'cls'");
        if (a.operation >= operations_) throw ConfigurationError("field 'cls' names no operation");
        a.time_remaining = number(need(e, "remaining_us"), "remaining_us") / 1e6;
        const int options = small(e, "options", 0);
        a.is_write = (options & 4) != 0;
        a.is_client_retry = (options & 2) != 0;
        a.tenant = small(e, "org", 0);
        if (const Value* key = find(e, "key")) {
            a.has_key = true;
            a.key = static_cast<std::uint64_t>(whole(*key, "key"));
        }
        if (by_id_.contains(id))
            throw ConfigurationError("field 'corr' names a request that is already known");
        if (free_.empty()) {
            free_.push_back(static_cast<int>(slots_.size()));
            slots_.emplace_back();
        }
        a.id = free_.back();
        free_.pop_back();
        slots_[static_cast<std::size_t>(a.id)] = {id, 0, false};
        by_id_.emplace(id, a.id);
        balancer_->on_request(now, a);
        settle_ended();
    }

    void end(double now, const Value& e) {
        const int inv = invocation_index(e);
        const int forward = small(need_with(e, "copy"), "copy", 0);
        const AttemptOutcome ending = word(need(e, "result"), "result", kEndings);
        const double took = number(need(e, "delay_seen_us"), "delay_seen_us") / 1e6;
        if (inv < 0) return;
        Slot& slot = slots_[static_cast<std::size_t>(inv)];
        --slot.out;
        const bool over = flag(e, "no_more") || slot.over;
        slot.over = over;
        balancer_->on_attempt_finished(now, inv, forward, ending, took, over);
        settle(inv);
        settle_ended();
    }

    void leave(double now, const Value& e) {
        const int inv = invocation_index(e);
        if (inv < 0) return;
        slots_[static_cast<std::size_t>(inv)].over = true;
        balancer_->on_client_closed(now, inv);
        settle(inv);
        settle_ended();
    }

    void stream(double now, const Value& e) {
        const int inv = invocation_index(e);
        const int forward = small(need_with(e, "copy"), "copy", 0);
        if (inv >= 0) balancer_->on_stream_started(now, inv, forward);
    }

    void probe_back(double now, const Value& e) {
        const auto at = caches_.find(std::string(text(need(e, "server"), "server")));
        const AttemptOutcome ending = word(need(e, "result"), "result", kEndings);
        if (at != caches_.end())
            balancer_->on_health_check(now, at->second, ending, seconds(e, "delay_seen_us"));
    }

    // Checks the fields of a peer's message and ignores it: the balancer has no input for it.
    void peer(double, const Value& e) {
        need(e, "author");
        need(e, "content");
    }

    void bell(double now, const Value& e) {
        const std::string token(text(need(e, "handle"), "handle"));
        std::uint64_t value = 0;
        for (char c : token) {
            if (c < '0' || c > '9') return;  // not a handle that set_timer() sent
            value = value * 10 + static_cast<std::uint64_t>(c - '0');
        }
        balancer_->on_timer(now, value);
        settle_ended();
    }

    void start_attempt(int inv, int cache, double limit) override {
        begin("submit_to");
        ++slots_[static_cast<std::size_t>(inv)].out;
        corr(inv);
        out_.Key("limit_us");
        out_.Int64(std::max<std::int64_t>(1, std::llround(limit * 1e6)));
        server(cache);
        out_.EndObject();
    }
    void cancel_attempt(int inv, int forward) override {
        begin("retract");
        corr(inv);
        out_.Key("copy");
        out_.Int(forward);
        out_.EndObject();
    }
    void reject(int inv, double retry_after) override {
        begin("bounce");
        corr(inv);
        if (retry_after > 0) {
            out_.Key("retry_in_us");
            out_.Int64(std::llround(retry_after * 1e6));
        }
        out_.EndObject();
        over(inv);
    }
    void fail(int inv) override {
        begin("drop_request");
        corr(inv);
        out_.EndObject();
        over(inv);
    }
    void check_health(int cache) override {
        begin("check");
        server(cache);
        out_.EndObject();
    }
    void close_idle_connections(int cache) override {
        begin("release");
        server(cache);
        out_.EndObject();
    }
    void poll_endpoints() override {
        begin("observe");
        out_.Key("active");
        out_.Bool(true);
        out_.EndObject();
    }
    void set_timer(double after, std::uint64_t token) override {
        begin("remind");
        out_.Key("after_us");
        out_.Int64(std::max<std::int64_t>(1, std::llround(after * 1e6)));
        out_.Key("handle");
        const std::string handle = std::to_string(token);
        out_.String(handle.data(), static_cast<rapidjson::SizeType>(handle.size()));
        out_.EndObject();
    }
    void log(std::string_view line) override {
        begin("emit");
        out_.Key("body_text");
        out_.String(line.data(), static_cast<rapidjson::SizeType>(line.size()));
        out_.EndObject();
    }

  private:
    struct Slot {
        std::int64_t id = 0;
        int out = 0;
        bool over = false;
    };

    static const Value& need_with(const Value& e, const char* name) {
        need(e, name);
        return e;
    }
    int cache_index(std::string_view name) {
        const auto [at, fresh] = caches_.try_emplace(std::string(name), static_cast<int>(names_.size()));
        if (fresh) names_.emplace_back(name);
        return at->second;
    }
    int invocation_index(const Value& e) const {
        const auto at = by_id_.find(whole(need(e, "corr"), "corr"));
        return at == by_id_.end() ? -1 : at->second;  // The request has ended. The protocol allows late events, and they have no effect.
    }
    void over(int inv) {
        slots_[static_cast<std::size_t>(inv)].over = true;
        to_settle_.push_back(inv);
    }
    // The balancer may end any request in any call, not only the one that the event names.
    void settle_ended() {
        for (int inv : to_settle_) settle(inv);
        to_settle_.clear();
    }
    // Frees the slot of an ended request once none of its attempts is open, so that no event can refer to a
    // slot that another request has taken over.
    void settle(int inv) {
        const Slot& slot = slots_[static_cast<std::size_t>(inv)];
        if (!slot.over || slot.out > 0 || by_id_.erase(slot.id) == 0) return;
        free_.push_back(inv);
    }
    void begin(const char* what) {
        out_.StartObject();
        out_.Key("msg");
        out_.String(what);
        out_.Key("i");
        out_.Int64(number_);
    }
    void corr(int inv) {
        out_.Key("corr");
        out_.Int64(slots_[static_cast<std::size_t>(inv)].id);
    }
    void server(int cache) {
        const std::string& name = names_[static_cast<std::size_t>(cache)];
        out_.Key("server");
        out_.String(name.data(), static_cast<rapidjson::SizeType>(name.size()));
    }

    std::int64_t number_;
    Writer& out_;
    int operations_ = 0;
    std::unique_ptr<Balancer> balancer_;
    std::vector<Slot> slots_;
    std::vector<int> free_;
    std::vector<int> to_settle_;
    std::unordered_map<std::int64_t, int> by_id_;
    std::unordered_map<std::string, int> caches_;
    std::vector<std::string> names_;
};

class Adapter {
  public:
    void batch(std::string& line) {
        pool_.Clear();
        Document document(&pool_, 1024, &stack_);
        document.ParseInsitu(line.data());
        if (document.HasParseError()) {
            throw ConfigurationError(std::string("not JSON: ") +
                                     rapidjson::GetParseError_En(document.GetParseError()));
        }
        if (!document.IsObject()) throw ConfigurationError("a batch is not an object");
        const double now = number(need(document, "t_us"), "t_us") / 1e6;
        const Value& input = need(document, "input");
        if (!input.IsArray()) throw ConfigurationError("field 'input' is not a list");
        buffer_.Clear();
        writer_.Reset(buffer_);
        writer_.StartObject();
        writer_.Key("cmds");
        writer_.StartArray();
        for (const Value& e : input.GetArray()) event(now, e);
        writer_.EndArray();
        writer_.EndObject();
        std::cout.write(buffer_.GetString(), static_cast<std::streamsize>(buffer_.GetSize()));
        std::cout.put('\n').flush();
    }

  private:
    void event(double now, const Value& e) {
        if (!e.IsObject()) throw ConfigurationError("an event is not an object");
        const std::string_view what = text(need(e, "msg"), "msg");
        try {
            const std::int64_t number = whole(need(e, "i"), "i");
            if (what == "provision") {
                const Value& seed = need(e, "rng_seed");
                if (!seed.IsUint64() && !seed.IsInt64())
                    throw ConfigurationError("field 'rng_seed' is not a whole number");
                const auto value =
                    seed.IsUint64() ? seed.GetUint64() : static_cast<std::uint64_t>(seed.GetInt64());
                auto& fresh = instances_[number];
                fresh = std::make_unique<Instance>(number, writer_);
                fresh->start(read_deployment(need(e, "boot_info")), value);
                return;
            }
            const auto handler = kHandlers.find(what);
            if (handler == kHandlers.end()) throw ConfigurationError("unknown event");
            const auto at = instances_.find(number);
            if (at == instances_.end()) {
                throw ConfigurationError("instance " + std::to_string(number) + " was never started");
            }
            Instance& instance = *at->second;
            if (handler->second == nullptr) {
                instance.stop();
            } else if (instance.running()) {
                (instance.*handler->second)(now, e);
            }
        } catch (const ConfigurationError& bad) {
            throw ConfigurationError("event '" + std::string(what) + "': " + bad.what());
        }
    }

    using Handler = void (Instance::*)(double, const Value&);
    static const std::unordered_map<std::string_view, Handler> kHandlers;

    std::array<char, 1 << 20> room_{};
    Pool pool_{room_.data(), room_.size()};
    Pool stack_;
    rapidjson::StringBuffer buffer_;
    Writer writer_{buffer_};
    std::unordered_map<std::int64_t, std::unique_ptr<Instance>> instances_;
};

const std::unordered_map<std::string_view, Adapter::Handler> Adapter::kHandlers = {
    {"answer", &Instance::end},
    {"incoming", &Instance::arrive},
    {"bell", &Instance::bell},
    {"directory_update", &Instance::list},
    {"gone", &Instance::leave},
    {"established", &Instance::stream},
    {"status_back", &Instance::probe_back},
    {"note_from", &Instance::peer},
    {"power_off", nullptr}};  // destroys the instance's balancer

}  // namespace

int run() {
    auto adapter = std::make_unique<Adapter>();
    std::string line;
    std::int64_t lines = 0;
    while (std::getline(std::cin, line)) {
        ++lines;
        try {
            adapter->batch(line);
        } catch (const ConfigurationError& bad) {
            std::cerr << "brookrelay_adapter: line " << lines << ": " << bad.what() << '\n';
            return 1;
        }
    }
    return 0;
}

}  // namespace brookrelay

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    return brookrelay::run();
}
