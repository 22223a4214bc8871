// The node's interfaces for operators: the admin address, and a new process that replaces the old one.
#include <gtest/gtest.h>

#include <filesystem>

#include "fleet.h"

namespace {

using namespace brookrelay::testkit;

NodeOptions with_admin_address() {
    NodeOptions options;
    options.has_management = true;
    return options;
}

// A temporary folder for the processes of one node, as the platform passes it in TMPDIR.
class TemporaryFolder {
  public:
    TemporaryFolder() { path_ = mkdtemp(path_.data()); }
    ~TemporaryFolder() { std::filesystem::remove_all(path_); }
    const std::string& path() const { return path_; }

  private:
    std::string path_ = "/tmp/brookrelay_ops_XXXXXX";
};

// A command that waited in the socket of a stopped process may be past its deadline when it is read: it is
// rejected at once without an attempt. A command whose client still waits is served.
TEST(Operations, RequestsReceivedWhileStoppedKeepTheirAge) {
    Fleet fleet(2);
    TestSocket expired(own_loopback(), fleet.port()), waiting(own_loopback(), fleet.port());
    EXPECT_TRUE(fleet.ask(read_of("a", "1")).starts_with("VA 5 O1"));
    fleet.signal(SIGSTOP);
    expired.send(read_of("b", "2", 500));
    waiting.send(read_of("c", "3", 10000));
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    fleet.signal(SIGCONT);
    EXPECT_TRUE(expired.until("\r\n").starts_with("SERVER_ERROR busy"));
    EXPECT_TRUE(waiting.until("\r\n").starts_with("VA 5 O3"));
    EXPECT_TRUE(fleet.logged("stood still for"));
}

TEST(Operations, AdminRequestsGetTheirStatusAndMalformedOnes400) {
    Fleet fleet(1, with_admin_address());
    struct Case {
        const char* method;
        const char* target;
        int status;
    };
    for (const Case& c : std::initializer_list<Case>{{"GET", "/control/ready", 200},
                                                     {"POST", "/control/ready", 405},
                                                     {"GET", "/control/ready/", 404},
                                                     {"GET", "/control", 404},
                                                     {"GET", "control/ready", 400},
                                                     {"GET", "/", 404}})
        EXPECT_EQ(Fleet::call(fleet.management(), c.method, c.target), c.status)
            << c.method << " " << c.target;
    for (const std::string& text :
         {std::string("nonsense\r\n"), std::string("GET /control/ready SPDY/3\r\n\r\n"),
          std::string(5000, 'x'), std::string("GET /control/ready HTTP/1.1\r\nno field\r\n\r\n"),
          "GET /control/ready HTTP/1.1\r\nA: " + std::string(5000, 'x')}) {
        SCOPED_TRACE(text.substr(0, 80));
        TestSocket line(own_loopback(), fleet.management());
        line.send(text);
        EXPECT_EQ(line.until("\r\n"), "HTTP/1.1 400 Bad Request\r\n");
    }
}

// Admin connections without a complete request do not block other callers, however many they are, also at the
// descriptor limit.
TEST(Operations, IncompleteAdminRequestsDoNotBlockOthers) {
    NodeOptions options = with_admin_address();
    options.descriptors = 64;
    Fleet fleet(1, options);
    fleet.caches.front().set_script(silent);
    std::list<TestSocket> lines;
    for (int k = 0; k < 60; ++k) {
        lines.emplace_back(own_loopback(), fleet.port());
        lines.back().send(read_of("7f3a", "w" + std::to_string(k)));
    }
    std::list<TestSocket> incomplete;
    for (int k = 0; k < 12; ++k) {
        incomplete.emplace_back(own_loopback(), fleet.management());
        if (k % 2 == 0) incomplete.back().send("POST /control/cache-ser");
    }
    for (int k = 0; k < 5; ++k) EXPECT_EQ(Fleet::call(fleet.management(), "GET", "/control/ready"), 200);
}

// Two processes on one listener: the old one answers the commands that it has received, and new clients
// connect to the new one.
TEST(Operations, ANewProcessTakesOverFromTheOldOne) {
    NodeOptions options = with_admin_address();
    options.inherits_listener = true;
    Fleet fleet(1, options);
    std::atomic<bool> release{false};
    fleet.caches.front().set_script([&release](const std::string& m) {
        while (id_in(m) == "held" && !release) std::this_thread::sleep_for(std::chrono::milliseconds(1));
        return hit(m);
    });
    TestSocket idle(own_loopback(), fleet.port());
    idle.send("mn\r\n");
    EXPECT_EQ(idle.until("\r\n"), "MN\r\n");
    TestSocket held(own_loopback(), fleet.port());
    held.send(read_of("7f3a", "held") + read_of("7f3a", "behind"));
    TestSocket incomplete(own_loopback(), fleet.port());
    incomplete.send("mg 7f3a v Ohalf Pc=re");
    wait_for([&] { return !fleet.caches.front().received_messages().empty(); });
    Process next = fleet.start_second_process();
    wait_for([&] { return Fleet::call(next.management, "GET", "/control/ready") == 200; });
    EXPECT_EQ(Fleet::call(fleet.management(), "GET", "/control/ready"), 200);
    fleet.signal(SIGTERM);
    EXPECT_TRUE(idle.closed_by_peer());
    EXPECT_EQ(Fleet::call(fleet.management(), "GET", "/control/ready"), 503);
    for (int k = 0; k < 20; ++k) {
        const std::string id = "n" + std::to_string(k);
        EXPECT_EQ(fleet.ask(read_of("k" + std::to_string(k), id)), "VA 5 O" + id + "\r\n");
    }
    incomplete.send("ad,d=900\r\n");
    EXPECT_EQ(incomplete.until("hello\r\n"), "VA 5 Ohalf\r\nhello\r\n");
    EXPECT_TRUE(incomplete.closed_by_peer());
    EXPECT_TRUE(fleet.alive());
    release = true;
    EXPECT_EQ(held.until("hello\r\n"), "VA 5 Oheld\r\nhello\r\n");
    EXPECT_EQ(held.until("hello\r\n"), "VA 5 Obehind\r\nhello\r\n");
    EXPECT_TRUE(held.closed_by_peer());
    EXPECT_EQ(fleet.exit_code(), 0);
    EXPECT_EQ(fleet.ask(read_of("last", "l1")), "VA 5 Ol1\r\n");
}

// Guards against a write that ran twice because its id came again at the other process of an upgrade.
TEST(Operations, AWriteDoesNotRunAgainAtTheNextProcess) {
    const TemporaryFolder scratch;
    NodeOptions options = with_admin_address();
    options.inherits_listener = true;
    options.tmp = scratch.path();
    options.write_idempotency = R"("at_most_once")";
    Fleet fleet(1, options);
    fleet.origin.set_script([](const std::string&) { return ScriptedResponse{}; });  // runs, never answers
    const std::string write = "ms k 1 Oonce Pc=put,d=3000\r\nv\r\n";
    {
        TestSocket client(own_loopback(), fleet.port());
        client.send(write);
        wait_for([&] { return fleet.origin.received_messages().size() == 1; });
    }
    Process next = fleet.start_second_process();
    wait_for([&] { return Fleet::call(next.management, "GET", "/control/ready") == 200; });
    fleet.signal(SIGTERM);
    EXPECT_EQ(fleet.exit_code(), 0);
    EXPECT_EQ(fleet.ask(write), "SERVER_ERROR failed\r\n");
    EXPECT_EQ(fleet.origin.received_messages().size(), 1U);
}

// A second process that is killed or cannot start does not affect the first one.
TEST(Operations, ASecondProcessThatFailsLeavesTheFirstServing) {
    NodeOptions options = with_admin_address();
    options.inherits_listener = true;
    Fleet fleet(1, options);
    Process next = fleet.start_second_process();
    wait_for([&] { return Fleet::call(next.management, "GET", "/control/ready") == 200; });
    next.daemon->kill();
    for (int k = 0; k < 5; ++k) EXPECT_EQ(fleet.ask("mn\r\n"), "MN\r\n");
    int fd[2];
    ASSERT_EQ(pipe(fd), 0);
    Process failing(std::make_unique<DaemonProcess>(
                        DaemonProcess::LaunchOptions{BROOKRELAY_PROGRAM, "/tmp", next_name(), -1, fd[0]}),
                    0);
    DaemonProcess& failing_daemon = *failing.daemon;
    failing_daemon.configure(fleet.configuration_with("\"pushed\"", "\"pushed\""));
    failing_daemon.start();
    wait_for([&] { return !failing_daemon.running(); });
    EXPECT_EQ(failing_daemon.exit_code(), 1);
    EXPECT_EQ(fleet.ask("mn\r\n"), "MN\r\n");
    std::ifstream log(failing_daemon.log_path());
    const std::string log_text(std::istreambuf_iterator<char>(log), {});
    EXPECT_NE(log_text.find("GW_ACCEPT_FD: descriptor 5 is no listening socket"), std::string::npos);
}

std::string server_call(const std::string& name, const char* what) {
    return "/control/cache-servers/" + name + "/" + what;
}

// Sends 40 reads of different keys and returns how many of them one cache received.
std::size_t send_reads_and_count(const Fleet& fleet, ScriptedPeer& cache, const std::string& prefix) {
    const std::size_t before = cache.received_messages().size();
    TestSocket line(own_loopback(), fleet.port());
    for (int k = 0; k < 40; ++k) {
        line.send(read_of("k" + std::to_string(k), prefix + std::to_string(k)));
        EXPECT_TRUE(line.until("hello\r\n").ends_with("hello\r\n"));
    }
    return cache.received_messages().size() - before;
}

// After the response to a drain the server gets no attempts, whatever the endpoint list contains, until one
// restore.
TEST(Operations, ADrainedServerGetsNoAttemptsWhateverTheListSays) {
    const TemporaryFolder scratch;
    UpdateFeed updates;
    NodeOptions options = with_admin_address();
    options.tmp = scratch.path();
    options.watch = updates.script();
    Fleet fleet(2, options);
    ScriptedPeer& cache = fleet.caches.front();
    const std::string name = Fleet::name(cache);
    const std::string other = Fleet::entry(Fleet::name(fleet.caches.back()), fleet.caches.back(), "SERVING") +
                              "," + Fleet::entry("origin", fleet.origin, "SERVING");
    const auto call = [&](const std::string& id, const char* what) {
        return Fleet::call(fleet.management(), "POST", server_call(id, what));
    };
    EXPECT_GT(send_reads_and_count(fleet, cache, "a"), 0U);
    EXPECT_EQ(call(name, "offline"), 200);
    const std::string deleted = R"({"host":")" + name + R"(","health":"DELETED"})";
    int round = 0;
    for (const std::string& update :
         {std::string(), Fleet::entry(name, cache, "SERVING"), Fleet::entry(name, cache, "DRAINING"), deleted,
          Fleet::entry(name, cache, "SERVING"), "!" + other,
          "!" + other + "," + Fleet::entry(name, cache, "SERVING")}) {
        SCOPED_TRACE(testing::Message() << "round " << round);
        if (!update.empty()) updates.publish(update);
        EXPECT_EQ(send_reads_and_count(fleet, cache, "b" + std::to_string(round++) + "-"), 0U);
    }
    EXPECT_EQ(call(name, "offline"), 200);
    EXPECT_EQ(call(name, "offline"), 200);
    EXPECT_EQ(call(name, "online"), 200);
    EXPECT_GT(send_reads_and_count(fleet, cache, "c"), 0U);
    EXPECT_EQ(call(name, "online"), 200);
    wait_for([&] {
        updates.publish("!" + other);
        return fleet.logged(" 2 known (whole list)");
    });
    EXPECT_EQ(call(name, "offline"), 200);  // evicted, but it was listed once
    updates.publish(Fleet::entry(name, cache, "SERVING"));
    EXPECT_EQ(send_reads_and_count(fleet, cache, "d"), 0U);
    struct Case {
        std::string target;
        int status;
    };
    for (const Case& c : std::initializer_list<Case>{{server_call("never", "offline"), 404},
                                                     {server_call("never", "online"), 404},
                                                     {server_call("origin", "offline"), 409},
                                                     {server_call("", "offline"), 404},
                                                     {server_call("%zz", "offline"), 400},
                                                     {server_call(name, "away"), 404}})
        EXPECT_EQ(Fleet::call(fleet.management(), "POST", c.target), c.status) << c.target;
    EXPECT_EQ(Fleet::call(fleet.management(), "GET", server_call(name, "online")), 405);
    EXPECT_EQ(send_reads_and_count(fleet, cache, "e"), 0U);
}

// A drain or restore at one process applies to all processes of the node, also to one that starts later, and
// after the first process was killed.
TEST(Operations, ADrainAppliesToAllProcessesOfTheNode) {
    const TemporaryFolder scratch;
    NodeOptions options = with_admin_address();
    options.inherits_listener = true;
    options.tmp = scratch.path();
    Fleet fleet(2, options);
    ScriptedPeer& first = fleet.caches.front();
    ScriptedPeer& last = fleet.caches.back();
    EXPECT_EQ(Fleet::call(fleet.management(), "POST", server_call(Fleet::name(first), "offline")), 200);
    Process next = fleet.start_second_process();
    wait_for([&] { return Fleet::call(next.management, "GET", "/control/ready") == 200; });
    EXPECT_EQ(Fleet::call(next.management, "POST", server_call(Fleet::name(first), "online")), 200);
    EXPECT_EQ(Fleet::call(next.management, "POST", server_call(Fleet::name(last), "offline")), 200);
    // Both processes serve, so the first one must have reloaded the state.
    wait_for([&] { return fleet.logged(Fleet::name(last) + " is drained by an operator"); });
    for (int k = 0; k < 5; ++k)
        EXPECT_EQ(send_reads_and_count(fleet, last, "x" + std::to_string(k) + "-"), 0U);
    EXPECT_GT(send_reads_and_count(fleet, first, "y"), 0U);
    fleet.signal(SIGKILL);
    EXPECT_EQ(fleet.exit_code(), 128 + SIGKILL);
    EXPECT_EQ(send_reads_and_count(fleet, last, "z"), 0U);
    EXPECT_EQ(Fleet::call(next.management, "POST", server_call(Fleet::name(last), "online")), 200);
    wait_for([&] { return send_reads_and_count(fleet, last, "v") > 0; });
}

// The connections of both processes together stay within the limit of one process, and the share of a killed
// process becomes available.
TEST(Operations, TwoProcessesShareOneDescriptorLimit) {
    const TemporaryFolder scratch;
    NodeOptions options = with_admin_address();
    options.inherits_listener = true;
    options.tmp = scratch.path();
    options.descriptors = 128;  // 62 for clients
    Fleet fleet(1, options);
    Process next = fleet.start_second_process();
    wait_for([&] { return Fleet::call(next.management, "GET", "/control/ready") == 200; });
    // New connections, which are not closed in favour of others for a moment.
    std::list<TestSocket> lines;
    for (int k = 0; k < 130; ++k) {
        lines.emplace_back(own_loopback(), fleet.port());
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    const int total = fleet.daemon().resource_usage().descriptors + next.daemon->resource_usage().descriptors;
    std::printf("two processes: %d descriptors\n", total);
    EXPECT_GT(total, 50);
    EXPECT_LE(total, 128);
    next.daemon->kill();
    wait_for([&] {
        lines.emplace_back(own_loopback(), fleet.port());
        return fleet.daemon().resource_usage().descriptors > 65;
    });
    EXPECT_LE(fleet.daemon().resource_usage().descriptors, 128);
}

// When discovery rejects a request, the node keeps its version, continues to request updates of it, and
// serves in the meantime.
TEST(Operations, ARejectionByDiscoveryKeepsTheVersion) {
    std::atomic<int> calls{0};
    NodeOptions options;
    options.watch = [&](const std::string&) {
        return ++calls <= 3 ? ScriptedResponse{http("", "503 Service Unavailable")} : ScriptedResponse{};
    };
    Fleet fleet(1, options);
    EXPECT_EQ(fleet.ask(read_of("7f3a", "t1")), "VA 5 Ot1\r\n");
    wait_for([&] { return fleet.discovery.received_messages().size() >= 4; });
    for (const std::string& asked : fleet.discovery.received_messages())
        EXPECT_NE(asked.find("index=7&"), std::string::npos);
}

constexpr std::size_t kLongValueSize = 4 * 1024 * 1024;

// The bytes differ by position, so that a lost or repeated chunk is detected.
const std::string& long_value() {
    static const std::string value = [] {
        std::string v(kLongValueSize, 0);
        for (std::size_t i = 0; i < v.size(); ++i) v[i] = static_cast<char>('a' + (i * 7 + i / 1000) % 26);
        return v;
    }();
    return value;
}
std::string long_value_header(const std::string& command) {
    return "VA " + std::to_string(kLongValueSize) + " O" + id_in(command) + " h1\r\n";
}

// From a cache, and after a miss from the origin: the client gets the first bytes before the rest has
// arrived, and then the complete value.
TEST(Operations, LongValuesAreStreamed) {
    for (const bool is_miss : {false, true}) {
        SCOPED_TRACE(is_miss ? "from the origin" : "from a cache");
        Fleet fleet(2, with_admin_address());
        std::atomic<bool> release{false};
        const auto wait_for_release = [&release] {
            while (!release) std::this_thread::sleep_for(std::chrono::milliseconds(1));
        };
        const std::string first = long_value().substr(0, 100'000);
        const std::string rest = long_value().substr(100'000);
        for (ScriptedPeer& c : fleet.caches)
            c.set_script([&](const std::string& m) {
                return is_miss ? miss(m)
                               : ScriptedResponse{long_value_header(m) + first, false, wait_for_release,
                                                  rest + "\r\n"};
            });
        fleet.origin.set_script([&](const std::string&) {
            return ScriptedResponse{
                "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kLongValueSize) + "\r\n\r\n" + first,
                true, wait_for_release, rest};
        });
        TestSocket line(own_loopback(), fleet.port());
        line.send(read_of("7f3a", "l1"));
        EXPECT_EQ(line.until("\r\n"), "VA " + std::to_string(kLongValueSize) + " Ol1\r\n");
        EXPECT_TRUE(line.bytes(first.size()) == first);
        line.send(read_of("7f3a", "l2"));  // in the middle of the first value
        EXPECT_EQ(fleet.ask("mn\r\n"), "MN\r\n");
        release = true;
        EXPECT_TRUE(line.bytes(rest.size()) == rest);
        EXPECT_EQ(line.bytes(2), "\r\n");
        EXPECT_EQ(line.until("\r\n"), "VA " + std::to_string(kLongValueSize) + " Ol2\r\n");
        EXPECT_TRUE(line.bytes(kLongValueSize) == long_value());
        EXPECT_EQ(line.bytes(2), "\r\n");
        EXPECT_EQ(fleet.ask("mn\r\n"), "MN\r\n");
    }
}

// Once a part of a streamed value is written, no other attempt may answer the request, and the client can
// detect that the value is incomplete.
TEST(Operations, AClientDetectsATruncatedLongValue) {
    struct Case {
        std::string sent;  // after the head
    };
    const std::string half = long_value().substr(0, kLongValueSize / 2);
    for (const Case& c : {Case{half}, Case{long_value()}, Case{long_value() + "xx"}}) {
        SCOPED_TRACE(testing::Message() << c.sent.size() << " bytes after the head");
        Fleet fleet(2, with_admin_address());
        for (ScriptedPeer& cache : fleet.caches)
            cache.set_script([&](const std::string& m) {
                return ScriptedResponse{long_value_header(m) + c.sent, true};
            });
        TestSocket line(own_loopback(), fleet.port());
        line.send("mn\r\n" + read_of("7f3a", "b1"));
        EXPECT_EQ(line.until("\r\n"), "MN\r\n");
        EXPECT_EQ(line.until("\r\n"), "VA " + std::to_string(kLongValueSize) + " Ob1\r\n");
        const std::string received = line.bytes(kLongValueSize + 2);
        EXPECT_LT(received.size(), kLongValueSize);
        EXPECT_TRUE(received == long_value().substr(0, received.size()));
        EXPECT_TRUE(line.closed_by_peer());
        EXPECT_TRUE(fleet.origin.received_messages().empty());
        // If another command of the client is already read, closing would lose it, so each command gets its
        // own error line.
        TestSocket both(own_loopback(), fleet.port());
        both.send(read_of("7f3a", "b2") + read_of("7f3a", "b3"));
        EXPECT_EQ(both.until("\r\n"), "SERVER_ERROR failed\r\n");
        const std::string last = both.until("\r\n");
        EXPECT_TRUE(last == "SERVER_ERROR failed\r\n" ||
                    (last == "VA " + std::to_string(kLongValueSize) + " Ob3\r\n" &&
                     both.bytes(kLongValueSize + 2).size() < kLongValueSize && both.closed_by_peer()))
            << last.substr(0, 80);
        EXPECT_TRUE(fleet.alive());
    }
    // If the client disconnects, the connection to the server is closed.
    Fleet fleet(1, with_admin_address());
    fleet.caches.front().set_script(
        [&](const std::string& m) { return ScriptedResponse{long_value_header(m) + half + half + "\r\n"}; });
    {
        TestSocket line(own_loopback(), fleet.port());
        line.send(read_of("7f3a", "g1"));
        EXPECT_EQ(line.until("\r\n"), "VA " + std::to_string(kLongValueSize) + " Og1\r\n");
    }
    wait_for([&] { return fleet.caches.front().ended == 1; });
    // While an earlier response of the client is pending, no part of the value is written, so the client gets
    // an error line.
    std::atomic<bool> release{false};
    fleet.caches.front().set_script([&](const std::string& m) {
        while (id_in(m) == "first" && !release) std::this_thread::sleep_for(std::chrono::milliseconds(1));
        return id_in(m) == "first" ? hit(m) : ScriptedResponse{long_value_header(m), true};
    });
    TestSocket line(own_loopback(), fleet.port());
    line.send(read_of("7f3a", "first") + read_of("7f3b", "second"));
    wait_for([&] { return fleet.caches.front().ended == 2; });
    release = true;
    EXPECT_EQ(line.until("hello\r\n"), "VA 5 Ofirst\r\nhello\r\n");
    const std::string second = line.until("\r\n");
    EXPECT_TRUE(second == "SERVER_ERROR failed\r\n" || (second.starts_with("VA ") && line.closed_by_peer()))
        << second.substr(0, 80);
}

// Values that together exceed the node's memory, with clients that read late and writers that pause.
TEST(Operations, ManyLongValuesFitInLittleMemory) {
    NodeOptions options = with_admin_address();
    options.memory_mb = 48;
    Fleet fleet(2, options);
    for (ScriptedPeer& c : fleet.caches)
        c.set_script([&](const std::string& m) {
            return m.find("short") == std::string::npos
                       ? ScriptedResponse{long_value_header(m) + long_value() + "\r\n"}
                       : hit(m);
        });
    std::list<TestSocket> readers;
    for (int k = 0; k < 30; ++k) {
        readers.emplace_back(own_loopback(), fleet.port());
        readers.back().send(read_of("k" + std::to_string(k), "r" + std::to_string(k)));
    }
    std::list<TestSocket> writers;
    for (int k = 0; k < 6; ++k) {
        const std::string id = "w" + std::to_string(k);
        writers.emplace_back(own_loopback(), fleet.port());
        writers.back().send("ms " + id + " " + std::to_string(kLongValueSize) + " O" + id +
                            " Pc=put,d=9000,k=" + id + "\r\n");
    }
    std::vector<std::thread> writing;
    for (TestSocket& writer : writers) {
        writing.emplace_back([&writer] {
            for (const std::size_t part : {0U, 1U}) {
                writer.send(long_value().substr(part * kLongValueSize / 2, kLongValueSize / 2) +
                            (part == 1 ? "\r\n" : ""));
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
            }
        });
    }
    for (int k = 0; k < 5; ++k) {
        const std::string id = "short" + std::to_string(k);
        EXPECT_EQ(fleet.ask(read_of("s" + std::to_string(k), id)), "VA 5 O" + id + "\r\n");
    }
    for (std::thread& t : writing) t.join();
    int k = 0;
    for (TestSocket& writer : writers)
        EXPECT_EQ(writer.until("\r\n"), "HD Ow" + std::to_string(k++) + " cmade\r\n");
    k = 0;
    for (TestSocket& reader : readers) {
        EXPECT_EQ(reader.until("\r\n"),
                  "VA " + std::to_string(kLongValueSize) + " Or" + std::to_string(k++) + "\r\n");
        EXPECT_TRUE(reader.bytes(kLongValueSize) == long_value());
        EXPECT_EQ(reader.bytes(2), "\r\n");
    }
    for (const std::string& message : fleet.origin.received_messages())
        EXPECT_TRUE(message.substr(message.find("\r\n\r\n") + 4) == long_value());
    EXPECT_EQ(fleet.origin.received_messages().size(), 6U);
    const double max_rss_mb = fleet.daemon().resource_usage().max_rss_mb;
    std::printf("long values: %.1f MB at most\n", max_rss_mb);
    EXPECT_LT(max_rss_mb, 40);
}

// The memory of the node, file-backed pages included, against the limit at which the platform kills it.
void expect_within_memory_limit(const Fleet& fleet, int memory_mb) {
    const double max_rss_mb = fleet.daemon().resource_usage().max_rss_mb;
    std::printf("%.1f MB at most, limit %d MB\n", max_rss_mb, memory_mb);
    EXPECT_LT(max_rss_mb, memory_mb);
}

class ValuesWithoutLength : public testing::TestWithParam<bool> {};

// Guards against a node that exceeds its memory limit and is killed: freed buffers of long values stayed with
// the allocator, and several copies of each value were not counted.
TEST_P(ValuesWithoutLength, FitInMemory) {
    constexpr int kRounds = 8, kClients = 60;
    const bool is_chunked = GetParam();
    NodeOptions options;
    options.memory_mb = 48;
    options.descriptors = 1024;
    Fleet fleet(2, options);
    for (ScriptedPeer& cache : fleet.caches) cache.set_script(miss);
    fleet.origin.set_script([is_chunked](const std::string&) {
        ScriptedResponse response{"HTTP/1.1 200 OK\r\n"};
        response.text += is_chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n";
        const std::string piece(50'000, 'v');
        response.pieces.assign(30, is_chunked ? "c350\r\n" + piece + "\r\n" : piece);
        if (is_chunked) response.pieces.back() += "0\r\n\r\n";
        response.piece_interval_ms = 2;
        response.close = !is_chunked;
        return response;
    });
    int served = 0;
    for (int round = 0; round < kRounds; ++round) {
        std::list<TestSocket> clients;
        for (int n = 0; n < kClients; ++n) {
            const std::string id = "r" + std::to_string(round) + "-" + std::to_string(n);
            clients.emplace_back(own_loopback(), fleet.port());
            clients.back().send(read_of(id, id, 4000));
        }
        for (TestSocket& client : clients) {
            const std::string line = client.until("\r\n");
            if (!line.starts_with("VA 1500000 ")) {
                EXPECT_TRUE(line.starts_with("SERVER_ERROR ")) << line.substr(0, 80);
                continue;
            }
            EXPECT_EQ(client.bytes(1'500'002).size(), 1'500'002U);
            ++served;
        }
    }
    EXPECT_GT(served, 0);
    expect_within_memory_limit(fleet, options.memory_mb);
}

INSTANTIATE_TEST_SUITE_P(Framing, ValuesWithoutLength, testing::Bool(),
                         [](const auto& c) { return c.param ? "chunked" : "until_close"; });

// While bodies wait for memory, one whose server has stopped sending must not keep the others waiting.
TEST(ValueWithoutLength, ThatStallsDoesNotDelayOthers) {
    constexpr int kStalled = 4, kOthers = 4, kMs = 2500;
    NodeOptions options;
    options.memory_mb = 48;
    Fleet fleet(1, options);
    fleet.caches.front().set_script(miss);
    std::atomic<bool> release{false};
    fleet.origin.set_script([&release](const std::string& message) {
        ScriptedResponse response{"HTTP/1.1 200 OK\r\n\r\n" + std::string(1'500'000, 'v'), true};
        if (message.find("/stalled") == std::string::npos) return response;
        response.wait = [&release] {
            while (!release) std::this_thread::sleep_for(std::chrono::milliseconds(1));
        };
        return response;
    });
    std::list<TestSocket> stalled, others;
    const auto ask = [&fleet](std::list<TestSocket>& clients, const std::string& id) {
        clients.emplace_back(own_loopback(), fleet.port());
        clients.back().send(read_of(id, id, kMs));
    };
    for (int n = 0; n < kStalled; ++n) ask(stalled, "stalled" + std::to_string(n));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    for (int n = 0; n < kOthers; ++n) ask(others, "other" + std::to_string(n));
    for (TestSocket& client : others) {
        EXPECT_TRUE(client.until("\r\n").starts_with("VA 1500000 "));
        EXPECT_EQ(client.bytes(1'500'002).size(), 1'500'002U);
    }
    for (TestSocket& client : stalled) EXPECT_TRUE(client.until("\r\n").starts_with("SERVER_ERROR "));
    release = true;
}

// Guards against the same with writes: the values of open requests were not counted.
TEST(Operations, ManyWritesAtOnceFitInMemory) {
    constexpr int kClients = 300;
    NodeOptions options;
    options.memory_mb = 32;
    options.descriptors = 1024;
    Fleet fleet(1, options);
    fleet.origin.set_script([](const std::string&) {
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        return ScriptedResponse{http("made")};
    });
    const std::string value(65'000, 'v');
    std::list<TestSocket> clients;
    for (int n = 0; n < kClients; ++n) {
        const std::string id = "w" + std::to_string(n);
        clients.emplace_back(own_loopback(), fleet.port());
        clients.back().send("ms " + id + " 65000 O" + id + " Pc=put,d=4000,k=" + id + "\r\n" + value +
                            "\r\n");
    }
    int served = 0;
    for (TestSocket& client : clients) {
        const std::string line = client.until("\r\n");
        served += line.starts_with("HD ");
        EXPECT_TRUE(line.starts_with("HD ") || line.starts_with("SERVER_ERROR ")) << line.substr(0, 80);
    }
    EXPECT_GT(served, 0);
    expect_within_memory_limit(fleet, options.memory_mb);
}

// The state folder is named after the node; after a reload with another name the process keeps its folder.
TEST(Operations, AReloadWithAnotherNameKeepsTheStateFolder) {
    const TemporaryFolder scratch;
    NodeOptions options = with_admin_address();
    options.inherits_listener = true;
    options.tmp = scratch.path();
    Fleet fleet(1, options);
    const auto snapshot = [&]() -> std::filesystem::path {
        for (const auto& entry : std::filesystem::recursive_directory_iterator(scratch.path())) {
            if (entry.path().filename() == "learned") return entry.path();
        }
        return {};
    };
    wait_for([&] { return !snapshot().empty(); });
    fleet.configure(fleet.configuration_with(R"("name":"n1")", R"("name":"n2")"));
    fleet.signal(SIGHUP);
    wait_for([&] { return fleet.logged("configuration read again"); });
    std::filesystem::remove(snapshot());
    wait_for([&] { return !snapshot().empty(); });  // written again at the same place
}

// The body of the response to a GET request of the admin interface.
std::string get_page(const Fleet& fleet, const std::string& target) {
    TestSocket line(own_loopback(), fleet.management());
    line.send("GET " + target + " HTTP/1.1\r\nHost: node\r\n\r\n");
    return line.until("\r\n\r\n") + line.until("no such text");
}

// The metrics page counts served and rejected requests, closed connections and violated rules.
TEST(Operations, MetricsAndTraceRecordRequests) {
    Fleet fleet(1, with_admin_address());
    EXPECT_EQ(fleet.ask(read_of("7f3a", "m1")), "VA 5 Om1\r\n");
    fleet.caches.front().set_script(
        [](const std::string&) { return ScriptedResponse{"SERVER_ERROR busy\r\n"}; });
    EXPECT_TRUE(fleet.ask(read_of("7f3a", "m2", 300)).starts_with("SERVER_ERROR "));
    const std::string metrics = get_page(fleet, "/metrics");
    for (const char* line :
         {"# TYPE brookrelay_requests_total counter\nbrookrelay_requests_total 2\n",
          "brookrelay_request_ends_total{end=\"served\"} 1\n",
          "brookrelay_request_ends_total{end=\"rejected\"} 1\n",
          "brookrelay_attempts_total{outcome=\"succeeded\"} 1\n",
          "brookrelay_client_connections_closed_total{reason=\"peer_closed\"} ",
          "brookrelay_violations_total{kind=\"commands_lost\"} 0\n", "brookrelay_open_requests 0\n"})
        EXPECT_NE(metrics.find(line), std::string::npos) << line << metrics;
    const std::string trace = get_page(fleet, "/control/trace");
    std::size_t at = 0;
    for (const char* step : {"request m1: received", "request m1: attempt_started 0 at s-",
                             "request m1: attempt_written 0 at s-", "request m1: attempt_ended 0 at s-",
                             "request m1: ended, served", "request m2: ended, rejected"}) {
        at = trace.find(step, at);
        ASSERT_NE(at, std::string::npos) << step << "\n" << trace;
    }
    EXPECT_TRUE(fleet.logged("request m2 rejected after "));
    EXPECT_EQ(Fleet::call(fleet.management(), "POST", "/metrics"), 405);
}

}  // namespace
