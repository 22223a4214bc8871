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
        std::size_t corner = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t swapped = corner + (a[i - 1] == b[j - 1] ? 0 : 1);
            corner = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, swapped});
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

std::string complaint_text(const std::string& file, std::size_t line, const std::string& path,
                           const std::string& what) {
    return file + ":" + std::to_string(line) + ": " + path + ": " + what;
}

std::string nearest(std::string_view word, const std::vector<std::string>& known) {
    std::string best;
    std::size_t least = std::min(kMaxSuggestionDistance, word.size() / 2 + 1) + 1;
    for (const std::string& k : known) {
        const std::size_t distance = edit_distance(word, k);
        if (distance < least) {
            least = distance;
            best = k;
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

// ---- the file -------------------------------------------------------------------------------------------

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
            complaint_text(path, error.source().begin.line, "syntax", std::string(error.description())));
    }
    for (const std::string& assignment : overrides) apply_override(assignment);
}

// The value is parsed as TOML, so durations need their quotes here as in the file.
void TomlFile::apply_override(const std::string& assignment) {
    const std::size_t equals = assignment.find('=');
    const std::string where = "--set " + assignment;
    if (equals == std::string::npos || equals == 0)
        throw ConfigurationFileError(where + ": expected PATH=VALUE");
    toml::table parsed;
    const std::string given = assignment.substr(equals + 1);
    try {
        parsed = toml::parse("value = " + given);
    } catch (const toml::parse_error&) {
        // The shell may have removed the quotes: a bare word is taken as a string.
        parsed.insert_or_assign("value", given);
    }
    toml::node* at = &root_;
    std::stringstream steps(assignment.substr(0, equals));
    std::string step, next;
    std::getline(steps, step, '.');
    while (true) {
        const bool more = static_cast<bool>(std::getline(steps, next, '.'));
        if (toml::array* list = at->as_array()) {
            std::size_t index = 0;
            if (!parse_number(step, index) || index >= list->size()) {
                throw ConfigurationFileError(where + ": there is no entry '" + step + "'");
            }
            if (!more)
                throw ConfigurationFileError(where +
                                             ": the path ends at an array entry, expected a key in it");
            at = list->get(index);
        } else if (toml::table* table = at->as_table()) {
            if (!more) {
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
    root.complain_unknown_keys();
}

void TomlFile::throw_if_wrong() const {
    if (complaints_.empty()) return;
    std::string all;
    for (const std::string& c : complaints_) all += (all.empty() ? "" : "\n") + c;
    throw ConfigurationFileError(all);
}

// ---- one table ------------------------------------------------------------------------------------------

const toml::node* TomlFile::Table::find(const std::string& key) {
    known_keys_.insert(key);
    return table_ == nullptr ? nullptr : table_->get(key);
}

std::size_t TomlFile::Table::line_of(const std::string& key) const {
    if (table_ == nullptr) return 0;
    const toml::node* node = table_->get(key);
    return (node == nullptr ? table_->source() : node->source()).begin.line;
}

void TomlFile::Table::complain(const std::string& key, const std::string& what) {
    file_.complaints_.push_back(complaint_text(file_.path_, line_of(key), at(key), what));
}

void TomlFile::Table::complain_unknown_keys() {
    if (table_ == nullptr) return;
    const std::vector<std::string> known(known_keys_.begin(), known_keys_.end());
    for (const auto& [key, node] : *table_) {
        const std::string name(key.str());
        if (known_keys_.contains(name)) continue;
        const std::string meant = nearest(name, known);
        std::string list;
        for (const std::string& k : known) list += (list.empty() ? "" : ", ") + k;
        complain(name, "unknown key; " +
                           (meant.empty() ? "expected one of: " + list : "did you mean '" + meant + "'?"));
    }
}

bool TomlFile::Table::check_range(const std::string& key, double value, double least, double most,
                                  const std::function<std::string(double)>& say) {
    if (std::isfinite(value) && value >= least && value <= most) return true;
    complain(key, "expected " + say(least) + " to " + say(most) + ", found " + say(value));
    return false;
}

double TomlFile::Table::number(const std::string& key, double otherwise, double least, double most) {
    const toml::node* node = find(key);
    if (node == nullptr) return otherwise;
    if (!node->is_number()) {
        complain(key, "expected a number, found type " + kind_of(*node));
        return otherwise;
    }
    const double value = *node->value<double>();
    return check_range(key, value, least, most, number_text) ? value : otherwise;
}

std::int64_t TomlFile::Table::whole(const std::string& key, std::int64_t otherwise, std::int64_t least,
                                    std::int64_t most) {
    const toml::node* node = find(key);
    if (node == nullptr) return otherwise;
    if (!node->is_integer()) {
        complain(key, "expected a whole number, found type " + kind_of(*node));
        return otherwise;
    }
    const std::int64_t value = *node->value<std::int64_t>();
    if (value >= least && value <= most) return value;
    complain(key, "expected " + std::to_string(least) + " to " + std::to_string(most) + ", found " +
                      std::to_string(value));
    return otherwise;
}

double TomlFile::Table::duration(const std::string& key, double otherwise, double least, double most) {
    const toml::node* node = find(key);
    if (node == nullptr) return otherwise;
    double value = 0;
    if (!node->is_string() || !parse_duration(*node->value<std::string_view>(), value)) {
        complain(key, "expected a duration with its unit, such as \"250ms\" or \"3s\"");
        return otherwise;
    }
    return check_range(key, value, least, most, duration_text) ? value : otherwise;
}

bool TomlFile::Table::flag(const std::string& key, bool otherwise) {
    const toml::node* node = find(key);
    if (node == nullptr) return otherwise;
    if (!node->is_boolean()) complain(key, "expected true or false, found type " + kind_of(*node));
    return node->value<bool>().value_or(otherwise);
}

std::string TomlFile::Table::text(const std::string& key, const std::string& otherwise) {
    const toml::node* node = find(key);
    if (node == nullptr) return otherwise;
    if (!node->is_string()) {
        complain(key, "expected a string, found type " + kind_of(*node));
        return otherwise;
    }
    return *node->value<std::string>();
}

std::string TomlFile::Table::needed_text(const std::string& key) {
    std::string value = text(key, "");
    if (value.empty() && !has(key)) complain(key, "is missing; expected a string");
    if (value.empty() && has(key) && table_->get(key)->is_string())
        complain(key, "expected a string that is not empty");
    return value;
}

std::size_t TomlFile::Table::word(const std::string& key, std::size_t otherwise,
                                  const std::vector<std::string>& words) {
    const toml::node* node = find(key);
    if (node == nullptr) return otherwise;
    const std::string found_word = node->value<std::string>().value_or("");
    const auto found = std::find(words.begin(), words.end(), found_word);
    if (found != words.end()) return static_cast<std::size_t>(found - words.begin());
    std::string list;
    for (const std::string& w : words) list += (list.empty() ? "\"" : ", \"") + w + "\"";
    const std::string meant = nearest(found_word, words);
    complain(key, "expected one of " + list + ", found '" + found_word + "'" +
                      (meant.empty() ? "" : "; did you mean '" + meant + "'?"));
    return otherwise;
}

std::vector<std::string> TomlFile::Table::texts(const std::string& key) {
    std::vector<std::string> all;
    const toml::node* node = find(key);
    if (node == nullptr) return all;
    if (!node->is_array()) {
        complain(key, "expected an array of strings, found type " + kind_of(*node));
        return all;
    }
    for (const toml::node& one : *node->as_array()) {
        if (one.is_string()) {
            all.push_back(*one.value<std::string>());
        } else {
            complain(key, "expected an array of strings; one entry has type " + kind_of(one));
        }
    }
    return all;
}

std::vector<std::pair<double, double>> TomlFile::Table::curve(const std::string& key) {
    std::vector<std::pair<double, double>> points;
    const toml::node* node = find(key);
    if (node == nullptr) return points;
    const auto wrong = [&] {
        complain(key, "expected points such as [[\"0s\", 1.0], [\"30s\", 2.5]], in ascending order of time");
        return std::vector<std::pair<double, double>>{};
    };
    if (!node->is_array()) return wrong();
    for (const toml::node& one : *node->as_array()) {
        const toml::array* pair = one.as_array();
        double time = 0;
        if (pair == nullptr || pair->size() != 2 || !pair->get(0)->is_string() ||
            !pair->get(1)->is_number() || !parse_duration(*pair->get(0)->value<std::string_view>(), time)) {
            return wrong();
        }
        const double value = *pair->get(1)->value<double>();
        if (!(value >= 0) || !std::isfinite(value) || (!points.empty() && time <= points.back().first)) {
            return wrong();
        }
        points.emplace_back(time, value);
    }
    return points;
}

void TomlFile::Table::table(const std::string& key, const std::function<void(Table&)>& read) {
    const toml::node* node = find(key);
    if (node != nullptr && !node->is_table()) {
        complain(key, "expected a table [" + at(key) + "], found type " + kind_of(*node));
        return;
    }
    Table inner(file_, node == nullptr ? nullptr : node->as_table(), at(key));
    read(inner);
    inner.complain_unknown_keys();
}

void TomlFile::Table::each(const std::string& key, const std::function<void(Table&)>& read) {
    const toml::node* node = find(key);
    if (node == nullptr) return;
    const toml::array* list = node->as_array();
    if (list == nullptr ||
        !std::all_of(list->begin(), list->end(), [](const auto& n) { return n.is_table(); })) {
        complain(key, "expected entries [[" + at(key) + "]], found type " + kind_of(*node));
        return;
    }
    std::size_t index = 0;
    for (const toml::node& one : *list) {
        Table inner(file_, one.as_table(), at(key) + "[" + std::to_string(index++) + "]");
        read(inner);
        inner.complain_unknown_keys();
    }
}

}  // namespace brookrelay
