#include "operator.h"

#include "toml.h"

namespace brookrelay {

OperatorFile read_operator_file(const std::string& path) {
    TomlFile file(path);
    OperatorFile o;
    file.read([&](TomlFile::Table& root) {
        root.table("log", [&](TomlFile::Table& log) {
            o.json_log = log.word("format", 0, {"human", "json"}) == 1;
            o.log_lines_a_second = static_cast<int>(log.whole("lines_a_second", 10, 1, 100000));
        });
    });
    file.throw_if_wrong();
    return o;
}

}  // namespace brookrelay
