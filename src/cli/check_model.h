// `brookrelay check-model`, formerly `explore`: checks every sequence of faults of a small fleet in
// simulated time, up to a given depth.
#pragma once

namespace brookrelay {

struct CheckModelOptions {
    bool zones = false, limits = false;  // which models to check; neither: both
    int depth = 4;                       // faults in a sequence
};

// Prints a line for each model; returns the exit code.
int check_model(const CheckModelOptions& options);

}  // namespace brookrelay
