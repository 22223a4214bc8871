// A deliberately faulty daemon that the auditor must report: a simple proxy that reads GW_CONFIG and has a
// thread for each client. BAD_DAEMON selects its fault ("" is none, the control). It shares no code with the
// real daemon.
#include <rapidjson/document.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>

namespace {

using Stream = boost::asio::ip::tcp::iostream;

struct Server {
    std::string address, health;
    bool origin = false;
    bool has_restarted = false;  // it has started since the run began
};

std::mutex mutex;
std::map<std::string, Server> servers;
std::atomic<int> command_count{0};
std::string mode;

std::string host_of(const std::string& address) { return address.substr(0, address.find(':')); }
std::string port_of(const std::string& address) { return address.substr(address.find(':') + 1); }

void apply_list(const std::string& text) {
    rapidjson::Document list;
    list.Parse(text.c_str());
    const std::lock_guard lock(mutex);
    for (const auto& h : list["hosts"].GetArray()) {
        Server& s = servers[h["host"].GetString()];
        s.has_restarted = h["born_ms"].GetInt64() > 0;
        if (mode == "drained" && !s.address.empty()) continue;  // ignores that a server drains
        s.address = h["dial"].GetString();
        s.health = h["health"].GetString();
        s.origin = std::string(h["class"].GetString()) == "origin";
    }
}

void follow_discovery(const std::string& address, long long version) {
    while (true) {
        Stream s(host_of(address), port_of(address));
        s << "GET /discovery/hosts?index=" << version << "&wait=20000 HTTP/1.1\r\nHost: d\r\n\r\n"
          << std::flush;
        std::string line;
        std::size_t length = 0;
        while (std::getline(s, line) && line != "\r") {
            if (line.starts_with("Content-Length: ")) length = std::stoul(line.substr(16));
        }
        std::string body(length, ' ');
        s.read(body.data(), static_cast<std::streamsize>(length));
        if (!s || length == 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            continue;
        }
        rapidjson::Document list;
        list.Parse(body.c_str());
        version = list["seq"].GetInt64();
        apply_list(body);
    }
}

std::string choose_server(const std::string& key, bool origin) {
    const std::lock_guard lock(mutex);
    std::string chosen, drained;
    std::size_t best = 0;
    for (const auto& [name, s] : servers) {
        if (s.origin != origin) continue;
        if (mode == "pusher" && s.has_restarted && s.health == "SERVING") return s.address;
        if (s.health != "SERVING") continue;
        const std::size_t weight = std::hash<std::string>{}(name + key);
        if (chosen.empty() || weight > best) chosen = s.address, best = weight;
    }
    return chosen;
}

struct ClientCommand {
    std::chrono::steady_clock::time_point received_at = std::chrono::steady_clock::now();
    std::string line, key, id, properties, value;
    bool write = false;
};

// Returns the text with its `d` reduced by the time since the command arrived, so that only the planted fault
// breaks a rule.
std::string with_remaining_deadline(const std::string& text,
                                    std::chrono::steady_clock::time_point received_at) {
    const std::size_t at = text.find(",d=");
    if (at == std::string::npos) return text;
    const std::size_t from = at + 3, end = std::min(text.find_first_of(", \r", from), text.size());
    const auto elapsed = std::chrono::steady_clock::now() - received_at;
    const long long left = std::stoll(text.substr(from, end - from)) -
                           std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count();
    return text.substr(0, from) + std::to_string(std::max(1LL, left)) + text.substr(end);
}

// Returns the value, or "" if the response is not a hit.
std::string read_from_cache(const ClientCommand& command) {
    const std::string address = choose_server(command.key, false);
    Stream s(host_of(address), port_of(address));
    s.expires_after(std::chrono::milliseconds(400));
    s << with_remaining_deadline(command.line, command.received_at) << "\r\n" << std::flush;
    std::string head;
    std::getline(s, head);
    if (!head.starts_with("VA ")) return "";
    std::string value(std::stoul(head.substr(3)), ' ');
    s.read(value.data(), static_cast<std::streamsize>(value.size()));
    return s ? value : "";
}

std::string send_to_origin(const ClientCommand& command) {
    const std::string address = choose_server(command.key, true);
    Stream s(host_of(address), port_of(address));
    s.expires_after(std::chrono::milliseconds(600));
    s << (command.write ? "PUT /" : "GET /") << command.key
      << " HTTP/1.1\r\nHost: o\r\nX-Trace-Id: " << command.id
      << "\r\nX-Props: " << with_remaining_deadline(command.properties, command.received_at)
      << "\r\nContent-Length: " << command.value.size() << "\r\n\r\n"
      << command.value << std::flush;
    std::string line;
    std::getline(s, line);
    const bool succeeded = line.starts_with("HTTP/1.1 200");
    std::size_t length = 0;
    while (std::getline(s, line) && line != "\r") {
        if (line.starts_with("Content-Length: ")) length = std::stoul(line.substr(16));
    }
    std::string body(length, ' ');
    s.read(body.data(), static_cast<std::streamsize>(length));
    return s && succeeded ? body : "";
}

std::string respond_to(const ClientCommand& command) {
    const int number = ++command_count;
    const bool is_selected = number % 40 == 0;
    std::string value = command.write ? "" : read_from_cache(command);
    if (value.empty()) value = send_to_origin(command);
    const bool is_non_idempotent = command.write && command.properties.find("k=") == std::string::npos;
    if (mode == "repeat" && is_non_idempotent) value = send_to_origin(command);
    if (mode == "throttle" && is_non_idempotent) return "SERVER_ERROR busy\r\n";
    if (mode == "mute" && is_selected) return "";
    if (mode == "late" && is_selected) std::this_thread::sleep_for(std::chrono::milliseconds(1800));
    if (value.empty()) return "SERVER_ERROR failed\r\n";
    if (mode == "liar" && is_selected) value = "f0;v0;k0000000000000000;";
    std::string text =
        command.write ? "HD O" + command.id + " c" + value + "\r\n"
                      : "VA " + std::to_string(value.size()) + " O" + command.id + "\r\n" + value + "\r\n";
    if (mode == "twice" && is_selected) text += "SERVER_ERROR failed\r\n";
    return text;
}

void serve(Stream& s) {
    std::string line;
    while (std::getline(s, line)) {
        if (line.ends_with('\r')) line.pop_back();
        if (line == "mn") {
            s << "MN\r\n" << std::flush;
            continue;
        }
        ClientCommand command;
        command.line = line;
        std::istringstream words(line);
        std::string verb, word;
        words >> verb >> command.key;
        command.write = verb == "ms";
        if (command.write) {
            std::size_t length = 0;
            words >> length;
            command.value.resize(length + 2);
            s.read(command.value.data(), static_cast<std::streamsize>(length + 2));
            command.value.resize(length);
        }
        while (words >> word) {
            if (word.front() == 'O') command.id = word.substr(1);
            if (word.front() == 'P') command.properties = word.substr(1);
        }
        s << respond_to(command) << std::flush;
        if (mode == "after" && command_count % 40 == 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(150));
            (void)read_from_cache(command);
        }
        if (mode == "hangup" && command_count % 40 == 0) return;
        if (mode == "crash" && command_count > 200) std::abort();
    }
}

}  // namespace

int main() {
    const char* wanted_mode = std::getenv("BAD_DAEMON");
    mode = wanted_mode == nullptr ? "" : wanted_mode;
    std::ifstream file(std::getenv("GW_CONFIG"));
    std::ostringstream text;
    text << file.rdbuf();
    rapidjson::Document configuration;
    configuration.Parse(text.str().c_str());
    rapidjson::Document list;
    list.CopyFrom(configuration["known"], list.GetAllocator());
    for (const auto& h : list["hosts"].GetArray()) {
        servers[h["host"].GetString()] = {h["dial"].GetString(), h["health"].GetString(),
                                          std::string(h["class"].GetString()) == "origin", false};
    }
    const std::string discovery = configuration["discovery"].GetString();
    std::thread([discovery, version = list["seq"].GetInt64()] {
        follow_discovery(discovery, version);
    }).detach();
    const std::string listen = configuration["listen"].GetString();
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor(io, {boost::asio::ip::make_address(host_of(listen)),
                                                 static_cast<unsigned short>(std::stoul(port_of(listen)))});
    while (true) {
        auto* stream = new Stream;  // deleted by its thread, which is detached
        acceptor.accept(stream->socket());
        std::thread([stream] {
            serve(*stream);
            delete stream;
        }).detach();
    }
}
