// Runs the tests of a program that uses the stand-ins.
#include <cstdio>
#include <cstdlib>
#include <gtest/gtest.h>

int main(int argc, char** argv)
{
    ::testing::InitGoogleTest(&argc, argv);
    const int result = RUN_ALL_TESTS();
    std::fflush(nullptr);
    // The threads of the stand-ins still run, so that no static object may be destroyed.
    std::_Exit(result);
}
