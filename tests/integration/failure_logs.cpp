#include "support/fleet.hpp"
#include "support/hosted_platform.hpp"

#include <gtest/gtest.h>

namespace
{

/// A fleet prints its logs when the running test has failed. A statement that
/// a member ran otherwise than a client sent it is a failure of that test.
[[maybe_unused]] const bool registered = []
{
    zinniahub::test::failure_check() = ::testing::Test::HasFailure;
    zinniahub::test::difference_report() = [](const std::string& text)
    { ADD_FAILURE() << text; };
    return true;
}();

} // namespace
