// Following over sockets: `brookrelay registry watch` against the stand-in coordinator, with what goes wrong.
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

#include "coordinator_server.h"
#include "json.h"
#include "registration.h"

namespace {

using namespace brookrelay;
using namespace brookrelay::kit;

class Watched {
  public:
    Watched() : guard_(io_.get_executor()), server_(io_, clock_, own_loopback()), thread_([this] { io_.run(); }) {
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
            for (int fd = 3; fd < 1024; ++fd) close(fd);  // the server's sockets are not the watcher's
            execl(BROOKRELAY_PROGRAM, BROOKRELAY_PROGRAM, "registry", "watch", "--address", address.c_str(), "--path", "/fleet",
                  "--session", "1.5", nullptr);
            _exit(127);
        }
    }
    ~Watched() {
        kill(child_, SIGTERM);
        waitpid(child_, nullptr, 0);
        guard_.reset();
        io_.stop();
        thread_.join();
    }
    void on_loop(const std::function<void()>& what) {
        std::promise<void> done;
        boost::asio::post(io_, [&] {
            what();
            done.set_value();
        });
        done.get_future().wait();
    }
    void add(const std::string& name) {
        on_loop([&] {
            (void)server_.service().create(clock_.now(), owner_, "/fleet/" + name,
                                           R"({"address":"127.0.0.1:11411","zone":"a","kind":"box"})", true, false);
        });
    }
    void drop(const std::string& name) {
        on_loop([&] { (void)server_.service().remove("/fleet/" + name); });
    }
    // Waits for it; false if it never comes.
    bool says(const std::string& text, const char* where = ".out") {
        for (int i = 0; i < 1000; ++i) {
            std::ifstream file(path_ + where);
            if (std::string(std::istreambuf_iterator<char>(file), {}).find(text) != std::string::npos) return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    }
    CoordinatorServer& server() { return server_; }

  private:
    Io io_;
    Clock clock_;
    boost::asio::executor_work_guard<Io::executor_type> guard_;
    CoordinatorServer server_;
    std::thread thread_;
    std::int64_t owner_ = 0;
    pid_t child_ = 0;
    std::string path_;
};

TEST(Registry, FollowsThroughWhatGoesWrong) {
    Watched w;
    w.add("box-1");
    w.add("box-2");
    EXPECT_TRUE(w.says("cold box-1 127.0.0.1:11411\n") && w.says("cold box-2"));
    w.drop("box-1");
    EXPECT_TRUE(w.says("gone box-1"));
    w.on_loop([&] { w.server().unreachable(true); });
    EXPECT_TRUE(w.says("registry: connection lost", ".err"));
    w.add("box-3");
    w.on_loop([&] { w.server().unreachable(false); });
    EXPECT_TRUE(w.says("cold box-3"));
    w.on_loop([&] { w.server().garble(); });
    w.add("box-4");
    EXPECT_TRUE(w.says("cold box-4"));
    w.on_loop([&] { w.server().silence(true); });
    EXPECT_TRUE(w.says("it says nothing", ".err"));
    w.add("box-5");
    w.on_loop([&] { w.server().silence(false); });
    EXPECT_TRUE(w.says("cold box-5"));
}

TEST(Registration, IsReadAndChecked) {
    const Names names{{"a"}, {"box"}, {}, {}};
    const Registration r = read_registration(R"({"address":"127.0.0.1:1","zone":"a","kind":"box","cell":3,"started_ms":2500})", names);
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
    for (const auto& [data, said] : wrong) {
        try {
            (void)read_registration(data, names);
            ADD_FAILURE() << data;
        } catch (const BadInput& bad) {
            EXPECT_NE(std::string(bad.what()).find(said), std::string::npos) << bad.what();
        }
    }
}

}  // namespace
