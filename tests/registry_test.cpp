// `brookrelay registry watch` and a daemon over sockets, against the fake coordination service and its
// faults.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <functional>
#include <future>
#include <iterator>
#include <string>
#include <thread>

#include "config/json.h"
#include "config/registration.h"
#include "testkit/fake_coordinator_server.h"
#include "testkit/scripted_peer.h"

namespace {

using namespace brookrelay;
using namespace brookrelay::testkit;

// Runs `brookrelay registry watch` and the service that it watches.
class RegistryWatch {
  public:
    RegistryWatch()
        : guard_(io_.get_executor()), server_(io_, clock_, own_loopback()), thread_([this] { io_.run(); }) {
        path_ = testing::TempDir() + "registry-" + std::to_string(getpid());
        on_loop([this] {
            owner_ = server_.service().open_session(clock_.now(), 40);
            (void)server_.service().create(clock_.now(), 0, "/fleet", "", false, false);
        });
        const std::string address = server_.address();
        child_ = fork();
        if (child_ == 0) {
            std::freopen((path_ + ".out").c_str(), "w", stdout);
            std::freopen((path_ + ".err").c_str(), "w", stderr);
            for (int fd = 3; fd < 1024; ++fd) close(fd);  // the child must not inherit the server's sockets
            execl(BROOKRELAY_PROGRAM, BROOKRELAY_PROGRAM, "registry", "watch", "--address", address.c_str(),
                  "--path", "/fleet", "--session", "1.5", nullptr);
            _exit(127);
        }
    }
    ~RegistryWatch() {
        kill(child_, SIGTERM);
        waitpid(child_, nullptr, 0);
        guard_.reset();
        io_.stop();
        thread_.join();
    }
    void on_loop(const std::function<void()>& function) {
        std::promise<void> done;
        boost::asio::post(io_, [&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }
    void add(const std::string& name) {
        on_loop([&] {
            (void)server_.service().create(clock_.now(), owner_, "/fleet/" + name,
                                           R"({"address":"127.0.0.1:11411","zone":"a","kind":"box"})", true,
                                           false);
        });
    }
    void remove(const std::string& name) {
        on_loop([&] { (void)server_.service().remove("/fleet/" + name); });
    }
    // Waits until the text is in the output; false if it is not there after 10 s.
    bool wait_for_output(const std::string& text, const char* where = ".out") {
        for (int i = 0; i < 1000; ++i) {
            std::ifstream file(path_ + where);
            if (std::string(std::istreambuf_iterator<char>(file), {}).find(text) != std::string::npos)
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    }
    FakeCoordinatorServer& server() { return server_; }

  private:
    Io io_;
    Clock clock_;
    boost::asio::executor_work_guard<Io::executor_type> guard_;
    FakeCoordinatorServer server_;
    std::thread thread_;
    std::int64_t owner_ = 0;
    pid_t child_ = 0;
    std::string path_;
};

TEST(Registry, WatchContinuesAfterFaultsOfTheService) {
    RegistryWatch watcher;
    watcher.add("box-1");
    watcher.add("box-2");
    EXPECT_TRUE(watcher.wait_for_output("cold box-1 127.0.0.1:11411\n") &&
                watcher.wait_for_output("cold box-2"));
    watcher.remove("box-1");
    EXPECT_TRUE(watcher.wait_for_output("gone box-1"));
    watcher.on_loop([&] { watcher.server().unreachable(true); });
    EXPECT_TRUE(watcher.wait_for_output("registry: connection lost", ".err"));
    watcher.add("box-3");
    watcher.on_loop([&] { watcher.server().unreachable(false); });
    EXPECT_TRUE(watcher.wait_for_output("cold box-3"));
    watcher.on_loop([&] { watcher.server().garble(); });
    watcher.add("box-4");
    EXPECT_TRUE(watcher.wait_for_output("cold box-4"));
    watcher.on_loop([&] { watcher.server().silence(true); });
    EXPECT_TRUE(watcher.wait_for_output("the service does not respond", ".err"));
    watcher.add("box-5");
    watcher.on_loop([&] { watcher.server().silence(false); });
    EXPECT_TRUE(watcher.wait_for_output("cold box-5"));
}

// A node with the coordination service as its endpoint source: attempts go to registered servers, stop after
// a removal and begin after a registration.
TEST(Registry, ADaemonAppliesRegistrations) {
    Io io;
    const Clock clock;
    FakeCoordinatorServer server(io, clock, own_loopback());
    const std::int64_t owner = server.service().open_session(0, 40);
    (void)server.service().create(0, 0, "/fleet", "", false, false);
    ScriptedPeer boxes[2]{ScriptedPeer(false), ScriptedPeer(false)};
    const auto data = [&](int i) {
        return R"({"address":")" + boxes[i].address() + R"(","zone":"a","kind":"m"})";
    };
    for (int i = 0; i < 2; ++i) {
        boxes[i].set_script([](const std::string& command) {
            const std::size_t at = command.find(" O") + 2;
            return ScriptedResponse{
                "VA 5 O" + command.substr(at, command.find(' ', at) - at) + " h1\r\nhello\r\n", false};
        });
        (void)server.service().create(0, owner, "/fleet/box-" + std::to_string(i), data(i), true, false);
    }
    const std::string file_prefix = testing::TempDir() + "registered-" + std::to_string(getpid());
    int port = 0;
    close(bound_socket(port));
    std::ofstream(file_prefix + ".json")
        << R"({"name":"n0","listen":")" << own_loopback() << ":" << port
        << R"(","discovery":"127.0.0.1:1","seed":"1","known":{"seq":1,"whole":true,"hosts":[]},
 "settings":{"localities":["a"],"kinds":["m"],"permissions":{"cancel":true,"most_forwards":3,"connect_timeout_us":250000},
 "operations":[{"name":"read","repeat":"idempotent","client_timeout_us":2000000}]}})";
    std::ofstream(file_prefix + ".toml")
        << "[registry]\naddresses = [\"" << server.address() << "\"]\npath = \"/fleet\"\n";
    const pid_t child = fork();
    if (child == 0) {
        std::freopen((file_prefix + ".log").c_str(), "w", stderr);
        for (int fd = 3; fd < 1024; ++fd) close(fd);
        execl(BROOKRELAY_PROGRAM, BROOKRELAY_PROGRAM, "serve", "--config", (file_prefix + ".json").c_str(),
              "--operator", (file_prefix + ".toml").c_str(), nullptr);
        _exit(127);
    }
    boost::asio::executor_work_guard<Io::executor_type> guard(io.get_executor());
    std::thread loop([&] { io.run(); });
    const auto on_loop = [&](const std::function<void()>& function) {
        std::promise<void> done;
        boost::asio::post(io, [&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    };
    int asked = 0;
    const auto ask = [&](int count) {
        TestSocket line(own_loopback(), port);
        int served = 0;
        for (int i = 0; i < count && line.up(); ++i) {
            const std::string id = std::to_string(++asked);
            line.send("mg " + id + " v Oi" + id + " Pc=read,d=1000\r\n");
            const std::string first = line.until("\r\n");
            if (first.starts_with("VA ")) served += line.until("\r\n") == "hello\r\n" ? 1 : 0;
        }
        return served;
    };
    // Wait until both servers are known.
    for (int i = 0; i < 500 && (boxes[0].received_messages().empty() || boxes[1].received_messages().empty());
         ++i) {
        if (ask(4) == 0) std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    EXPECT_FALSE(boxes[0].received_messages().empty());
    EXPECT_FALSE(boxes[1].received_messages().empty());
    on_loop([&] { (void)server.service().remove("/fleet/box-0"); });
    const auto gone = std::chrono::steady_clock::now();
    std::size_t before = boxes[0].received_messages().size();
    double last = 0;
    for (int i = 0; i < 40; ++i) {
        EXPECT_EQ(ask(10), 10);
        if (boxes[0].received_messages().size() > before) {
            before = boxes[0].received_messages().size();
            last = std::chrono::duration<double>(std::chrono::steady_clock::now() - gone).count();
        }
    }
    EXPECT_LE(last, 0.3);
    on_loop([&] { (void)server.service().create(0, owner, "/fleet/box-0", data(0), true, false); });
    for (int i = 0; i < 500 && boxes[0].received_messages().size() == before; ++i) (void)ask(10);
    EXPECT_GT(boxes[0].received_messages().size(), before);
    kill(child, SIGTERM);
    int status = 0;
    waitpid(child, &status, 0);
    EXPECT_EQ(WEXITSTATUS(status), 0);
    guard.reset();
    io.stop();
    loop.join();
}

TEST(Registration, IsDecodedAndValidated) {
    const Names names{{"a"}, {"box"}, {}, {}};
    const Registration r = read_registration(
        R"({"address":"127.0.0.1:1","zone":"a","kind":"box","cell":3,"started_ms":2500})", names);
    EXPECT_EQ(r.address, "127.0.0.1:1");
    EXPECT_EQ(r.cell, 3);
    EXPECT_DOUBLE_EQ(r.started, 2.5);
    const std::pair<const char*, const char*> wrong[] = {
        {"", "not a JSON object"},
        {"[]", "not a JSON object"},
        {R"({"zone":"a","kind":"box"})", "address"},
        {R"({"address":"nowhere","zone":"a","kind":"box"})", "not an address"},
        {R"({"address":"127.0.0.1:1","zone":"z","kind":"box"})", "names the unknown 'z'"},
        {R"({"address":"127.0.0.1:1","zone":"a"})", "kind"}};
    for (const auto& [data, expected] : wrong) {
        try {
            (void)read_registration(data, names);
            ADD_FAILURE() << data;
        } catch (const ConfigurationError& error) {
            EXPECT_NE(std::string(error.what()).find(expected), std::string::npos) << error.what();
        }
    }
}

}  // namespace
