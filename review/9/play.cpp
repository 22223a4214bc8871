// A client sends many writes at once and leaves early. No attempt for it begins more than 0.1 s, and 50 ms of
// slack, after it has closed its connection.
#include "kit2.h"

namespace {

constexpr int kCommands = 96;
constexpr std::size_t kBytes = 60000;  // of each value
constexpr double kLeavesAfter = 0.2;   // s from the first byte that the client sends
constexpr double kAllowed = 0.15;      // s after the close: 0.1, and the 50 ms of the protocol page
constexpr double kWork = 0.085,
                 kLongWork = 0.6;  // s; one write of eight takes the origin longer, 0.15 in the mean

struct World {
    std::mutex mutex;
    std::map<std::string, double> begun;  // when the last byte of an attempt came to the origin, by id
};

void serve_origin(kit::Peer& peer, World& world) {
    kit::Request request;
    while (kit::read_http(peer, request)) {
        {
            const std::lock_guard<std::mutex> lock(world.mutex);
            world.begun[request.id] = kit::now();
        }
        kit::record("origin: begins %s, %zu bytes, d=%s", request.id.c_str(), request.value.size(),
                    request.prop("d").c_str());
        const int number = std::atoi(request.id.c_str() + 1);
        std::this_thread::sleep_for(std::chrono::duration<double>(number % 8 == 1 ? kLongWork : kWork));
        if (!peer.send(kit::http(200, "r" + request.id))) return;
    }
}

}  // namespace

int main(int argc, char** argv) {
    kit::begin(argc > 1 ? argv[1] : "record.txt");
    World world;
    kit::Listener cache, origin;
    cache.start([](kit::Peer& peer, int) {
        kit::Request request;
        while (kit::read_command(peer, request) &&
               peer.send(request.verb == "mn" ? std::string("MN\r\n") : "EN O" + request.id + "\r\n"))
            continue;
    });
    origin.start([&](kit::Peer& peer, int) { serve_origin(peer, world); });
    kit::Discovery discovery;
    discovery.hosts = {kit::Discovery::host("cache-1", cache.port, "box"),
                       kit::Discovery::host("origin", origin.port, "origin")};
    discovery.start();
    kit::Node node;
    node.prepare();
    kit::Config config;
    config.operations = R"(
  {"name":"status-check","repeat":"idempotent","group":"all","key_ttl_us":3000000,"client_timeout_us":5000000,
   "latency_objective_us":1500000,"tardy_billed_value":0.2},
  {"name":"activation-submit","repeat":"deduplicated","group":"all","key_ttl_us":3000000,
   "client_timeout_us":2000000,"latency_objective_us":1000000,"tardy_billed_value":0.2})";
    node.write_config(config.text(node, discovery));
    node.start();
    if (!node.wait_ready(10)) kit::give_up("the node doesn't answer mn");

    std::string text;
    for (int i = 0; i < kCommands; ++i)
        text += "ms sim" + std::to_string(i) + " " + std::to_string(kBytes) + " Ow" + std::to_string(i) +
                " Pc=activation-submit,d=1600,k=w" + std::to_string(i) + "\r\n" + std::string(kBytes, 'x') +
                "\r\n";
    const auto client = kit::dial(node.port);
    if (client == nullptr) kit::give_up("no connection to the node");
    const bool leaves = kit::has_trouble();
    const double begun = kit::now();
    const double end = begun + (leaves ? kLeavesAfter : 6);
    std::size_t sent = 0;
    int answers = 0;
    kit::record("client: sends %d writes of %zu bytes at once", kCommands, kBytes);
    while (kit::now() < end && answers < kCommands) {
        sent += client->send_some(std::string_view(text).substr(sent));
        client->more(std::min(end, kit::now() + 0.002));  // it reads its answers
        std::string line;
        while (client->in.find("\r\n") != std::string::npos && client->line(line, kit::now())) {
            ++answers;
            kit::record("client: is answered: %s", line.c_str());
        }
    }
    client->close_now();
    const double closed = kit::now();
    kit::record("client: closes; it had sent %zu of %zu bytes and read %d answers", sent, text.size(),
                answers);
    kit::sleep_until(closed + 5);

    const std::lock_guard<std::mutex> lock(world.mutex);
    if (world.begun.size() < 4) kit::give_up("too few attempts to judge");
    if (!leaves && answers < kCommands) kit::give_up("not all writes were answered");
    int late = 0;
    double latest = 0;
    for (const auto& [id, time] : world.begun) {
        if (time <= closed + kAllowed) continue;
        ++late;
        latest = std::max(latest, time - closed);
        kit::record("broken: %s begins at the origin %.3f s after its client's close", id.c_str(),
                    time - closed);
    }
    kit::finish(late > 0 ? 1 : 0, std::to_string(world.begun.size()) + " attempts, " + std::to_string(late) +
                                      " begin more than 0.15 s after the close, the last one " +
                                      std::to_string(latest) + " s after it");
}
