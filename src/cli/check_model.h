// `brookrelay explore`: every order of faults of a small fleet, to a depth that the caller may wait for.
#pragma once

namespace brookrelay {

struct ExploreWish {
    bool zones = false, limits = false;  // neither: both
    int depth = 4;
};

int explore(const ExploreWish& wish);

}  // namespace brookrelay
