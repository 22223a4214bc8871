// Discards the value of a write that is refused before its value has been received. No I/O.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace brookrelay {

/// Finds the end of one value and of the line end behind it, in input that arrives in pieces. Sizes are
/// bytes.
class ValueSkipper {
  public:
    enum class Status {
        incomplete,  ///< more input is needed
        complete,    ///< the next command follows
        malformed    ///< the value is longer than stated, so the start of the next command is unknown
    };
    struct Progress {
        std::size_t bytes;  ///< to be removed from the front of the input
        Status status;
    };

    explicit ValueSkipper(std::size_t length) : remaining_(length) {}

    /// Takes all input received and not yet removed.
    Progress skip(std::string_view input) {
        const std::size_t bytes = std::min(input.size(), remaining_);
        remaining_ -= bytes;
        const std::string_view rest = input.substr(bytes);
        if (remaining_ > 0 || rest.empty() || rest == "\r") return {bytes, Status::incomplete};
        if (rest[0] == '\n') return {bytes + 1, Status::complete};
        return rest.starts_with("\r\n") ? Progress{bytes + 2, Status::complete}
                                        : Progress{bytes, Status::malformed};
    }

  private:
    std::size_t remaining_;  // bytes of the value that are not yet removed
};

}  // namespace brookrelay
