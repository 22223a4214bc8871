// The node's log: one line per event on standard error, as plain text or as one JSON object per line.
//
// The number of lines per topic and second is limited, because a fault that affects every request would
// otherwise slow the node down. The number of suppressed lines is logged in the next second in which the
// topic has an event. Log owns its counters and its spdlog logger. It reports no errors and is used from one
// thread.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace spdlog {
class logger;
}

namespace brookrelay {

/// The topic of a log line; `count` is the number of topics.
enum class Topic { node, client, cache, origin, discovery, policy, guard, request, count };

/// Writes rate-limited log lines.
class Log {
  public:
    static constexpr int kDefaultLinesPerSecond = 10;
    explicit Log(std::string name, bool json = false, int lines_per_second = kDefaultLinesPerSecond);
    /// Writes one line unless the topic's limit is reached. `event` is one word, listed in docs/oncall.md,
    /// that identifies the kind of line. `text` is truncated and its control characters are replaced.
    void line(Topic topic, std::string_view event, std::string_view text);
    /// Returns whether a line of the topic would be written now, so that the caller can skip formatting a
    /// suppressed line. If false, the line is counted as suppressed.
    bool admits(Topic topic);

  private:
    struct Rate {
        std::int64_t second = -1;
        int written = 0;
        std::uint64_t suppressed = 0;
    };
    Rate& current_rate(Topic topic);
    void write(Topic topic, std::string_view event, std::string_view text);

    std::string name_;
    bool json_;
    int lines_per_second_;
    std::shared_ptr<spdlog::logger> out_;
    std::array<Rate, static_cast<std::size_t>(Topic::count)> rates_;
};

}  // namespace brookrelay
