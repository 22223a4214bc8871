// A daemon that is bad on purpose, for the judge to catch: a plain proxy by GW_CONFIG with a thread for each
// client, which does what BAD_DAEMON says ("" is none, the control). Nothing of the real daemon is in it.
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
    bool fresh = false;  // it has started anew
};

std::mutex mutex;
std::map<std::string, Server> servers;
std::atomic<int> commands{0};
std::string mode;

std::string host_of(const std::string& address) { return address.substr(0, address.find(':')); }
std::string port_of(const std::string& address) { return address.substr(address.find(':') + 1); }

void take_list(const std::string& text) {
    rapidjson::Document list;
    list.Parse(text.c_str());
    const std::lock_guard lock(mutex);
    for (const auto& h : list["hosts"].GetArray()) {
        Server& s = servers[h["host"].GetString()];
        s.fresh = h["born_ms"].GetInt64() > 0;
        if (mode == "drained" && !s.address.empty()) continue;  // it never hears that one drains
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
        take_list(body);
    }
}

std::string choose(const std::string& key, bool origin) {
    const std::lock_guard lock(mutex);
    std::string chosen, drained;
    std::size_t best = 0;
    for (const auto& [name, s] : servers) {
        if (s.origin != origin) continue;
        if (mode == "pusher" && s.fresh && s.health == "SERVING") return s.address;
        if (s.health != "SERVING") continue;
        const std::size_t weight = std::hash<std::string>{}(name + key);
        if (chosen.empty() || weight > best) chosen = s.address, best = weight;
    }
    return chosen;
}

struct Asked {
    std::chrono::steady_clock::time_point came = std::chrono::steady_clock::now();
    std::string line, key, id, list, value;
    bool write = false;
};

// The text with its `d` lowered by the time since the command came: of all rules only the planted one is
// broken.
std::string with_time_left(const std::string& text, std::chrono::steady_clock::time_point came) {
    const std::size_t at = text.find(",d=");
    if (at == std::string::npos) return text;
    const std::size_t from = at + 3, end = std::min(text.find_first_of(", \r", from), text.size());
    const auto passed = std::chrono::steady_clock::now() - came;
    const long long left = std::stoll(text.substr(from, end - from)) -
                           std::chrono::duration_cast<std::chrono::milliseconds>(passed).count();
    return text.substr(0, from) + std::to_string(std::max(1LL, left)) + text.substr(end);
}

// "" if it was no hit.
std::string from_cache(const Asked& a) {
    const std::string address = choose(a.key, false);
    Stream s(host_of(address), port_of(address));
    s.expires_after(std::chrono::milliseconds(400));
    s << with_time_left(a.line, a.came) << "\r\n" << std::flush;
    std::string head;
    std::getline(s, head);
    if (!head.starts_with("VA ")) return "";
    std::string value(std::stoul(head.substr(3)), ' ');
    s.read(value.data(), static_cast<std::streamsize>(value.size()));
    return s ? value : "";
}

std::string from_origin(const Asked& a) {
    const std::string address = choose(a.key, true);
    Stream s(host_of(address), port_of(address));
    s.expires_after(std::chrono::milliseconds(600));
    s << (a.write ? "PUT /" : "GET /") << a.key << " HTTP/1.1\r\nHost: o\r\nX-Trace-Id: " << a.id
      << "\r\nX-Props: " << with_time_left(a.list, a.came) << "\r\nContent-Length: " << a.value.size()
      << "\r\n\r\n"
      << a.value << std::flush;
    std::string line;
    std::getline(s, line);
    const bool good = line.starts_with("HTTP/1.1 200");
    std::size_t length = 0;
    while (std::getline(s, line) && line != "\r") {
        if (line.starts_with("Content-Length: ")) length = std::stoul(line.substr(16));
    }
    std::string body(length, ' ');
    s.read(body.data(), static_cast<std::streamsize>(length));
    return s && good ? body : "";
}

std::string answer_to(const Asked& a) {
    const int number = ++commands;
    const bool struck = number % 40 == 0;
    std::string value = a.write ? "" : from_cache(a);
    if (value.empty()) value = from_origin(a);
    const bool once = a.write && a.list.find("k=") == std::string::npos;
    if (mode == "repeat" && once) value = from_origin(a);
    if (mode == "throttle" && once) return "SERVER_ERROR busy\r\n";
    if (mode == "mute" && struck) return "";
    if (mode == "late" && struck) std::this_thread::sleep_for(std::chrono::milliseconds(1800));
    if (value.empty()) return "SERVER_ERROR failed\r\n";
    if (mode == "liar" && struck) value = "f0;v0;k0000000000000000;";
    std::string text = a.write ? "HD O" + a.id + " c" + value + "\r\n"
                               : "VA " + std::to_string(value.size()) + " O" + a.id + "\r\n" + value + "\r\n";
    if (mode == "twice" && struck) text += "SERVER_ERROR failed\r\n";
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
        Asked a;
        a.line = line;
        std::istringstream words(line);
        std::string verb, word;
        words >> verb >> a.key;
        a.write = verb == "ms";
        if (a.write) {
            std::size_t length = 0;
            words >> length;
            a.value.resize(length + 2);
            s.read(a.value.data(), static_cast<std::streamsize>(length + 2));
            a.value.resize(length);
        }
        while (words >> word) {
            if (word.front() == 'O') a.id = word.substr(1);
            if (word.front() == 'P') a.list = word.substr(1);
        }
        s << answer_to(a) << std::flush;
        if (mode == "after" && commands % 40 == 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(150));
            (void)from_cache(a);
        }
        if (mode == "hangup" && commands % 40 == 0) return;
        if (mode == "crash" && commands > 200) std::abort();
    }
}

}  // namespace

int main() {
    const char* wanted = std::getenv("BAD_DAEMON");
    mode = wanted == nullptr ? "" : wanted;
    std::ifstream file(std::getenv("GW_CONFIG"));
    std::ostringstream text;
    text << file.rdbuf();
    rapidjson::Document told;
    told.Parse(text.str().c_str());
    rapidjson::Document list;
    list.CopyFrom(told["known"], list.GetAllocator());
    for (const auto& h : list["hosts"].GetArray()) {
        servers[h["host"].GetString()] = {h["dial"].GetString(), h["health"].GetString(),
                                          std::string(h["class"].GetString()) == "origin", false};
    }
    const std::string discovery = told["discovery"].GetString();
    std::thread([discovery, version = list["seq"].GetInt64()] {
        follow_discovery(discovery, version);
    }).detach();
    const std::string listen = told["listen"].GetString();
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor(io, {boost::asio::ip::make_address(host_of(listen)),
                                                 static_cast<unsigned short>(std::stoul(port_of(listen)))});
    while (true) {
        auto* stream = new Stream;  // lives as long as its thread, which nobody waits for
        acceptor.accept(stream->socket());
        std::thread([stream] {
            serve(*stream);
            delete stream;
        }).detach();
    }
}
