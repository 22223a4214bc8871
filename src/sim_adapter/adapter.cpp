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

// The protocol's names of attempt outcomes.
constexpr std::array<std::pair<std::string_view, AttemptOutcome>, 9> kAttemptOutcomes{
    {{"done", AttemptOutcome::succeeded},
     {"enoent", AttemptOutcome::miss},
     {"err", AttemptOutcome::failed},
     {"busy", AttemptOutcome::busy},
     {"etimedout", AttemptOutcome::timed_out},
     {"econnrefused", AttemptOutcome::refused},
     {"econnreset", AttemptOutcome::reset},
     {"ecanceled", AttemptOutcome::cancelled},
     {"skipped", AttemptOutcome::not_sent}}};

// One simulated node with its balancer. The public functions decode events; the overrides of Host write
// commands.
class Instance final : public Host {
  public:
    Instance(std::int64_t number, Writer& out) : instance_number_(number), out_(out) {}

    void start(const Deployment& deployment, std::uint64_t seed) {
        operations_ = static_cast<int>(deployment.operations.size());
        slots_.clear();
        free_slots_.clear();
        request_by_external_id_.clear();
        server_indices_.clear();
        server_names_.clear();
        balancer_ = make_balancer(deployment, seed, *this);
    }
    void stop() { balancer_.reset(); }
    bool is_running() const { return balancer_ != nullptr; }

    void update_endpoints(double now, const Value& event) {
        const std::string_view mode = text(get_required_member(event, "mode"), "mode");
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
        if (const Value* array = find(event, "entries")) {
            if (!array->IsArray()) throw ConfigurationError("field 'entries' is not an array");
            for (const Value& entry : array->GetArray()) {
                if (!entry.IsObject()) throw ConfigurationError("an entry of 'entries' is not an object");
                Endpoint endpoint;
                endpoint.name = text(get_required_member(entry, "server"), "server");
                endpoint.server = server_index(endpoint.name);
                endpoint.zone = read_int(entry, "locality", 0);
                endpoint.kind = read_int(entry, "machine", 0);
                endpoint.cell = read_int(entry, "group", 0);
                endpoint.weight = number(entry, "scale", 0);
                endpoint.state = parse_endpoint_state(get_required_member(entry, "mode"), "mode");
                endpoint.started_at = seconds(entry, "since_us");
                entries.push_back(endpoint);
            }
        }
        balancer_->on_endpoints(now, kind, entries);
    }

    void receive_request(double now, const Value& event) {
        Request request;
        const std::int64_t id = whole(get_required_member(event, "corr"), "corr");
        request.operation = read_int(event, "cls", -1);
        if (request.operation < 0) throw ConfigurationError("missing field 'cls'");
        if (request.operation >= operations_) throw ConfigurationError("field 'cls' names no operation");
        request.time_remaining = number(get_required_member(event, "remaining_us"), "remaining_us") / 1e6;
        const int options = read_int(event, "options", 0);
        request.is_write = (options & 4) != 0;
        request.is_client_retry = (options & 2) != 0;
        request.tenant = read_int(event, "org", 0);
        if (const Value* key = find(event, "key")) {
            request.has_key = true;
            request.key = static_cast<std::uint64_t>(whole(*key, "key"));
        }
        if (request_by_external_id_.contains(id))
            throw ConfigurationError("field 'corr' names a request that is already known");
        if (free_slots_.empty()) {
            free_slots_.push_back(static_cast<int>(slots_.size()));
            slots_.emplace_back();
        }
        request.id = free_slots_.back();
        free_slots_.pop_back();
        slots_[static_cast<std::size_t>(request.id)] = {id, 0, false};
        request_by_external_id_.emplace(id, request.id);
        balancer_->on_request(now, request);
        release_ended_slots();
    }

    void finish_attempt(double now, const Value& event) {
        const int request = find_request(event);
        const int attempt = read_int(require_member(event, "copy"), "copy", 0);
        const AttemptOutcome outcome = word(get_required_member(event, "result"), "result", kAttemptOutcomes);
        const double latency = number(get_required_member(event, "delay_seen_us"), "delay_seen_us") / 1e6;
        if (request < 0) return;
        Slot& slot = slots_[static_cast<std::size_t>(request)];
        --slot.open_attempts;
        const bool is_ended = flag(event, "no_more") || slot.is_ended;
        slot.is_ended = is_ended;
        balancer_->on_attempt_finished(now, request, attempt, outcome, latency, is_ended);
        release_slot(request);
        release_ended_slots();
    }

    void close_client(double now, const Value& event) {
        const int request = find_request(event);
        if (request < 0) return;
        slots_[static_cast<std::size_t>(request)].is_ended = true;
        balancer_->on_client_closed(now, request);
        release_slot(request);
        release_ended_slots();
    }

    void start_stream(double now, const Value& event) {
        const int request = find_request(event);
        const int attempt = read_int(require_member(event, "copy"), "copy", 0);
        if (request >= 0) balancer_->on_stream_started(now, request, attempt);
    }

    void finish_health_check(double now, const Value& event) {
        const auto at =
            server_indices_.find(std::string(text(get_required_member(event, "server"), "server")));
        const AttemptOutcome outcome = word(get_required_member(event, "result"), "result", kAttemptOutcomes);
        if (at != server_indices_.end())
            balancer_->on_health_check(now, at->second, outcome, seconds(event, "delay_seen_us"));
    }

    // Checks the fields of a peer's message and ignores it: the balancer has no input for it.
    void check_peer_message(double, const Value& event) {
        get_required_member(event, "author");
        get_required_member(event, "content");
    }

    void fire_timer(double now, const Value& event) {
        const std::string token(text(get_required_member(event, "handle"), "handle"));
        std::uint64_t value = 0;
        for (char c : token) {
            if (c < '0' || c > '9') return;  // not a handle that set_timer() sent
            value = value * 10 + static_cast<std::uint64_t>(c - '0');
        }
        balancer_->on_timer(now, value);
        release_ended_slots();
    }

    void start_attempt(int request, int server, double timeout) override {
        begin_command("submit_to");
        ++slots_[static_cast<std::size_t>(request)].open_attempts;
        write_request_id(request);
        out_.Key("limit_us");
        out_.Int64(std::max<std::int64_t>(1, std::llround(timeout * 1e6)));
        write_server(server);
        out_.EndObject();
    }
    void cancel_attempt(int request, int attempt) override {
        begin_command("retract");
        write_request_id(request);
        out_.Key("copy");
        out_.Int(attempt);
        out_.EndObject();
    }
    void reject(int request, double retry_after) override {
        begin_command("bounce");
        write_request_id(request);
        if (retry_after > 0) {
            out_.Key("retry_in_us");
            out_.Int64(std::llround(retry_after * 1e6));
        }
        out_.EndObject();
        mark_ended(request);
    }
    void fail(int request) override {
        begin_command("drop_request");
        write_request_id(request);
        out_.EndObject();
        mark_ended(request);
    }
    void check_health(int server) override {
        begin_command("check");
        write_server(server);
        out_.EndObject();
    }
    void close_idle_connections(int server) override {
        begin_command("release");
        write_server(server);
        out_.EndObject();
    }
    void poll_endpoints() override {
        begin_command("observe");
        out_.Key("active");
        out_.Bool(true);
        out_.EndObject();
    }
    void set_timer(double delay, std::uint64_t token) override {
        begin_command("remind");
        out_.Key("after_us");
        out_.Int64(std::max<std::int64_t>(1, std::llround(delay * 1e6)));
        out_.Key("handle");
        const std::string handle = std::to_string(token);
        out_.String(handle.data(), static_cast<rapidjson::SizeType>(handle.size()));
        out_.EndObject();
    }
    void log(std::string_view line) override {
        begin_command("emit");
        out_.Key("body_text");
        out_.String(line.data(), static_cast<rapidjson::SizeType>(line.size()));
        out_.EndObject();
    }

  private:
    // A request that has not been released. Its index in `slots_` is the balancer's request id.
    struct Slot {
        std::int64_t external_id = 0;
        int open_attempts = 0;
        bool is_ended = false;
    };

    // Checks that the event has the member, and returns the event.
    static const Value& require_member(const Value& event, const char* name) {
        get_required_member(event, name);
        return event;
    }
    int server_index(std::string_view name) {
        const auto [at, is_new] =
            server_indices_.try_emplace(std::string(name), static_cast<int>(server_names_.size()));
        if (is_new) server_names_.emplace_back(name);
        return at->second;
    }
    int find_request(const Value& event) const {
        // The protocol allows late events for a request that has ended; they have no effect.
        const auto at = request_by_external_id_.find(whole(get_required_member(event, "corr"), "corr"));
        return at == request_by_external_id_.end() ? -1 : at->second;
    }
    void mark_ended(int request) {
        slots_[static_cast<std::size_t>(request)].is_ended = true;
        ended_slots_.push_back(request);
    }
    // The balancer may end any request in any call, not only the one that the event names.
    void release_ended_slots() {
        for (int request : ended_slots_) release_slot(request);
        ended_slots_.clear();
    }
    // Frees the slot of an ended request once none of its attempts is open, so that no event can refer to a
    // slot that another request has taken over.
    void release_slot(int request) {
        const Slot& slot = slots_[static_cast<std::size_t>(request)];
        if (!slot.is_ended || slot.open_attempts > 0 || request_by_external_id_.erase(slot.external_id) == 0)
            return;
        free_slots_.push_back(request);
    }
    void begin_command(const char* name) {
        out_.StartObject();
        out_.Key("msg");
        out_.String(name);
        out_.Key("i");
        out_.Int64(instance_number_);
    }
    void write_request_id(int request) {
        out_.Key("corr");
        out_.Int64(slots_[static_cast<std::size_t>(request)].external_id);
    }
    void write_server(int server) {
        const std::string& name = server_names_[static_cast<std::size_t>(server)];
        out_.Key("server");
        out_.String(name.data(), static_cast<rapidjson::SizeType>(name.size()));
    }

    std::int64_t instance_number_;
    Writer& out_;
    int operations_ = 0;
    std::unique_ptr<Balancer> balancer_;
    std::vector<Slot> slots_;
    std::vector<int> free_slots_;
    std::vector<int> ended_slots_;
    std::unordered_map<std::int64_t, int> request_by_external_id_;
    std::unordered_map<std::string, int> server_indices_;
    std::vector<std::string> server_names_;
};

// Decodes batches and passes each event to its instance.
class Adapter {
  public:
    // Handles one input line, which it overwrites, and writes one output line.
    void process_batch(std::string& line) {
        value_pool_.Clear();
        Document document(&value_pool_, 1024, &parse_stack_);
        document.ParseInsitu(line.data());
        if (document.HasParseError()) {
            throw ConfigurationError(std::string("not JSON: ") +
                                     rapidjson::GetParseError_En(document.GetParseError()));
        }
        if (!document.IsObject()) throw ConfigurationError("a batch is not an object");
        const double now = number(get_required_member(document, "t_us"), "t_us") / 1e6;
        const Value& input = get_required_member(document, "input");
        if (!input.IsArray()) throw ConfigurationError("field 'input' is not an array");
        buffer_.Clear();
        writer_.Reset(buffer_);
        writer_.StartObject();
        writer_.Key("cmds");
        writer_.StartArray();
        for (const Value& event : input.GetArray()) handle_event(now, event);
        writer_.EndArray();
        writer_.EndObject();
        std::cout.write(buffer_.GetString(), static_cast<std::streamsize>(buffer_.GetSize()));
        std::cout.put('\n').flush();
    }

  private:
    void handle_event(double now, const Value& event) {
        if (!event.IsObject()) throw ConfigurationError("an event is not an object");
        const std::string_view event_name = text(get_required_member(event, "msg"), "msg");
        try {
            const std::int64_t number = whole(get_required_member(event, "i"), "i");
            if (event_name == "provision") {
                const Value& seed = get_required_member(event, "rng_seed");
                if (!seed.IsUint64() && !seed.IsInt64())
                    throw ConfigurationError("field 'rng_seed' is not a whole number");
                const auto value =
                    seed.IsUint64() ? seed.GetUint64() : static_cast<std::uint64_t>(seed.GetInt64());
                auto& instance = instances_[number];
                instance = std::make_unique<Instance>(number, writer_);
                instance->start(read_deployment(get_required_member(event, "boot_info")), value);
                return;
            }
            const auto handler = kHandlers.find(event_name);
            if (handler == kHandlers.end()) throw ConfigurationError("unknown event");
            const auto at = instances_.find(number);
            if (at == instances_.end()) {
                throw ConfigurationError("instance " + std::to_string(number) + " was never started");
            }
            Instance& instance = *at->second;
            if (handler->second == nullptr) {
                instance.stop();
            } else if (instance.is_running()) {
                (instance.*handler->second)(now, event);
            }
        } catch (const ConfigurationError& error) {
            throw ConfigurationError("event '" + std::string(event_name) + "': " + error.what());
        }
    }

    using Handler = void (Instance::*)(double, const Value&);
    static const std::unordered_map<std::string_view, Handler> kHandlers;

    std::array<char, 1 << 20> value_buffer_{};
    Pool value_pool_{value_buffer_.data(), value_buffer_.size()};
    Pool parse_stack_;
    rapidjson::StringBuffer buffer_;
    Writer writer_{buffer_};
    std::unordered_map<std::int64_t, std::unique_ptr<Instance>> instances_;
};

const std::unordered_map<std::string_view, Adapter::Handler> Adapter::kHandlers = {
    {"answer", &Instance::finish_attempt},
    {"incoming", &Instance::receive_request},
    {"bell", &Instance::fire_timer},
    {"directory_update", &Instance::update_endpoints},
    {"gone", &Instance::close_client},
    {"established", &Instance::start_stream},
    {"status_back", &Instance::finish_health_check},
    {"note_from", &Instance::check_peer_message},
    {"power_off", nullptr}};  // destroys the instance's balancer

}  // namespace

int run_adapter() {
    auto adapter = std::make_unique<Adapter>();
    std::string line;
    std::int64_t line_number = 0;
    while (std::getline(std::cin, line)) {
        ++line_number;
        try {
            adapter->process_batch(line);
        } catch (const ConfigurationError& error) {
            std::cerr << "brookrelay_adapter: line " << line_number << ": " << error.what() << '\n';
            return 1;
        }
    }
    return 0;
}

}  // namespace brookrelay

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    return brookrelay::run_adapter();
}
