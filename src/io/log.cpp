#include "io/log.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <chrono>

namespace brookrelay {
namespace {

constexpr std::size_t kMaxTextBytes = 300;
constexpr std::array<const char*, static_cast<std::size_t>(Topic::count)> kTopicNames{
    "node", "client", "cache", "origin", "discovery", "policy", "guard", "request"};

// Truncates the text and replaces control characters, and with `ascii` all others outside printable ASCII:
// text from clients and servers must not be able to forge a log line or break the JSON.
std::string sanitize(std::string_view text, bool ascii) {
    std::string out(text.substr(0, kMaxTextBytes));
    for (char& c : out) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < 0x20 || (ascii && byte > 0x7e)) c = '?';
    }
    return out;
}

}  // namespace

Log::Log(std::string name, bool json, int lines_per_second)
    : name_(std::move(name)),
      json_(json),
      lines_per_second_(lines_per_second),
      out_(std::make_shared<spdlog::logger>("log", std::make_shared<spdlog::sinks::stderr_sink_st>())) {
    out_->set_pattern("%v");
    out_->flush_on(spdlog::level::trace);
}

Log::Rate& Log::current_rate(Topic topic) {
    const auto uptime = std::chrono::steady_clock::now().time_since_epoch();
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(uptime).count();
    Rate& rate = rates_[static_cast<std::size_t>(topic)];
    if (second != rate.second) {
        const std::uint64_t suppressed = rate.suppressed;
        rate = {second, 0, 0};
        if (suppressed > 0) write(topic, "held_back", std::to_string(suppressed) + " log lines suppressed");
    }
    return rate;
}

bool Log::admits(Topic topic) {
    Rate& rate = current_rate(topic);
    if (rate.written < lines_per_second_) return true;
    ++rate.suppressed;
    return false;
}

void Log::line(Topic topic, std::string_view event, std::string_view text) {
    Rate& rate = current_rate(topic);
    if (rate.written >= lines_per_second_) {
        ++rate.suppressed;
        return;
    }
    ++rate.written;
    write(topic, event, text);
}

void Log::write(Topic topic, std::string_view event, std::string_view text) {
    const char* topic_name = kTopicNames[static_cast<std::size_t>(topic)];
    if (!json_) {
        out_->info("{} {}: {}", name_, topic_name, sanitize(text, false));
        return;
    }
    const auto wall_time = std::chrono::system_clock::now().time_since_epoch();
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> json(buffer);
    const auto put = [&](const char* key, std::string_view value) {
        json.Key(key);
        json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
    };
    json.StartObject();
    json.Key("time_ms");
    json.Int64(std::chrono::duration_cast<std::chrono::milliseconds>(wall_time).count());
    put("node", name_);
    put("topic", topic_name);
    put("event", event);
    put("text", sanitize(text, true));
    json.EndObject();
    out_->info("{}", std::string_view(buffer.GetString(), buffer.GetSize()));
}

}  // namespace brookrelay
