// Validating reader for the operators' TOML files. It owns the parsed document and collects all errors in it:
// each has the file, the line, the path of the key and what was expected. A key that is never read is an
// error too. An invalid value yields the default so that reading can go on, so callers must call
// throw_if_invalid() or check errors() before they use any value.
#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace brookrelay {

// All errors of one file, one per line.
struct ConfigurationFileError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Formats one error of a file: FILE:LINE: PATH: WHAT
std::string format_error(const std::string& file, std::size_t line, const std::string& path,
                         const std::string& what);

// The known word with the smallest edit distance to `word`; empty if none is close enough for a suggestion.
std::string closest_match(std::string_view word, const std::vector<std::string>& known);

// Parses a number with a unit, such as "250ms", "3s", "1.5m", "2h" or "40us", into seconds. Returns false if
// `text` is anything else.
bool parse_duration(std::string_view text, double& seconds);
// Formats a duration with the unit that suits its length, as parse_duration() reads it.
std::string duration_text(double seconds);

// A parsed file with the errors found in it so far.
class TomlFile {
  public:
    // One table of the file. Reading a key marks it as known; unknown keys are reported as errors. A missing
    // table reads as an empty one. The readers return `default_value` for a missing or invalid value.
    class Table {
      public:
        // Reads a number from `min` to `max`.
        double number(const std::string& key, double default_value, double min, double max);
        std::int64_t whole(const std::string& key, std::int64_t default_value, std::int64_t min,
                           std::int64_t max);
        // Reads a string with a unit; the result and the bounds are in seconds.
        double duration(const std::string& key, double default_value, double min, double max);
        bool flag(const std::string& key, bool default_value);
        std::string text(const std::string& key, const std::string& default_value);
        // Reports a missing or empty string as an error.
        std::string required_text(const std::string& key);
        // The index of the value in `words`.
        std::size_t word(const std::string& key, std::size_t default_value,
                         const std::vector<std::string>& words);
        // An array of strings; empty if it is missing.
        std::vector<std::string> texts(const std::string& key);
        // Points of time in seconds and value, in ascending order of time: [["0s", 1.0], ["30s", 2.0]].
        std::vector<std::pair<double, double>> curve(const std::string& key);
        // Calls `read` for the table [key], also if it is missing.
        void table(const std::string& key, const std::function<void(Table&)>& read);
        // Calls `read` for each entry of the array of tables [[key]].
        void each(const std::string& key, const std::function<void(Table&)>& read);
        bool has(const std::string& key) const { return table_ != nullptr && table_->contains(key); }
        // Adds an error with the line of the key, or of the table if the key is missing.
        void add_error(const std::string& key, const std::string& what);
        std::size_t line_of(const std::string& key) const;
        const std::string& path() const { return path_; }

      private:
        friend class TomlFile;
        Table(TomlFile& file, const toml::table* table, std::string path)
            : file_(file), table_(table), path_(std::move(path)) {}
        const toml::node* find(const std::string& key);
        std::string path_of(const std::string& key) const { return path_.empty() ? key : path_ + "." + key; }
        void report_unknown_keys();
        bool check_range(const std::string& key, double value, double min, double max,
                         const std::function<std::string(double)>& to_text);

        TomlFile& file_;
        const toml::table* table_;
        std::string path_;
        std::set<std::string> known_keys_;
    };

    // Parses the file and throws ConfigurationFileError if it is missing or has a syntax error. Each of
    // `overrides` is "path.to.key=value" with a TOML value, and replaces the value in the file; `a.2.b` is
    // key `b` in the third entry of [[a]].
    explicit TomlFile(const std::string& path, const std::vector<std::string>& overrides = {});
    // Calls `read_root` for the root table, then reports the keys that it has not read.
    void read(const std::function<void(Table&)>& read_root);
    const std::vector<std::string>& errors() const { return errors_; }
    // Throws ConfigurationFileError with all errors, if there are any.
    void throw_if_invalid() const;
    // Whether the key `format` declares a scenario; other TOML files are operator configurations.
    bool is_scenario() const {
        return root_["format"].value<std::string>().value_or("").starts_with("scenario");
    }

  private:
    void apply_override(const std::string& assignment);
    std::string path_;
    toml::table root_;
    std::vector<std::string> errors_;
};

}  // namespace brookrelay
