// A cache server takes seconds to give long values while the node is told to end. The platform kills nobody
// meanwhile. The clients get the values whole.
#include "kit2.h"

namespace {

constexpr std::size_t kLength = std::size_t{1024} * 1024, kPieces = 128;
constexpr double kSeconds = 6;   // that the cache server takes for a value
constexpr double kTermAt = 0.5;  // s after the requests
constexpr int kClients = 4;

void serve_cache(kit::Peer& peer) {
    kit::Request request;
    while (kit::read_command(peer, request)) {
        if (request.verb == "mn") {
            peer.send("MN\r\n");
            continue;
        }
        kit::record("cache server: begins the value for %s", request.id.c_str());
        bool is_taken = peer.send("VA " + std::to_string(kLength) + " O" + request.id + "\r\n");
        for (std::size_t i = 0; is_taken && i < kPieces; ++i) {
            is_taken = peer.send(std::string(kLength / kPieces, static_cast<char>('a' + i % 26)));
            std::this_thread::sleep_for(std::chrono::duration<double>(kSeconds / kPieces));
        }
        is_taken = is_taken && peer.send("\r\n");
        kit::record("cache server: %s for %s",
                    is_taken ? "has given the whole value" : "is cut off by the node", request.id.c_str());
        if (!is_taken) return;
    }
}

}  // namespace

int main(int argc, char** argv) {
    kit::begin(argc > 1 ? argv[1] : "record.txt");
    kit::Listener cache, origin;
    cache.start([](kit::Peer& peer, int) { serve_cache(peer); });
    origin.start([](kit::Peer& peer, int) {
        kit::Request request;
        while (kit::read_http(peer, request) && peer.send(kit::http(200, "origin"))) continue;
    });
    kit::Discovery discovery;
    discovery.hosts = {kit::Discovery::host("cache-1", cache.port, "box"),
                       kit::Discovery::host("origin", origin.port, "origin")};
    discovery.start();
    kit::Node node;
    node.prepare();
    kit::Config config;
    config.operations = R"(
  {"name":"status-check","repeat":"idempotent","group":"all","key_ttl_us":3000000,"client_timeout_us":5000000,
   "latency_objective_us":1500000,"tardy_billed_value":0.2})";
    node.write_config(config.text(node, discovery));
    node.start();
    if (!node.wait_ready(10)) kit::give_up("the node doesn't answer mn");

    std::atomic<int> whole{0}, cut{0}, other{0};
    std::vector<std::thread> clients;
    for (int c = 0; c < kClients; ++c)
        clients.emplace_back([&, c] {
            const auto peer = kit::dial(node.port);
            const std::string id = "r" + std::to_string(c);
            std::string line, value;
            kit::record("client: sends %s", id.c_str());
            if (peer == nullptr ||
                !peer->send("mg sim" + std::to_string(c) + " v O" + id + " Pc=status-check,d=4000\r\n") ||
                !peer->line(line, kit::now() + 2.4) || line != "VA " + std::to_string(kLength) + " O" + id) {
                kit::record("client: %s is answered: %s", id.c_str(), line.c_str());
                ++other;
                return;
            }
            const bool is_whole = peer->bytes(kLength + 2, value, kit::now() + kSeconds + 4);
            kit::record("client: %s is answered: %s, and %zu bytes, %s", id.c_str(), line.c_str(),
                        is_whole ? value.size() : peer->in.size(), is_whole ? "whole" : "cut off");
            ++(is_whole ? whole : cut);
        });
    kit::sleep_until(kit::now() + kTermAt);
    const double told = kit::now();
    if (kit::has_trouble()) {
        ::kill(node.pid, SIGTERM);
        kit::record("platform: SIGTERM to the node");
    }
    std::thread watch([&] {
        int status = 0;
        while (kit::now() < told + kSeconds + 1 && !node.has_ended(status))
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        if (node.pid < 0)
            kit::record("platform: the node has ended by itself, %.2f s after SIGTERM, status %d",
                        kit::now() - told, status);
    });
    for (std::thread& client : clients) client.join();
    watch.join();
    if (other > 0) kit::give_up("a request got another answer than a value");
    kit::finish(cut > 0 ? 1 : 0,
                std::to_string(whole) + " values came whole, " + std::to_string(cut) + " were cut off");
}
