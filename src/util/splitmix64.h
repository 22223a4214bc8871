// Hash functions for decisions that must be identical on every node.
#pragma once

#include <cstdint>
#include <string_view>

namespace brookrelay {

// The finalizer of splitmix64: Steele, Lea and Flood, "Fast splittable pseudorandom number generators"
// (2014).
inline std::uint64_t mix(std::uint64_t x) {
    x += 0x9e3779b97f4a7c15ULL;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

// Maps the upper 53 bits of a hash to a fraction in [0, 1).
inline double unit_interval(std::uint64_t hash) { return static_cast<double>(hash >> 11) * 0x1.0p-53; }

// Returns the FNV-1a hash of `text` with `initial_value` as its initial value, followed by mix().
inline std::uint64_t hash_text(std::string_view text, std::uint64_t initial_value) {
    constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;
    for (const unsigned char byte : text) initial_value = (initial_value ^ byte) * kFnvPrime;
    return mix(initial_value);
}

}  // namespace brookrelay
