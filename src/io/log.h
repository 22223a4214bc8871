// The node's log: one line an event on standard error, by topic, so many a second each, as text for people or
// as one JSON object a line. It owns the counts of what it held back, and must never stop or slow the node: a
// trouble that strikes each invocation would otherwise write faster than anyone reads.
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

enum class Topic { node, client, cache, origin, discovery, policy, count };

class Log {
  public:
    static constexpr int kDefaultLinesPerSecond = 10;
    explicit Log(std::string name, bool json = false, int lines_a_second = kDefaultLinesPerSecond);
    // `event` is one word, listed in docs/oncall.md, and the same in every line of its kind.
    void line(Topic topic, std::string_view event, std::string_view text);

  private:
    struct Rate {
        std::int64_t second = -1;
        int written = 0;
        std::uint64_t suppressed = 0;
    };
    void write(Topic topic, std::string_view event, std::string_view text);

    std::string name_;
    bool json_;
    int lines_per_second_;
    std::shared_ptr<spdlog::logger> out_;
    std::array<Rate, static_cast<std::size_t>(Topic::count)> rates_;
};

}  // namespace brookrelay
