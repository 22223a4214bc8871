// Collects the body of an HTTP response that does not state its length. No I/O.
//
// The client's protocol states a value's length before the value, so such a body cannot be forwarded before
// it is complete. Each byte is kept once, from when it is received until it is forwarded. Sizes are bytes.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "protocol/http_chunks.h"
#include "protocol/origin_http.h"

namespace brookrelay {

/// The body of one response, while it is received and then while it is forwarded.
class BodyCollector {
  public:
    enum class Status { incomplete, complete, malformed };
    struct Progress {
        std::size_t bytes;  ///< to be removed from the front of the input
        Status status;
    };

    /// A body that exceeds `max_bytes` is malformed.
    BodyCollector(const UnsizedResponse& head, std::size_t max_bytes);

    /// Takes all input received and not yet removed. `ended`: the peer has closed cleanly.
    Progress add(std::string_view input, bool ended);
    /// The number of bytes collected, forwarded ones included: their memory is freed with the collector.
    std::size_t size() const { return body_.size(); }
    /// The part of the body that is not yet forwarded.
    std::string_view remaining() const { return std::string_view(body_).substr(forwarded_); }
    /// Marks the first `bytes` of remaining() as forwarded.
    void consume(std::size_t bytes) { forwarded_ += bytes; }
    /// Moves the whole body out.
    std::string take() { return std::move(body_); }
    bool reusable() const { return reusable_; }

  private:
    Progress add_until_close(std::string_view input, bool ended);

    const std::size_t max_bytes_;
    const bool is_chunked_;
    const bool reusable_;  // the connection may carry another attempt after the body
    ChunkDecoder decoder_;
    std::string body_;
    std::size_t forwarded_ = 0;
};

}  // namespace brookrelay
