// The node as its operators meet it: their address, a new process in the place of the old one.
#include "fleet.h"

namespace {

using namespace brookrelay::kit;

Around run_by_operators() {
    Around around;
    around.managed = true;
    return around;
}

void operators_calls_and_what_is_none() {
    Fleet fleet(1, run_by_operators());
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
        assert(Fleet::call(fleet.management(), c.method, c.target) == c.status);
    for (const std::string& text :
         {std::string("nonsense\r\n"), std::string("GET /control/ready SPDY/3\r\n\r\n"), std::string(5000, 'x'),
          std::string("GET /control/ready HTTP/1.1\r\nno field\r\n\r\n"),
          "GET /control/ready HTTP/1.1\r\nA: " + std::string(5000, 'x')}) {
        Line line(own_loopback(), fleet.management());
        line.send(text);
        assert(line.until("\r\n") == "HTTP/1.1 400 Bad Request\r\n");
    }
}

// Who connects and finishes no call holds up nobody, however many they are, nor at the limit of descriptors.
void who_finishes_no_call_holds_up_nobody() {
    Around around = run_by_operators();
    around.descriptors = 64;
    Fleet fleet(1, around);
    fleet.caches.front().plays(silent);
    std::list<Line> lines;
    for (int k = 0; k < 60; ++k) {
        lines.emplace_back(own_loopback(), fleet.port());
        lines.back().send(read_of("7f3a", "w" + std::to_string(k)));
    }
    std::list<Line> mute;
    for (int k = 0; k < 12; ++k) {
        mute.emplace_back(own_loopback(), fleet.management());
        if (k % 2 == 0) mute.back().send("POST /control/cache-ser");
    }
    for (int k = 0; k < 5; ++k) assert(Fleet::call(fleet.management(), "GET", "/control/ready") == 200);
}

// Two processes on one listener: what the old one has it answers, whoever comes later meets the new one.
void a_new_process_takes_the_place_of_the_old_one() {
    Around around = run_by_operators();
    around.inherited = true;
    Fleet fleet(1, around);
    std::atomic<bool> go{false};
    fleet.caches.front().plays([&go](const std::string& m) {
        while (id_in(m) == "held" && !go) std::this_thread::sleep_for(std::chrono::milliseconds(1));
        return hit(m);
    });
    Line idle(own_loopback(), fleet.port());
    idle.send("mn\r\n");
    assert(idle.until("\r\n") == "MN\r\n");
    Line held(own_loopback(), fleet.port());
    held.send(read_of("7f3a", "held") + read_of("7f3a", "behind"));
    Line half(own_loopback(), fleet.port());
    half.send("mg 7f3a v Ohalf Pc=re");
    wait_for([&] { return !fleet.caches.front().heard().empty(); });
    Process next = fleet.second();
    wait_for([&] { return Fleet::call(next.management, "GET", "/control/ready") == 200; });
    assert(Fleet::call(fleet.management(), "GET", "/control/ready") == 200);
    fleet.signal(SIGTERM);
    assert(idle.closed_by_peer());
    assert(Fleet::call(fleet.management(), "GET", "/control/ready") == 503);
    for (int k = 0; k < 20; ++k) {
        const std::string id = "n" + std::to_string(k);
        assert(fleet.ask(read_of("k" + std::to_string(k), id)) == "VA 5 O" + id + "\r\n");
    }
    half.send("ad,d=900\r\n");
    assert(half.until("hello\r\n") == "VA 5 Ohalf\r\nhello\r\n" && half.closed_by_peer());
    assert(fleet.alive());
    go = true;
    assert(held.until("hello\r\n") == "VA 5 Oheld\r\nhello\r\n");
    assert(held.until("hello\r\n") == "VA 5 Obehind\r\nhello\r\n" && held.closed_by_peer());
    assert(fleet.exit_code() == 0);
    assert(fleet.ask(read_of("last", "l1")) == "VA 5 Ol1\r\n");
}

// A second process that is killed, or cannot start, leaves the first one serving.
void a_second_process_that_fails_leaves_the_first() {
    Around around = run_by_operators();
    around.inherited = true;
    Fleet fleet(1, around);
    Process next = fleet.second();
    wait_for([&] { return Fleet::call(next.management, "GET", "/control/ready") == 200; });
    next.daemon->kill();
    for (int k = 0; k < 5; ++k) assert(fleet.ask("mn\r\n") == "MN\r\n");
    int fd[2];
    assert(pipe(fd) == 0);
    Daemon wrong({BROOKRELAY_PROGRAM, "/tmp", next_name(), -1, fd[0]});
    wrong.configure(fleet.told_with("\"pushed\"", "\"pushed\""));
    wrong.start();
    wait_for([&] { return !wrong.running(); });
    assert(wrong.exit_code() == 1 && fleet.ask("mn\r\n") == "MN\r\n");
    std::ifstream log(wrong.log_path());
    const std::string said(std::istreambuf_iterator<char>(log), {});
    assert(said.find("GW_ACCEPT_FD: descriptor 5 is no listening socket") != std::string::npos);
}

}  // namespace

int main() {
    operators_calls_and_what_is_none();
    who_finishes_no_call_holds_up_nobody();
    a_new_process_takes_the_place_of_the_old_one();
    a_second_process_that_fails_leaves_the_first();
}
