// A test suite that fails on purpose, for known_red_test.sh.
#include <gtest/gtest.h>

TEST(Mixed, Passes) { SUCCEED(); }
TEST(Mixed, Fails) { ADD_FAILURE() << "as it is meant to"; }
