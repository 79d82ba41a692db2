#include "operator/explain.hpp"

#include <gtest/gtest.h>

#include <sstream>

using zinniahub::commands::explanation;

namespace
{

constexpr const char* log_lines =
    R"(  1.2 front-1 {"ts":100,"up_ms":1,"node":"n1","event":"primary_changed","from":"","to":"i-1"}
{"ts":300,"up_ms":1,"node":"n1","event":"reply_failed","id":"77","code":"busy","why":"no_primary"}
{"ts":150,"up_ms":1,"node":"n2","event":"store_lost","prefix":"op/"}
{"ts":200,"up_ms":1,"node":"n2","event":"promotion_ordered","instance":"i-2"}
{"ts":310,"up_ms":1,"node":"n1","event":"reply_failed","id":"78","code":"busy"}
{"ts":320,"up_ms":1,"node":"n1","event":"log_dropped","kind":"reply_failed","lines":4}
{"ts":330,"node":"n1","ev)";

} // namespace

// Guards against lines of other requests or hosts in the output, and against a
// wrong order.
TEST(explain, shows_the_request_and_its_context)
{
    explanation summary("77");
    std::istringstream input(log_lines);
    summary.read(input);
    EXPECT_TRUE(summary.found());
    const auto text = summary.text();
    const auto primary = text.find("to=i-1");
    const auto order = text.find("instance=i-2");
    const auto reply = text.find("why=no_primary");
    EXPECT_LT(primary, order);
    EXPECT_LT(order, reply);
    EXPECT_NE(reply, std::string::npos);
    EXPECT_EQ(text.find("store_lost"), std::string::npos);
    EXPECT_EQ(text.find("78"), std::string::npos);
}

// Guards against an explanation that does not report missing lines.
TEST(explain, reports_missing_lines)
{
    explanation summary("99");
    std::istringstream input(log_lines);
    summary.read(input);
    EXPECT_FALSE(summary.found());
    const auto text = summary.text();
    EXPECT_NE(text.find("no line names 99"), std::string::npos);
    EXPECT_NE(text.find("4 lines dropped"), std::string::npos);
    EXPECT_NE(text.find("1 lines unreadable"), std::string::npos);
}
