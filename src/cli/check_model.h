// `brookrelay check-model`, formerly `explore`: checks every order of faults of a small fleet in simulated
// time, up to a given depth.
#pragma once

namespace brookrelay {

struct CheckModelOptions {
    bool zones = false, limits = false;  // which models to check; neither: both
    int depth = 4;                       // faults one after another
};

// Prints a line for each model; returns the exit code.
int check_model(const CheckModelOptions& options);

}  // namespace brookrelay
