// Tests race conditions of the program over real sockets. Each test forces an unfavorable order of events: a
// response, a close, a signal or a connection that arrives between two steps of the node.
#include <gtest/gtest.h>
#include <sys/resource.h>

#include <algorithm>
#include <mutex>

#include "fleet.h"
#include "testkit/crowd.h"

namespace {

using namespace brookrelay::testkit;

std::string read_value(TestSocket& line, const std::string& head, std::size_t length) {
    const std::string first = line.until("\r\n");
    return first == head ? line.bytes(length + 2) : first;
}

// ---- HTTP responses that end with their connection ------------------------------------------------------

struct UnknownLengthCase {
    const char* name;
    std::string head;
    std::size_t length;
    bool reset;
    bool is_served;
};

class OriginWithoutLength : public testing::TestWithParam<UnknownLengthCase> {};

TEST_P(OriginWithoutLength, IsServedOnlyAfterACleanClose) {
    const UnknownLengthCase& c = GetParam();
    Fleet fleet(1);
    fleet.caches.front().set_script(miss);
    const std::string body(c.length, 'v');
    std::atomic<int> requests{0};
    fleet.origin.set_script([&](const std::string&) {
        ++requests;
        ScriptedResponse act{c.head + "\r\n" + body};
        act.close = !c.reset;
        act.reset = c.reset;
        // The bytes are delivered before the close: a reset that arrived with them could discard them, and
        // the test would not show that the reset itself is detected.
        act.wait = [] { std::this_thread::sleep_for(std::chrono::milliseconds(30)); };
        return act;
    });
    TestSocket line(own_loopback(), fleet.port());
    line.send(read_of("7f3a", "u1", 1500));
    const std::string answer = read_value(line, "VA " + std::to_string(c.length) + " Ou1\r\n", c.length);
    if (c.is_served) {
        EXPECT_EQ(answer, body + "\r\n");
        EXPECT_EQ(requests, 1);
    } else {
        EXPECT_TRUE(answer.starts_with("SERVER_ERROR ")) << answer.substr(0, 40);
        EXPECT_GE(requests, 1);
    }
}

const std::string kOk = "HTTP/1.1 200 OK\r\n";
INSTANTIATE_TEST_SUITE_P(
    Answers, OriginWithoutLength,
    testing::Values(
        UnknownLengthCase{"empty", kOk, 0, false, true}, UnknownLengthCase{"short", kOk, 5, false, true},
        UnknownLengthCase{"longer_than_the_buffer_limit", kOk, 900 * 1000, false, true},
        UnknownLengthCase{"old_protocol", "HTTP/1.0 200 OK\r\n", 5, false, true},
        UnknownLengthCase{"reset", kOk, 5, true, false},
        UnknownLengthCase{"long_reset", kOk, 900 * 1000, true, false},
        UnknownLengthCase{"over_the_value_limit", kOk, 5 * 1000 * 1000, false, false},
        UnknownLengthCase{"closed_before_its_length", kOk + "Content-Length: 9\r\n", 5, false, false},
        UnknownLengthCase{"closed_inside_a_chunk", kOk + "Transfer-Encoding: chunked\r\n", 5, false, false}),
    [](const auto& c) { return c.param.name; });

TEST(OriginWithoutLength, ThatNeverEndsFailsInTime) {
    Fleet fleet(1);
    fleet.caches.front().set_script(miss);
    fleet.origin.set_script([](const std::string&) { return ScriptedResponse{kOk + "\r\nhello"}; });
    const double asked_at = now_seconds();
    EXPECT_EQ(fleet.ask(read_of("7f3a", "u1", 600)), "SERVER_ERROR busy\r\n");
    EXPECT_LT(now_seconds() - asked_at, 0.65);
}

// The head states that the write was not executed. The response to the client must ask for a retry, not state
// that the write may have been executed, although the response has no end.
TEST(OriginWithoutLength, RejectionTakesEffectWithItsHead) {
    NodeOptions options;
    options.write_idempotency = R"("at_most_once")";
    Fleet fleet(1, options);
    fleet.origin.set_script(
        [](const std::string&) { return ScriptedResponse{"HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\n\r\n"}; });
    EXPECT_EQ(fleet.ask("ms k 1 Ow1 Pc=put,d=1500\r\nx\r\n"), "SERVER_ERROR busy\r\n");
}

TEST(DiscoveryWithoutLength, ListIsAppliedOnlyAfterACleanClose) {
    for (const bool reset : {false, true}) {
        std::string list;
        std::atomic<bool> may_publish{false};
        std::atomic<int> responses{0};
        const auto watch = [&](const std::string& request) {
            while (!may_publish) std::this_thread::sleep_for(std::chrono::milliseconds(1));
            if (request.find("index=8&") != std::string::npos) return ScriptedResponse{};
            ++responses;
            ScriptedResponse act{"HTTP/1.1 200 OK\r\n\r\n" + list};
            act.close = !reset;
            act.reset = reset;
            act.wait = [] { std::this_thread::sleep_for(std::chrono::milliseconds(30)); };
            return act;
        };
        Fleet fleet(2, {256, 250, watch});
        ScriptedPeer& remaining = fleet.caches.back();
        // Indented JSON, which some discovery servers send.
        list = "{\n  \"seq\": 8,\n  \"whole\": true,\n  \"hosts\": [\n    " +
               Fleet::entry(Fleet::name(remaining), remaining, "SERVING") + "\n  ]\n}\n";
        may_publish = true;
        if (reset) {
            wait_for([&] { return responses >= 3; });  // the node repeats the call and keeps its current list
            EXPECT_FALSE(fleet.logged("version 8"));
        } else {
            wait_for([&] { return fleet.logged("version 8"); });
            EXPECT_EQ(responses, 1);
        }
        EXPECT_TRUE(fleet.alive());
    }
}

// ---- clients that disconnect, and server connections that are established late --------------------------

struct DisconnectCase {
    const char* name;
    bool is_write;  // a write to the origin; otherwise a read from a cache
    bool may_cancel;
    // Stops the process, so that it handles the client's close and the new connection in one loop iteration.
    bool stops_process;
};

class ClientDisconnectBeforeConnect : public testing::TestWithParam<DisconnectCase> {};

TEST_P(ClientDisconnectBeforeConnect, RequestIsNotSent) {
    const DisconnectCase& c = GetParam();
    NodeOptions options;
    options.connect_timeout_ms = 60000;
    options.may_cancel = c.may_cancel;
    Fleet fleet(1, options);
    ScriptedPeer& server = c.is_write ? fleet.origin : fleet.caches.front();
    StalledServer delayed_server(server);
    const auto command = [&c](const std::string& id) {
        return c.is_write ? "ms k 1 O" + id + " Pc=put,d=60000,k=" + id + "\r\nx\r\n"
                          : read_of("7f3a", id, 60000);
    };
    auto line = std::make_unique<TestSocket>(own_loopback(), fleet.port());
    line->send("mn\r\n");
    ASSERT_EQ(line->until("\r\n"), "MN\r\n");
    line->send(command("left"));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));  // the attempt now waits for its connection
    if (c.stops_process) fleet.signal(SIGSTOP);
    line.reset();
    delayed_server.resume();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    if (c.stops_process) fleet.signal(SIGCONT);
    // The connection that was established late is idle and carries the next request.
    TestSocket next(own_loopback(), fleet.port());
    next.send(command("next"));
    EXPECT_EQ(next.until("\r\n"), c.is_write ? "HD Onext cmade\r\n" : "VA 5 Onext\r\n");
    const auto heard = server.received_messages();
    ASSERT_EQ(heard.size(), 1U);
    EXPECT_NE(heard[0].find("next"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(Late, ClientDisconnectBeforeConnect,
                         testing::Values(DisconnectCase{"read", false, false, false},
                                         DisconnectCase{"write", true, true, false},
                                         DisconnectCase{"read_in_one_iteration", false, false, true},
                                         DisconnectCase{"write_in_one_iteration", true, true, true}),
                         [](const auto& c) { return c.param.name; });

// Unread pipelined commands precede the client's close in the input. The node must detect the close
// nevertheless and must not send the remaining commands to servers.
TEST(ClientDisconnect, IsDetectedBehindUnreadCommands) {
    Fleet fleet(1);
    std::atomic<bool> may_answer{false};
    fleet.caches.front().set_script([&may_answer](const std::string& m) {
        while (!may_answer) std::this_thread::sleep_for(std::chrono::milliseconds(1));
        return hit(m);
    });
    {
        TestSocket line(own_loopback(), fleet.port());
        std::string commands;
        for (int n = 0; n < 8000; ++n)
            commands += read_of("k" + std::to_string(n), "p" + std::to_string(n), 60000);
        line.send(commands);
        wait_for([&] { return fleet.caches.front().received_messages().size() >= 8; });
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    const std::size_t before = fleet.caches.front().received_messages().size();
    may_answer = true;
    wait_for([&] { return fleet.ask(read_of("1", "after")) == "VA 5 Oafter\r\n"; });
    const auto heard = fleet.caches.front().received_messages();
    EXPECT_EQ(
        std::count_if(heard.begin(), heard.end(), [](const std::string& m) { return id_in(m) != "after"; }),
        static_cast<std::ptrdiff_t>(before));
}

// Guards against retries for a client that has left behind more input than its connection's buffers hold.
TEST(ClientDisconnect, IsDetectedBehindAMegabyteOfCommands) {
    Fleet fleet(1);
    ScriptedPeer& cache = fleet.caches.front();
    std::atomic<bool> may_answer{false};
    cache.set_script([&may_answer](const std::string& m) {
        while (!may_answer) std::this_thread::sleep_for(std::chrono::milliseconds(1));
        return hit(m);
    });
    {
        Crowd client(fleet.port(), 1, {std::size_t{1} << 20}, [](int) {
            std::string commands;
            for (int n = 0; n < 20000; ++n)
                commands += read_of("k" + std::to_string(n), "p" + std::to_string(n), 60000);
            return commands;
        });
        client.run(std::chrono::milliseconds(200));
        wait_for([&] { return cache.received_messages().size() >= 8; });
    }
    // Attempts without an answer are retried once the server counts as silent and another request comes.
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    const std::size_t before = cache.received_messages().size();
    may_answer = true;
    wait_for([&] { return fleet.ask(read_of("1", "after")) == "VA 5 Oafter\r\n"; });
    const auto heard = cache.received_messages();
    EXPECT_EQ(
        std::count_if(heard.begin(), heard.end(), [](const std::string& m) { return id_in(m) != "after"; }),
        static_cast<std::ptrdiff_t>(before));
}

// An attempt that begins so much later than its client's close is a break: 0.1 s, and 0.05 s of slack.
constexpr double kLatestAttemptAfterClose = 0.15;

std::string writes_of(const std::string& prefix, int count, std::size_t bytes) {
    std::string text;
    for (int n = 0; n < count; ++n) text += write_of(prefix + std::to_string(n), bytes, 60000);
    return text;
}

// An origin that records when each request begins there. The write s1 takes so long that no answer behind it
// is written, which would show the node that the client's host has closed the connection.
class RecordingOrigin {
  public:
    explicit RecordingOrigin(ScriptedPeer& origin) {
        origin.set_script([this](const std::string& message) {
            {
                const std::lock_guard lock(mutex_);
                begun_at_.push_back(now_seconds());
            }
            const bool is_slow = message.find("X-Trace-Id: s1\r\n") != std::string::npos;
            std::this_thread::sleep_for(std::chrono::milliseconds(is_slow ? 900 : 80));
            return ScriptedResponse{http("made")};
        });
    }
    std::vector<double> begun_at() {
        const std::lock_guard lock(mutex_);
        return begun_at_;
    }

  private:
    std::mutex mutex_;
    std::vector<double> begun_at_;
};

// Keeps all memory for long writes, with one that it does not end, until it is destroyed.
class LongWriteHolder {
  public:
    explicit LongWriteHolder(int port) : line_(own_loopback(), port) {
        line_.send("ms held 4000000 Oheld Pc=put,d=60000,k=held\r\n" + std::string(3'000'000, 'v'));
        sender_ = std::thread([this] {
            while (!is_stopping_) {
                line_.send("v");
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
            }
        });
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    ~LongWriteHolder() {
        is_stopping_ = true;
        sender_.join();
    }

  private:
    TestSocket line_;
    std::atomic<bool> is_stopping_{false};
    std::thread sender_;
};

struct HiddenClose {
    const char* name;
    int memory_mb;
    int short_writes;
    std::size_t short_bytes;
    int long_writes;  // behind the short ones, of 1 MB each, while another client has the memory for them
    // Other clients that read none of the values they have asked for, and fill the buffers of the node by
    // half.
    int clients_that_do_not_read;
};

std::string reads_of_values(int client) {
    std::string text;
    for (int n = 0; n < 20; ++n)
        text +=
            read_of("k" + std::to_string(n), "r" + std::to_string(client) + "-" + std::to_string(n), 60000);
    return text;
}

class CloseBehindUnreadInput : public testing::TestWithParam<HiddenClose> {};

// Guards against writes that are sent to the origin although their client has gone: its close was hidden
// behind input that the node had no space for.
TEST_P(CloseBehindUnreadInput, EndsTheAttempts) {
    const HiddenClose& c = GetParam();
    NodeOptions options;
    options.memory_mb = c.memory_mb;
    Fleet fleet(1, options);
    RecordingOrigin origin(fleet.origin);
    const auto holder = c.long_writes > 0 ? std::make_unique<LongWriteHolder>(fleet.port()) : nullptr;
    fleet.caches.front().set_script([](const std::string& m) {
        return ScriptedResponse{"VA 60000 O" + id_in(m) + " h1\r\n" + std::string(60'000, 'x') + "\r\n"};
    });
    constexpr CrowdPace kNoReading{.written = std::size_t{1} << 20, .receive_buffer = 4096};
    Crowd others(fleet.port(), c.clients_that_do_not_read, kNoReading, reads_of_values);
    others.run(std::chrono::milliseconds(300));
    {
        constexpr CrowdPace kFast{.written = std::size_t{8} << 20, .read = std::size_t{1} << 20};
        Crowd client(fleet.port(), 1, kFast, [&c](int) {
            return writes_of("s", c.short_writes, c.short_bytes) + writes_of("l", c.long_writes, 1'000'000);
        });
        client.run(std::chrono::milliseconds(200));
    }
    const double closed_at = now_seconds();
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    const std::vector<double> begun_at = origin.begun_at();
    EXPECT_GE(begun_at.size(), 4U);
    for (const double time : begun_at) EXPECT_LE(time, closed_at + kLatestAttemptAfterClose);
}

INSTANTIATE_TEST_SUITE_P(Kinds, CloseBehindUnreadInput,
                         testing::Values(HiddenClose{"some_megabytes", 192, 96, 60'000, 0, 0},
                                         HiddenClose{"more_than_is_kept", 192, 400, 60'000, 0, 0},
                                         HiddenClose{"thousands_of_commands", 192, 30'000, 300, 0, 0},
                                         HiddenClose{"little_memory", 32, 96, 60'000, 0, 0},
                                         HiddenClose{"a_long_write_without_memory", 32, 24, 1'000, 8, 0},
                                         HiddenClose{"buffers_that_are_half_full", 32, 96, 30'000, 0, 6}),
                         [](const auto& c) { return c.param.name; });

// ---- discovery that is silent, late or sends older lists -------------------------------------------------

// A scripted discovery server that answers watches with the current list, leaves calls unanswered, resets
// their connections, or rejects them.
class ScriptedDiscovery {
  public:
    enum class Mode { answers, silent, resets, rejects };
    ScriptedPeer::Script script() {
        return [this](const std::string& request) {
            const std::size_t at = request.find("index=");
            const int known_version = at == std::string::npos ? 0 : std::stoi(request.substr(at + 6));
            const std::size_t wait_at = request.find("wait=");
            const int wait_ms = wait_at == std::string::npos ? 0 : std::stoi(request.substr(wait_at + 5));
            longest_wait_ms_ = std::max(longest_wait_ms_.load(), wait_ms);
            ++calls_;
            const double until = now_seconds() + wait_ms / 1e3;
            while (now_seconds() < until && version_ <= known_version && mode_ == Mode::answers)
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            const Mode mode = mode_;
            if (mode == Mode::silent)
                return ScriptedResponse{};  // never answers this call, even after the mode changes
            if (mode == Mode::resets) return ScriptedResponse{"", false, {}, {}, true};
            if (mode == Mode::rejects) return ScriptedResponse{http("", "503 Later")};
            const std::lock_guard lock(mutex_);
            const bool is_full = known_version == 0;
            return ScriptedResponse{http(R"({"seq":)" + std::to_string(version_) + R"(,"whole":)" +
                                         (is_full ? "true" : "false") + R"(,"hosts":[)" +
                                         (is_full                    ? full_list_
                                          : version_ > known_version ? update_
                                                                     : "") +
                                         "]}")};
        };
    }
    void publish(const std::string& update, const std::string& full_list) {
        const std::lock_guard lock(mutex_);
        update_ = update;
        full_list_ = full_list;
        ++version_;
    }
    void set_mode(Mode mode) { mode_ = mode; }
    int calls() const { return calls_; }
    int longest_wait_ms() const { return longest_wait_ms_; }

  private:
    std::atomic<int> version_{7}, calls_{0}, longest_wait_ms_{0};
    std::atomic<Mode> mode_{Mode::answers};
    std::mutex mutex_;
    std::string update_, full_list_;
};

struct Outage {
    const char* name;
    ScriptedDiscovery::Mode mode;
    double duration_seconds;
    bool is_on_request;
};

class ChangeAfterAnOutage : public testing::TestWithParam<Outage> {};

// A change must take effect within 6 s of the moment when discovery has it and can be reached.
TEST_P(ChangeAfterAnOutage, IsAppliedInTime) {
    const Outage& c = GetParam();
    ScriptedDiscovery discovery;
    NodeOptions options;
    options.watch = discovery.script();
    options.polls_endpoints = c.is_on_request;
    Fleet fleet(2, options);
    wait_for([&] { return discovery.calls() > 0; });
    std::this_thread::sleep_for(std::chrono::milliseconds(300));  // the watch is still waiting
    discovery.set_mode(c.mode);
    std::this_thread::sleep_for(std::chrono::duration<double>(c.duration_seconds));
    ScriptedPeer& drained = fleet.caches.front();
    const std::string draining_entry = Fleet::entry(Fleet::name(drained), drained, "DRAINING");
    discovery.publish(draining_entry,
                      Fleet::entry("origin", fleet.origin, "SERVING") + "," + draining_entry + "," +
                          Fleet::entry(Fleet::name(fleet.caches.back()), fleet.caches.back(), "SERVING"));
    const double published_at = now_seconds();
    discovery.set_mode(ScriptedDiscovery::Mode::answers);
    wait_for([&] { return fleet.logged("version 8"); });
    const double elapsed = now_seconds() - published_at;
    discovery.set_mode(ScriptedDiscovery::Mode::silent);
    RecordProperty("took_ms", static_cast<int>(elapsed * 1e3));
    std::printf("applied after %.2f s\n", elapsed);
    EXPECT_LT(elapsed, 6.0);
    EXPECT_LE(discovery.longest_wait_ms(), 4000);
}

INSTANTIATE_TEST_SUITE_P(
    Outages, ChangeAfterAnOutage,
    testing::Values(Outage{"watch_unanswered", ScriptedDiscovery::Mode::silent, 0.1, false},
                    Outage{"silent_for_one_call", ScriptedDiscovery::Mode::silent, 5.3, false},
                    Outage{"long_silence", ScriptedDiscovery::Mode::silent, 9, false},
                    Outage{"resets", ScriptedDiscovery::Mode::resets, 4, false},
                    Outage{"rejections", ScriptedDiscovery::Mode::rejects, 4, false},
                    Outage{"on_request_unanswered", ScriptedDiscovery::Mode::silent, 0.1, true},
                    Outage{"on_request_long_silence", ScriptedDiscovery::Mode::silent, 9, true},
                    Outage{"on_request_rejections", ScriptedDiscovery::Mode::rejects, 6, true}),
    [](const auto& c) { return c.param.name; });

// A list older than the current one would bring back draining servers. An older list is accepted only in
// response to a call for the full list, because discovery may have lost its versions.
TEST(OlderList, DoesNotRestoreDrainingServers) {
    std::atomic<int> step{0};
    std::string draining_entry, old_list;
    const auto watch = [&](const std::string& request) {
        while (step == 0) std::this_thread::sleep_for(std::chrono::milliseconds(1));
        if (request.find("index=7&") != std::string::npos)
            return ScriptedResponse{http(R"({"seq":8,"whole":false,"hosts":[)" + draining_entry + "]}")};
        if (request.find("index=8&") != std::string::npos && step++ == 1)
            return ScriptedResponse{http(R"({"seq":5,"whole":true,"hosts":[)" + old_list + "]}")};
        return ScriptedResponse{};  // leaves all other calls unanswered, including the call for the full list
    };
    Fleet fleet(2, {256, 250, watch});
    ScriptedPeer& drained = fleet.caches.front();
    draining_entry = Fleet::entry(Fleet::name(drained), drained, "DRAINING");
    old_list = Fleet::entry("origin", fleet.origin, "SERVING");
    for (ScriptedPeer& c : fleet.caches) old_list += "," + Fleet::entry(Fleet::name(c), c, "SERVING");
    step = 1;
    wait_for([&] { return fleet.logged("a list older than the one held"); });
    for (int k = 0; k < 20; ++k) {
        const std::string id = "o" + std::to_string(k);
        EXPECT_EQ(fleet.ask(read_of("k" + std::to_string(k), id)), "VA 5 O" + id + "\r\n");
    }
    EXPECT_TRUE(drained.received_messages().empty());
    wait_for(
        [&] { return fleet.discovery.received_messages().back().starts_with("GET /discovery/hosts HTTP"); });
}

// ---- duplicate responses and late repeats ---------------------------------------------------------------

// HTTP responses carry no request id. A duplicate response must not be taken for the response to the next
// request on its connection.
TEST(DuplicateResponse, SomeMillisecondsLateIsDiscarded) {
    for (const int late_ms : {0, 2, 10, 30}) {
        Fleet fleet(1);
        fleet.caches.front().set_script(miss);
        fleet.origin.set_script([late_ms](const std::string& request) {
            const std::string key = request.substr(5, request.find(' ', 5) - 5);
            ScriptedResponse act{http("for " + key)};
            act.wait = [late_ms] { std::this_thread::sleep_for(std::chrono::milliseconds(late_ms)); };
            act.rest = http("for " + key);
            return act;
        });
        TestSocket line(own_loopback(), fleet.port());
        for (int n = 0; n < 20; ++n) {
            const std::string key = "k" + std::to_string(10 + n), id = "s" + std::to_string(n);
            line.send(read_of(key, id));
            ASSERT_EQ(line.until("\r\n"), "VA 7 O" + id + "\r\n") << late_ms << " ms";
            ASSERT_EQ(line.bytes(9), "for " + key + "\r\n") << late_ms << " ms";
        }
    }
}

// A server starts to execute a request when its last byte arrives. The repeat of a deduplicated write must
// start while the origin remembers the first one. A repeat that the origin has not read completely by then
// has not run and must be cancelled.
TEST(Deduplication, RepeatDoesNotBeginAfterTheWindow) {
    NodeOptions options;
    options.write_idempotency = R"("deduplicated","group":"all","key_ttl_us":1000000)";
    Fleet fleet(1, options);
    const std::string value(2 * 1000 * 1000, 'v');
    std::atomic<int> complete_requests{0};
    std::atomic<double> first_at{0}, last_at{0};
    // The first attempt is read completely and fails. The next one is read late: its connection is
    // established, but the origin does not read its bytes.
    fleet.origin.set_script([&](const std::string& m) {
        if (m.size() < value.size()) return ScriptedResponse{};  // cancelled before its end
        if (complete_requests++ == 0) first_at = now_seconds();
        last_at = now_seconds();
        return ScriptedResponse{http("", "500 E")};
    });
    fleet.origin.set_receive_buffer(16 * 1024);
    fleet.origin.delay_bodies([&] { return complete_requests > 0 ? 1.5 : 0.0; });
    TestSocket line(own_loopback(), fleet.port());
    line.send("ms k " + std::to_string(value.size()) + " Ow1 Pc=put,d=5000,k=w1\r\n" + value + "\r\n");
    EXPECT_TRUE(line.until("\r\n").starts_with("SERVER_ERROR "));
    std::this_thread::sleep_for(std::chrono::milliseconds(1800));  // the origin may still read bytes
    EXPECT_GE(complete_requests, 1);
    EXPECT_LT(last_at - first_at, 1.0);
}

// ---- closing ---------------------------------------------------------------------------------------------

// A client that requests a long value, reads it late, and sends its next command while the node closes.
class SlowClient {
  public:
    static constexpr std::size_t kLength = 600 * 1000;
    explicit SlowClient(Fleet& fleet) : line_(own_loopback(), fleet.port()) {
        fleet.caches.front().set_script([](const std::string& m) {
            if (id_in(m) != "slow") return hit(m);
            return ScriptedResponse{"VA " + std::to_string(kLength) + " Oslow h1\r\n" +
                                    std::string(kLength, 'x') + "\r\n"};
        });
        line_.send(read_of("7f3a", "slow"));
    }
    void send_next() { line_.send(read_of("7f3a", "crossing")); }
    void expect_complete_response() {
        EXPECT_EQ(line_.until("\r\n"), "VA " + std::to_string(kLength) + " Oslow\r\n");
        EXPECT_EQ(line_.bytes(kLength + 2).size(), kLength + 2);
        EXPECT_TRUE(line_.closed_by_peer());
    }

  private:
    TestSocket line_;
};

// If the node closed the connection without lingering, the command that is in transit would reset it and the
// rest of the response would be lost.
TEST(Closing, AtShutdownLosesNoResponse) {
    Fleet fleet(1);
    SlowClient slow_client(fleet);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    fleet.signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(1250));  // closing begins 1 s after the signal
    slow_client.send_next();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    slow_client.expect_complete_response();
    const auto heard = fleet.caches.front().received_messages();
    EXPECT_TRUE(std::none_of(heard.begin(), heard.end(),
                             [](const std::string& m) { return id_in(m) == "crossing"; }));
    EXPECT_EQ(fleet.exit_code(), 0);
}

// The longest idle connections are closed when too many are idle, which must not lose a response either.
TEST(Closing, OfTheLongestIdleLosesNoResponse) {
    NodeOptions options;
    options.descriptors = 64;  // allows 24 client connections, of which two may be idle
    Fleet fleet(1, options);
    SlowClient slow_client(fleet);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    std::list<TestSocket> others;
    for (int n = 0; n < 6; ++n) {
        others.emplace_back(own_loopback(), fleet.port());
        others.back().send(read_of("7f3a", "o" + std::to_string(n)));
        EXPECT_TRUE(others.back().until("hello\r\n").ends_with("hello\r\n"));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    slow_client.send_next();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    slow_client.expect_complete_response();
}

// A command is incomplete when the shutdown signal arrives, and completed after the idle connections are
// closed. It has been accepted, so it must be answered, regardless of a second signal or a reload.
TEST(Closing, WaitsForAnIncompleteCommand) {
    for (const int second_signal : {0, SIGTERM, SIGHUP}) {
        Fleet fleet(1);
        TestSocket incomplete_client(own_loopback(), fleet.port());
        TestSocket idle_client(own_loopback(), fleet.port());
        idle_client.send("mn\r\n");
        ASSERT_EQ(idle_client.until("\r\n"), "MN\r\n");
        incomplete_client.send("mg 7f3a v Oha");
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        fleet.signal(SIGTERM);
        if (second_signal != 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
            fleet.signal(second_signal);
        }
        EXPECT_TRUE(idle_client.closed_by_peer());
        incomplete_client.send("lf Pc=read,t=acme,d=1000\r\n");
        EXPECT_EQ(incomplete_client.until("hello\r\n"), "VA 5 Ohalf\r\nhello\r\n") << second_signal;
        EXPECT_TRUE(incomplete_client.closed_by_peer());
        EXPECT_EQ(fleet.exit_code(), 0);
    }
}

// Clients send commands for as long as their connections are open. Each command must be answered, or its
// connection closed before the command is read; the cache must not receive a request that is not answered.
TEST(Closing, OfClientsThatKeepSendingLosesNoCommand) {
    Fleet fleet(1);
    std::atomic<bool> is_signalled{false};
    std::atomic<int> answered{0}, truncated{0};
    std::vector<std::thread> clients;
    for (int t = 0; t < 8; ++t) {
        clients.emplace_back([&, t] {
            TestSocket line(own_loopback(), fleet.port());
            for (int n = 0;; ++n) {
                const std::string id = "t" + std::to_string(t) + "n" + std::to_string(n);
                line.send(read_of("k" + std::to_string(n % 9), id));
                const std::string answer = line.until("hello\r\n");
                if (answer.empty()) break;  // closed between two commands
                if (answer == "VA 5 O" + id + "\r\nhello\r\n") {
                    ++answered;
                } else {
                    ++truncated;
                }
            }
        });
    }
    wait_for([&] { return answered > 50; });
    fleet.signal(SIGTERM);
    is_signalled = true;
    EXPECT_EQ(fleet.exit_code(), 0);
    for (std::thread& thread : clients) thread.join();
    EXPECT_EQ(truncated, 0);
    EXPECT_EQ(static_cast<int>(fleet.caches.front().received_messages().size()), answered);
}

// ---- start and file descriptors --------------------------------------------------------------------------

// Idle clients occupy all descriptors allowed to clients while discovery is down. The node must still reach
// discovery once it is back, and serve operators and new clients.
TEST(Descriptors, HeldByIdleClientsDoNotBlockDiscovery) {
    ScriptedDiscovery discovery;
    NodeOptions options;
    options.watch = discovery.script();
    options.descriptors = 64;
    options.has_management = true;
    Fleet fleet(2, options);
    const rlimit limit{64, 64};
    ASSERT_EQ(prlimit(fleet.daemon().pid(), RLIMIT_NOFILE, &limit, nullptr), 0);
    wait_for([&] { return discovery.calls() > 0; });
    discovery.set_mode(ScriptedDiscovery::Mode::resets);
    std::atomic<bool> stop{false};
    std::vector<std::thread> client_threads;
    for (int t = 0; t < 4; ++t) {
        client_threads.emplace_back([&, t] {
            std::list<TestSocket> idle;
            for (int n = 0; !stop; ++n) {
                idle.emplace_back(own_loopback(), fleet.port());
                if ((n + t) % 2 == 0) idle.back().send("mn\r\n");
                if (idle.size() > 60) idle.pop_front();
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
            }
        });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    ScriptedPeer& drained = fleet.caches.front();
    discovery.publish(Fleet::entry(Fleet::name(drained), drained, "DRAINING"), "");
    const double published_at = now_seconds();
    discovery.set_mode(ScriptedDiscovery::Mode::answers);
    wait_for([&] { return fleet.logged("version 8"); });
    EXPECT_LT(now_seconds() - published_at, 6.0);
    discovery.set_mode(ScriptedDiscovery::Mode::silent);
    EXPECT_EQ(Fleet::call(fleet.management(), "GET", "/control/ready"), 200);
    const double asked_at = now_seconds();
    EXPECT_EQ(fleet.ask(read_of("7f3a", "d1")), "VA 5 Od1\r\n");
    EXPECT_LT(now_seconds() - asked_at, 5.0);
    stop = true;
    for (std::thread& thread : client_threads) thread.join();
}

// Silent clients wait in the backlog before the process starts, and discovery is down. The process must
// become ready nevertheless.
TEST(Start, WithABacklogOfIdleClientsAndNoDiscoveryIsReadyInTime) {
    NodeOptions options;
    options.descriptors = 256;
    options.has_management = true;
    options.inherits_listener = true;  // the test holds the listener, and its backlog with it
    Fleet fleet(1, options);
    fleet.daemon().kill();
    std::list<TestSocket> idle;
    for (int n = 0; n < 900; ++n) idle.emplace_back(own_loopback(), fleet.port());
    const double started_at = now_seconds();
    const Process next = fleet.start_second_process();
    TestSocket line(own_loopback(), fleet.port());
    line.send("mn\r\n");
    EXPECT_EQ(line.until("\r\n"), "MN\r\n");
    std::printf("ready after %.2f s behind 900 idle clients\n", now_seconds() - started_at);
    EXPECT_LT(now_seconds() - started_at, 10.0);
}

}  // namespace
