// Bad clients send the first line of a long write to node n0, stop in the middle of its value and stay. Other
// clients send whole long writes to n0 meanwhile. Each must get its final answer in time. A client that has
// none when its time is over tries again at n1, with a new id and the same idempotency key.
#include "standin.h"

using namespace standin;

int main() {
    const std::string folder = open_case();
    Deployment deployment(3);
    deployment.origin.window = 3;
    deployment.start();
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < 2; ++i) {
        NodeOptions options;
        options.name = "n" + std::to_string(i);
        options.number = i;
        options.nodes = 2;
        options.memory_mb = 32;
        nodes.push_back(std::make_unique<Node>(options, deployment.discovery, folder));
        if (!nodes.back()->start()) end_case(2, "a node did not start");
    }

    constexpr int kBadClients = 2;
    std::vector<std::thread> threads;
    if (with_trouble()) {
        for (int i = 0; i < kBadClients; ++i) {
            threads.emplace_back([&nodes, i] {
                const std::string id = "bad" + std::to_string(i + 1);
                Reader in;
                in.fd = nodes[0]->connect_client();
                const double sent = now();
                send_all(in.fd, "ms bad-key 4000000 O" + id + " Pc=activation-submit,d=1600,k=" + id + "\r\n" +
                                    std::string(1000, 'x'));
                record("bad client %s: sent the first line of a write of 4000000 bytes and 1000 of them, stops",
                       id.c_str());
                const Answer answer = read_answer(in, sent + 20);
                record("bad client %s: %s (%s) after %.3f s; it is owed one within 3 s", id.c_str(),
                       name_of(answer.kind), answer.line.c_str(), answer.at - sent);
                close(in.fd);
            });
        }
        pause(0.2);
    }

    constexpr int kClients = 4, kMs = 1200;
    const std::string value(300'000, 'a');
    constexpr double kAllowed = kMs / 1e3 + 0.5 + 0.05;  // half a second after its time; 50 ms on sockets
    std::atomic<int> taken{0}, in_time{0}, late{0}, never{0};
    for (int i = 0; i < kClients; ++i) {
        threads.emplace_back([&, i] {
            const std::string mark = "mark" + std::to_string(i + 1), key = "sim-" + std::to_string(i + 1);
            const std::string id = "w" + std::to_string(i + 1) + "-1", again = "w" + std::to_string(i + 1) + "-2";
            Reader in;
            in.fd = nodes[0]->connect_client();
            if (!send_all(in.fd, write_command(key, value, id, kMs, mark))) return;
            const double sent = now();
            ++taken;
            record("client: sent the whole write %s of %zu bytes to n0, d=%d", id.c_str(), value.size(), kMs);
            Answer answer = read_answer(in, sent + kMs / 1e3);
            if (answer.kind == Answer::Kind::none) {
                record("client: %s has no answer in its time", id.c_str());
                std::thread([&, again, key, mark] {
                    pause(0.1);
                    Reader other;
                    other.fd = nodes[1]->connect_client();
                    send_all(other.fd, write_command(key, value, again, kMs, mark));
                    record("client: sent the write once more as %s to n1", again.c_str());
                    const Answer second = read_answer(other, now() + kMs / 1e3);
                    record("client: %s: %s (%s)", again.c_str(), name_of(second.kind), second.line.c_str());
                    close(other.fd);
                }).detach();
                answer = read_answer(in, sent + 12);
            }
            const double took = answer.at - sent;
            record("client: %s: %s (%s) after %.3f s", id.c_str(), name_of(answer.kind), answer.line.c_str(), took);
            if (answer.kind == Answer::Kind::none || answer.kind == Answer::Kind::closed) {
                ++never;
            } else if (took > kAllowed) {
                ++late;
            } else {
                ++in_time;
            }
            close(in.fd);
        });
    }
    for (std::thread& thread : threads) thread.join();
    int twice = 0;
    for (int i = 0; i < kClients; ++i) {
        const std::string mark = "mark" + std::to_string(i + 1);
        const std::vector<double> applied = deployment.origin.applied(mark);
        if (applied.size() < 2) continue;
        ++twice;
        record("k=%s was applied %zu times, %.3f s apart", mark.c_str(), applied.size(),
               applied.back() - applied.front());
    }
    bool ended = false;
    for (const auto& node : nodes) {
        ended = ended || node->has_ended();
        node->stop(4);
    }
    if (ended) end_case(2, "a node ended by itself");
    if (taken != kClients) end_case(2, "a write was not taken");
    const std::string counts = std::to_string(kClients) + " long writes taken, " + std::to_string(in_time.load()) +
                               " answered in time, " + std::to_string(late.load()) +
                               " later than half a second after their time, " + std::to_string(never.load()) +
                               " never; " + std::to_string(twice) + " applied twice";
    // What the clients try again by themselves is told, and does not decide.
    const bool broken = late + never > 0;
    end_case(broken ? 1 : 0, (broken ? "BROKEN: " : "HELD: ") + counts);
}
