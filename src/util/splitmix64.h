// One mixing of numbers for whoever picks nodes by hash: the same at every node.
#pragma once

#include <cstdint>

namespace brookrelay::gossip {

// Steele, Lea and Flood, "Fast splittable pseudorandom number generators" (2014): splitmix64's finalizer.
inline std::uint64_t mix(std::uint64_t x) {
    x += 0x9e3779b97f4a7c15ULL;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

}  // namespace brookrelay::gossip
