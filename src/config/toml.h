// Checked reading of the operators' TOML files. It owns the parsed document and the list of what is wrong
// with it: each complaint has the file, the line, the key's path, and what was expected there, and a key that
// nobody asked for is one too. It never stops at the first and never fills in a default for what was given
// but is wrong: whoever reads must look at complaints() before using anything.
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

// Every complaint about one file, a line each.
struct ConfigurationFileError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// One complaint's form, shared by every reader: FILE:LINE: PATH: WHAT
std::string format_error(const std::string& file, std::size_t line, const std::string& path,
                         const std::string& what);

// The known word nearest to `word`, or empty if none is near enough to be meant.
std::string closest_match(std::string_view word, const std::vector<std::string>& known);

// "250ms", "3s", "1.5m", "2h", "40us" as seconds; false: it is no duration with its unit.
bool parse_duration(std::string_view text, double& seconds);
std::string duration_text(double seconds);

class TomlFile {
  public:
    // One table of the file; asking for a key makes it known.
    class Table {
      public:
        double number(const std::string& key, double default_value, double min, double max);
        std::int64_t whole(const std::string& key, std::int64_t default_value, std::int64_t min,
                           std::int64_t max);
        double duration(const std::string& key, double default_value, double min, double max);
        bool flag(const std::string& key, bool default_value);
        std::string text(const std::string& key, const std::string& default_value);
        std::string required_text(const std::string& key);
        // One of `words`; its index.
        std::size_t word(const std::string& key, std::size_t default_value,
                         const std::vector<std::string>& words);
        std::vector<std::string> texts(const std::string& key);
        std::vector<std::pair<double, double>> curve(const std::string& key);  // [["0s", 1.0], ["30s", 2.0]]
        void table(const std::string& key, const std::function<void(Table&)>& read);
        void each(const std::string& key, const std::function<void(Table&)>& read);  // [[key]]
        bool has(const std::string& key) const { return table_ != nullptr && table_->contains(key); }
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

    // Reads the file; a syntax error is thrown as BadFile at once. `overrides` are "path.to.key=value" in
    // TOML's own spelling, put over what the file says; `a.2.b` names the third of [[a]].
    explicit TomlFile(const std::string& path, const std::vector<std::string>& overrides = {});
    void read(const std::function<void(Table&)>& read_root);
    const std::vector<std::string>& errors() const { return errors_; }
    void throw_if_invalid() const;
    // By its `format`: which of the project's kinds of file it says it is.
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
