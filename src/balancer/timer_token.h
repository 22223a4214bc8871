// The purpose of a balancer's timer, encoded in the opaque number that the host returns when the timer
// expires.
#pragma once

#include <cstdint>

namespace brookrelay {

// Identifies what a timer is for and, for request_expiry, which request it belongs to.
struct TimerToken {
    enum class Kind : std::uint64_t { request_expiry = 1, poll, origin_backoff };
    Kind kind = Kind::poll;
    std::uint32_t generation = 0;  // generation of the request; only its lower 24 bits are encoded
    std::uint32_t request = 0;

    std::uint64_t encode() const {
        return (static_cast<std::uint64_t>(kind) << 56) |
               (static_cast<std::uint64_t>(generation & kGenerationMask) << 32) | request;
    }
    static TimerToken decode(std::uint64_t token) {
        return {static_cast<Kind>(token >> 56), static_cast<std::uint32_t>(token >> 32) & kGenerationMask,
                static_cast<std::uint32_t>(token)};
    }
    // Returns whether `other` is the token's generation, as far as the encoded bits show.
    bool is_of_generation(std::uint32_t other) const { return generation == (other & kGenerationMask); }

  private:
    static constexpr std::uint32_t kGenerationMask = 0xffffffU;
};

}  // namespace brookrelay
