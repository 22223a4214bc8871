#include "config/toml.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <sstream>

#include "util/parse_number.h"

namespace brookrelay {
namespace {

constexpr std::size_t kMaxSuggestionDistance = 3;  // edits; a word further away is not suggested

std::size_t edit_distance(std::string_view a, std::string_view b) {
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t substituted = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
        }
    }
    return row[b.size()];
}

std::string number_text(double value) {
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, "%g", value);
    return buffer;
}

std::string kind_of(const toml::node& node) {
    std::ostringstream out;
    out << node.type();
    return out.str();
}

}  // namespace

std::string format_error(const std::string& file, std::size_t line, const std::string& path,
                         const std::string& what) {
    return file + ":" + std::to_string(line) + ": " + path + ": " + what;
}

std::string closest_match(std::string_view word, const std::vector<std::string>& known) {
    std::string best;
    std::size_t best_distance = std::min(kMaxSuggestionDistance, word.size() / 2 + 1) + 1;
    for (const std::string& candidate : known) {
        const std::size_t distance = edit_distance(word, candidate);
        if (distance < best_distance) {
            best_distance = distance;
            best = candidate;
        }
    }
    return best;
}

bool parse_duration(std::string_view text, double& seconds) {
    const std::size_t unit_at = text.find_first_not_of("0123456789.");
    if (unit_at == 0 || unit_at == std::string_view::npos) return false;
    double count = 0;
    const char* end = text.data() + unit_at;
    const auto [at, error] = std::from_chars(text.data(), end, count);
    if (error != std::errc() || at != end) return false;
    const std::string_view unit = text.substr(unit_at);
    const double scale = unit == "us"   ? 1e-6
                         : unit == "ms" ? 1e-3
                         : unit == "s"  ? 1.0
                         : unit == "m"  ? 60.0
                         : unit == "h"  ? 3600.0
                                        : 0.0;
    seconds = count * scale;
    return scale > 0;
}

std::string duration_text(double seconds) {
    if (seconds == 0) return "0s";
    if (seconds < 1e-3) return number_text(seconds * 1e6) + "us";
    if (seconds < 1) return number_text(seconds * 1e3) + "ms";
    if (seconds < 3600) return number_text(seconds) + "s";
    return number_text(seconds / 3600) + "h";
}

// ---- TomlFile -------------------------------------------------------------------------------------------

TomlFile::TomlFile(const std::string& path, const std::vector<std::string>& overrides) : path_(path) {
    std::ifstream file(path);
    std::ostringstream content;
    if (!file || !(content << file.rdbuf() || file.peek() == std::ifstream::traits_type::eof())) {
        throw ConfigurationFileError(path + ": cannot read the file");
    }
    try {
        root_ = toml::parse(content.str(), path);
    } catch (const toml::parse_error& error) {
        throw ConfigurationFileError(
            format_error(path, error.source().begin.line, "syntax", std::string(error.description())));
    }
    for (const std::string& assignment : overrides) apply_override(assignment);
}

// The value is parsed as TOML. Text that is not valid TOML, such as a duration without quotes, is taken as a
// string.
void TomlFile::apply_override(const std::string& assignment) {
    const std::size_t equals = assignment.find('=');
    const std::string where = "--set " + assignment;
    if (equals == std::string::npos || equals == 0)
        throw ConfigurationFileError(where + ": expected PATH=VALUE");
    toml::table parsed;
    const std::string value_text = assignment.substr(equals + 1);
    try {
        parsed = toml::parse("value = " + value_text);
    } catch (const toml::parse_error&) {
        // The shell may have removed the quotes of a string.
        parsed.insert_or_assign("value", value_text);
    }
    toml::node* at = &root_;
    std::stringstream steps(assignment.substr(0, equals));
    std::string step, next;
    std::getline(steps, step, '.');
    while (true) {
        const bool has_next = static_cast<bool>(std::getline(steps, next, '.'));
        if (toml::array* list = at->as_array()) {
            std::size_t index = 0;
            if (!parse_number(step, index) || index >= list->size()) {
                throw ConfigurationFileError(where + ": there is no entry '" + step + "'");
            }
            if (!has_next)
                throw ConfigurationFileError(where +
                                             ": the path ends at an array entry, expected a key in it");
            at = list->get(index);
        } else if (toml::table* table = at->as_table()) {
            if (!has_next) {
                table->insert_or_assign(step, *parsed.get("value"));
                return;
            }
            if (!table->contains(step)) table->insert(step, toml::table{});
            at = table->get(step);
        } else {
            throw ConfigurationFileError(where + ": '" + step + "' is below a value that is not a table");
        }
        step = next;
    }
}

void TomlFile::read(const std::function<void(Table&)>& read_root) {
    Table root(*this, &root_, "");
    read_root(root);
    root.report_unknown_keys();
}

void TomlFile::throw_if_invalid() const {
    if (errors_.empty()) return;
    std::string all;
    for (const std::string& c : errors_) all += (all.empty() ? "" : "\n") + c;
    throw ConfigurationFileError(all);
}

// ---- TomlFile::Table
// ------------------------------------------------------------------------------------------

const toml::node* TomlFile::Table::find(const std::string& key) {
    known_keys_.insert(key);
    return table_ == nullptr ? nullptr : table_->get(key);
}

std::size_t TomlFile::Table::line_of(const std::string& key) const {
    if (table_ == nullptr) return 0;
    const toml::node* node = table_->get(key);
    return (node == nullptr ? table_->source() : node->source()).begin.line;
}

void TomlFile::Table::add_error(const std::string& key, const std::string& what) {
    file_.errors_.push_back(format_error(file_.path_, line_of(key), path_of(key), what));
}

void TomlFile::Table::report_unknown_keys() {
    if (table_ == nullptr) return;
    const std::vector<std::string> known(known_keys_.begin(), known_keys_.end());
    for (const auto& [key, node] : *table_) {
        const std::string name(key.str());
        if (known_keys_.contains(name)) continue;
        const std::string suggestion = closest_match(name, known);
        std::string list;
        for (const std::string& k : known) list += (list.empty() ? "" : ", ") + k;
        add_error(name, "unknown key; " + (suggestion.empty() ? "expected one of: " + list
                                                              : "did you mean '" + suggestion + "'?"));
    }
}

bool TomlFile::Table::check_range(const std::string& key, double value, double min, double max,
                                  const std::function<std::string(double)>& to_text) {
    if (std::isfinite(value) && value >= min && value <= max) return true;
    add_error(key, "expected " + to_text(min) + " to " + to_text(max) + ", found " + to_text(value));
    return false;
}

double TomlFile::Table::number(const std::string& key, double default_value, double min, double max) {
    const toml::node* node = find(key);
    if (node == nullptr) return default_value;
    if (!node->is_number()) {
        add_error(key, "expected a number, found type " + kind_of(*node));
        return default_value;
    }
    const double value = *node->value<double>();
    return check_range(key, value, min, max, number_text) ? value : default_value;
}

std::int64_t TomlFile::Table::whole(const std::string& key, std::int64_t default_value, std::int64_t min,
                                    std::int64_t max) {
    const toml::node* node = find(key);
    if (node == nullptr) return default_value;
    if (!node->is_integer()) {
        add_error(key, "expected a whole number, found type " + kind_of(*node));
        return default_value;
    }
    const std::int64_t value = *node->value<std::int64_t>();
    if (value >= min && value <= max) return value;
    add_error(key, "expected " + std::to_string(min) + " to " + std::to_string(max) + ", found " +
                       std::to_string(value));
    return default_value;
}

double TomlFile::Table::duration(const std::string& key, double default_value, double min, double max) {
    const toml::node* node = find(key);
    if (node == nullptr) return default_value;
    double value = 0;
    if (!node->is_string() || !parse_duration(*node->value<std::string_view>(), value)) {
        add_error(key, "expected a duration with its unit, such as \"250ms\" or \"3s\"");
        return default_value;
    }
    return check_range(key, value, min, max, duration_text) ? value : default_value;
}

bool TomlFile::Table::flag(const std::string& key, bool default_value) {
    const toml::node* node = find(key);
    if (node == nullptr) return default_value;
    if (!node->is_boolean()) add_error(key, "expected true or false, found type " + kind_of(*node));
    return node->value<bool>().value_or(default_value);
}

std::string TomlFile::Table::text(const std::string& key, const std::string& default_value) {
    const toml::node* node = find(key);
    if (node == nullptr) return default_value;
    if (!node->is_string()) {
        add_error(key, "expected a string, found type " + kind_of(*node));
        return default_value;
    }
    return *node->value<std::string>();
}

std::string TomlFile::Table::required_text(const std::string& key) {
    std::string value = text(key, "");
    if (value.empty() && !has(key)) add_error(key, "is missing; expected a string");
    if (value.empty() && has(key) && table_->get(key)->is_string())
        add_error(key, "expected a string that is not empty");
    return value;
}

std::size_t TomlFile::Table::word(const std::string& key, std::size_t default_value,
                                  const std::vector<std::string>& words) {
    const toml::node* node = find(key);
    if (node == nullptr) return default_value;
    const std::string found_word = node->value<std::string>().value_or("");
    const auto found = std::find(words.begin(), words.end(), found_word);
    if (found != words.end()) return static_cast<std::size_t>(found - words.begin());
    std::string list;
    for (const std::string& w : words) list += (list.empty() ? "\"" : ", \"") + w + "\"";
    const std::string suggestion = closest_match(found_word, words);
    add_error(key, "expected one of " + list + ", found '" + found_word + "'" +
                       (suggestion.empty() ? "" : "; did you mean '" + suggestion + "'?"));
    return default_value;
}

std::vector<std::string> TomlFile::Table::texts(const std::string& key) {
    std::vector<std::string> all;
    const toml::node* node = find(key);
    if (node == nullptr) return all;
    if (!node->is_array()) {
        add_error(key, "expected an array of strings, found type " + kind_of(*node));
        return all;
    }
    for (const toml::node& element : *node->as_array()) {
        if (element.is_string()) {
            all.push_back(*element.value<std::string>());
        } else {
            add_error(key, "expected an array of strings; one entry has type " + kind_of(element));
        }
    }
    return all;
}

std::vector<std::pair<double, double>> TomlFile::Table::curve(const std::string& key) {
    std::vector<std::pair<double, double>> points;
    const toml::node* node = find(key);
    if (node == nullptr) return points;
    const auto report_error = [&] {
        add_error(key, "expected points such as [[\"0s\", 1.0], [\"30s\", 2.5]], in ascending order of time");
        return std::vector<std::pair<double, double>>{};
    };
    if (!node->is_array()) return report_error();
    for (const toml::node& element : *node->as_array()) {
        const toml::array* point = element.as_array();
        double time = 0;
        if (point == nullptr || point->size() != 2 || !point->get(0)->is_string() ||
            !point->get(1)->is_number() || !parse_duration(*point->get(0)->value<std::string_view>(), time)) {
            return report_error();
        }
        const double value = *point->get(1)->value<double>();
        if (!(value >= 0) || !std::isfinite(value) || (!points.empty() && time <= points.back().first)) {
            return report_error();
        }
        points.emplace_back(time, value);
    }
    return points;
}

void TomlFile::Table::table(const std::string& key, const std::function<void(Table&)>& read) {
    const toml::node* node = find(key);
    if (node != nullptr && !node->is_table()) {
        add_error(key, "expected a table [" + path_of(key) + "], found type " + kind_of(*node));
        return;
    }
    Table table(file_, node == nullptr ? nullptr : node->as_table(), path_of(key));
    read(table);
    table.report_unknown_keys();
}

void TomlFile::Table::each(const std::string& key, const std::function<void(Table&)>& read) {
    const toml::node* node = find(key);
    if (node == nullptr) return;
    const toml::array* list = node->as_array();
    if (list == nullptr ||
        !std::all_of(list->begin(), list->end(), [](const auto& n) { return n.is_table(); })) {
        add_error(key, "expected entries [[" + path_of(key) + "]], found type " + kind_of(*node));
        return;
    }
    std::size_t index = 0;
    for (const toml::node& element : *list) {
        Table table(file_, element.as_table(), path_of(key) + "[" + std::to_string(index++) + "]");
        read(table);
        table.report_unknown_keys();
    }
}

}  // namespace brookrelay
