// Clients read long values, more at once than memory holds; the origin gives them over HTTP without a length.
// The platform kills a node whose memory is over its limit, and what the node had taken is lost.
#include "standin.h"

using namespace standin;

int main() {
    const std::string folder = open_case();
    constexpr int kRounds = 20, kClients = 60, kMs = 4000, kMemoryMb = 48;
    constexpr long kLimitKb = kMemoryMb * 1024;
    const std::size_t size = with_trouble() ? 1'500'000 : 60'000;
    Deployment deployment(3);
    deployment.origin.no_length = true;
    deployment.origin.work = 0.03;
    deployment.origin.value_of = [size](const std::string& key) { return std::string(size, key.back()); };
    deployment.start();
    NodeOptions options;
    options.memory_mb = kMemoryMb;
    Node node(options, deployment.discovery, folder);
    if (!node.start()) end_case(2, "the node did not start");
    record("the node has %ld KB of its own, the limit is %ld KB", node.private_memory_kb(), kLimitKb);

    // The platform: looks a thousand times a second, counts only memory that no other process shares.
    std::atomic<bool> stop{false}, killed{false};
    std::atomic<long> most{0};
    std::thread platform([&] {
        while (!stop && !killed) {
            const long used = node.private_memory_kb();
            if (used > most) most = used;
            if (used > kLimitKb) {
                node.signal_process(SIGKILL);
                killed = true;
                record("platform: %ld KB are over the limit of %ld KB, the node is killed", used, kLimitKb);
            }
            pause(0.001);
        }
    });
    std::atomic<int> served{0}, refused{0}, failed{0}, lost{0};
    int sent_reads = 0;
    for (int round = 0; round < kRounds && !killed && now() < 80; ++round) {
        std::vector<std::thread> threads;
        for (int i = 0; i < kClients; ++i) {
            ++sent_reads;
            threads.emplace_back([&, round, i] {
                const std::string id = "r" + std::to_string(round + 1) + "-" + std::to_string(i + 1);
                Reader in;
                in.fd = node.connect_client();
                const double sent = now();
                if (!send_all(in.fd, read_command("key-" + id, id, kMs))) return;
                record("client: sent read %s of key-%s, d=%d", id.c_str(), id.c_str(), kMs);
                const Answer answer = read_answer(in, sent + kMs / 1e3 + 2);
                record("client: %s: %s, %zu bytes, after %.3f s", id.c_str(), name_of(answer.kind), answer.body.size(),
                       answer.at - sent);
                switch (answer.kind) {
                    case Answer::Kind::value: ++served; break;
                    case Answer::Kind::busy: ++refused; break;
                    case Answer::Kind::failed: ++failed; break;
                    default: ++lost;
                }
                close(in.fd);
            });
        }
        for (std::thread& thread : threads) thread.join();
        record("round %d: %d served so far, most memory so far %ld KB", round + 1, served.load(), most.load());
    }
    stop = true;
    platform.join();
    const bool ended = node.has_ended();
    node.stop(4);
    if (ended && !killed) end_case(2, "the node ended by itself");
    char counts[240];
    std::snprintf(counts, sizeof counts,
                  "%d reads of %zu bytes, %d at once, %d served, %d refused, %d failed, %d never answered; most memory %ld KB of "
                  "%ld KB, node %s",
                  sent_reads, size, kClients, served.load(), refused.load(), failed.load(), lost.load(), most.load(), kLimitKb,
                  killed ? "killed by the platform" : "kept its limit");
    end_case(killed ? 1 : 0, (killed ? "BROKEN: " : "HELD: ") + std::string(counts));
}
