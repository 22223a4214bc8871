// Decoder for HTTP/1.1 bodies with Transfer-Encoding: chunked. No I/O.
//
// The decoder takes the input in pieces of any size and appends the decoded bytes to a body, so that each
// byte is handled once. Sizes are bytes. Source: RFC 9112, section 7.1.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace brookrelay {

/// Decodes one chunked body, up to and including the empty line behind its trailers.
class ChunkDecoder {
  public:
    enum class Status { incomplete, complete, malformed };
    struct Progress {
        std::size_t bytes;  ///< to be removed from the front of the input
        Status status;
    };

    /// A body that exceeds `max_body_bytes` is malformed.
    explicit ChunkDecoder(std::size_t max_body_bytes) : max_body_bytes_(max_body_bytes) {}

    /// Decodes `input`, which is all input received and not yet removed, and appends to `body`.
    Progress decode(std::string_view input, std::string& body);

  private:
    enum class State { size_line, data, data_end, trailers, end };

    bool step(std::string_view input, std::size_t& position, std::string& body);
    bool begin_chunk(std::string_view line, std::size_t body_bytes);

    const std::size_t max_body_bytes_;
    State state_ = State::size_line;
    std::size_t remaining_ = 0;  // bytes of the current chunk that are not yet decoded
    bool is_malformed_ = false;
};

}  // namespace brookrelay
