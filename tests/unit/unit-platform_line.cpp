#include "platform/line_codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace zinniahub;
using namespace zinniahub::platform;
using pooling::reply_code;
using pooling::statement_kind;
using pooling::transaction_state;

// Guards against statements that are decoded as the wrong kind.
TEST(platform_line, decodes_each_statement_kind)
{
    struct expectation
    {
        const char* text;
        statement_kind kind;
        const char* name;
        const char* argument;
    };
    const std::vector<expectation> table{
        {"BEGIN", statement_kind::begin, "", ""},
        {"BEGIN FETCH", statement_kind::begin_read_only, "", ""},
        {"BEGIN NOW", statement_kind::invalid, "", ""},
        {"COMMIT", statement_kind::commit, "", ""},
        {"ROLLBACK", statement_kind::rollback, "", ""},
        {"FETCH 1a4", statement_kind::read, "", ""},
        {"FETCH", statement_kind::invalid, "", ""},
        {"PUT 1a4 some data", statement_kind::write, "", ""},
        {"SET colour dark red", statement_kind::set_value, "colour",
         "dark red"},
        {"SET colour ", statement_kind::set_value, "colour", ""},
        {"SET colour", statement_kind::invalid, "colour", ""},
        {"PREPARE s1 PUT q2c", statement_kind::prepare_write, "s1", "q2c"},
        {"PREPARE s1 FETCH q2c", statement_kind::prepare_read, "s1", "q2c"},
        {"PREPARE s1 DROP q2c", statement_kind::invalid, "s1", "q2c"},
        {"PREPARE s1", statement_kind::invalid, "s1", ""},
        {"EXECUTE s1 1a4 x", statement_kind::execute, "s1", "1a4 x"},
        {"DEALLOCATE s1", statement_kind::deallocate, "s1", ""},
        {"WAITLSN 1.2 FETCH a", statement_kind::invalid, "", ""},
        {"", statement_kind::invalid, "", ""},
    };
    for (const auto& row : table)
    {
        const auto decoded = decode_statement("7", row.text);
        EXPECT_EQ(decoded.kind, row.kind) << row.text;
        EXPECT_EQ(decoded.name, row.name) << row.text;
        EXPECT_EQ(decoded.argument, row.argument) << row.text;
        EXPECT_EQ(decoded.text, row.text);
    }
}

// Guards against changes to the statement text when it is forwarded.
TEST(platform_line, forwards_the_text_unchanged)
{
    EXPECT_EQ(
        encode_query({decode_statement("7", "FETCH  1a4 ")}),
        "QUERY 7 FETCH  1a4 \r\n");
    EXPECT_EQ(
        encode_query(
            {.sent = decode_statement("7", "FETCH 1a4"),
             .wait_for = log_position{3, 1207}}),
        "QUERY 7 WAITLSN 3.1207 FETCH 1a4\r\n");
}

// Guards against an execution that changes anything but the name, wherever
// else the name stands in the text.
TEST(platform_line, replaces_the_name_of_an_executed_statement)
{
    for (const std::string text :
         {"EXECUTE s1 #c", "EXECUTE E E E", "EXECUTE s1  two  blanks ",
          "EXECUTE s1  ", "EXECUTE s1 s1 s1", "EXECUTE X\t \xff"})
    {
        const auto sent = decode_statement("7", text);
        ASSERT_EQ(sent.kind, statement_kind::execute) << text;
        const auto tail = text.substr(text.find(' ', 8));
        EXPECT_EQ(
            encode_query({.sent = sent, .prepared_name = "4"}),
            "QUERY 7 EXECUTE 4" + tail + "\r\n")
            << text;
    }
}

// Guards against a field that a peer reads as two, or as the end of the
// message.
TEST(platform_line, refuses_text_that_is_not_a_field)
{
    for (const std::string bad : {"", " ", "a b", " a", "a ", "a\r", "\na"})
    {
        EXPECT_FALSE(line_field::make(bad)) << bad;
        EXPECT_FALSE(encode_startup(bad, "customer", "i-1")) << bad;
        EXPECT_FALSE(encode_startup("service", bad, "i-1")) << bad;
        EXPECT_EQ(
            encode_startup("service", "customer", bad).has_value(), bad.empty())
            << bad;
        EXPECT_FALSE(encode_command(
            {.kind = pooling::command_kind::set_value, .name = bad}))
            << bad;
        EXPECT_FALSE(encode_query({decode_statement(bad, "COMMIT")})) << bad;
    }
    for (const std::string good : {"a", "\t", "\x80", "\xff", "-"})
    {
        EXPECT_TRUE(line_field::make(good)) << good;
    }
    for (const std::string bad : {"\r", "\n", "a\nb", "a\r\nQUERY - STATUS"})
    {
        EXPECT_FALSE(line_text::make(bad)) << bad;
        EXPECT_FALSE(encode_startup("service", "customer", bad)) << bad;
        EXPECT_FALSE(encode_query({decode_statement("7", "PUT a " + bad)}));
        EXPECT_FALSE(decode_client_line("QUERY 7 PUT a " + bad)) << bad;
    }
    for (const std::string good : {"", " ", "  a  b ", "\t", "\x80\xff"})
    {
        EXPECT_TRUE(line_text::make(good)) << good;
    }
    EXPECT_TRUE(line_text::make(std::string_view("\0x", 2)));
}

// Guards against a reply that a client reads as two, and against a member that
// counts as failed because of one odd row.
TEST(platform_line, reply_with_a_line_break_is_not_passed_on)
{
    for (const std::string odd :
         {"DATAROW a\nCOMPLETE forged", "DATAROW a\rb", "COMPLETE x\ny",
          "ERROR BUSY \n"})
    {
        reply_decoder decoder;
        ASSERT_TRUE(decoder.on_line(odd)) << odd;
        if (odd.starts_with("DATAROW"))
        {
            ASSERT_TRUE(decoder.on_line("COMPLETE sig"));
        }
        EXPECT_EQ(decoder.on_line("READY I 1.2"), true) << odd;
        const auto value = decoder.take();
        EXPECT_EQ(value.code, reply_code::failed) << odd;
        EXPECT_TRUE(value.rows.empty());
        EXPECT_EQ(encode_reply(value).find("forged"), std::string::npos);
        EXPECT_EQ(decoder.on_line("COMPLETE next"), false);
        EXPECT_EQ(decoder.on_line("READY I 1.2"), true);
        EXPECT_TRUE(decoder.take().ok());
    }
}

// Guards against a message of a client that passes as one of the proxy.
TEST(platform_line, refuses_the_id_of_the_proxy)
{
    const auto message = decode_client_line("QUERY - FETCH a");
    ASSERT_FALSE(message);
    EXPECT_EQ(message.error().code, errc::request_invalid);
    for (const auto* text :
         {"STATUS", "PAUSE 9", "RESUME", "STEPDOWN 9", "DISCARD",
          "WAITLSN 1.1 FETCH a", "WAITLSN 1.1 BEGIN FETCH"})
    {
        EXPECT_EQ(decode_statement("7", text).kind, statement_kind::invalid)
            << text;
    }
}

// Guards against a message beyond the limit of the protocol.
TEST(platform_line, refuses_messages_beyond_the_limit)
{
    const std::string item(max_line_bytes - 14, 'x');
    const auto longest = decode_statement("7", "FETCH " + item);
    const auto encoded = encode_query({longest});
    ASSERT_TRUE(encoded);
    EXPECT_EQ(encoded->size(), max_line_bytes + 2);
    const auto with_position =
        encode_query({.sent = longest, .wait_for = log_position{1, 1}});
    ASSERT_FALSE(with_position);
    EXPECT_EQ(with_position.error().code, errc::statement_too_large);
}

// Guards against a reply beyond the limit, whose code was shorter at the
// member.
TEST(platform_line, error_of_a_member_stays_within_the_limit)
{
    const std::string text(max_line_bytes - 8, 'x');
    reply_decoder decoder;
    ASSERT_TRUE(decoder.on_line("ERROR X " + text));
    ASSERT_TRUE(decoder.on_line("READY I -"));
    const auto bytes = encode_reply(decoder.take());
    EXPECT_EQ(bytes.find("\r\n"), max_line_bytes);
    EXPECT_TRUE(bytes.starts_with("ERROR FAILED x"));
    EXPECT_TRUE(bytes.ends_with("x\r\nREADY I -\r\n"));
    EXPECT_EQ(
        encode_startup_refusal(reply_code::busy, text + text).size(),
        max_line_bytes + 2);
}

// Guards against a statement that a member reads otherwise than its client
// wrote it, for any text.
TEST(platform_line, member_reads_what_the_client_wrote)
{
    EXPECT_TRUE(rc::check(
        [](const std::string& id, const std::string& text)
        {
            const auto line = "QUERY " + id + " " + text;
            const auto message = decode_client_line(line);
            const bool is_legal = line_field::make(id) && id != "-" &&
                                  line_text::make(text) && !text.empty();
            RC_ASSERT(!is_legal || message);
            if (message)
            {
                RC_ASSERT(encode_query({message->query}) == line + "\r\n");
            }
        }));
}

// Guards against replies that are decoded with missing or swapped fields.
TEST(platform_line, decodes_replies)
{
    reply_decoder decoder;
    EXPECT_EQ(decoder.on_line("DATAROW qhz kwm"), false);
    EXPECT_EQ(decoder.on_line("COMPLETE 7.1f3"), false);
    EXPECT_EQ(decoder.on_line("READY T 3.1209"), true);
    const auto value = decoder.take();
    EXPECT_TRUE(value.ok());
    EXPECT_EQ(value.rows, std::vector<std::string>{"qhz kwm"});
    EXPECT_EQ(value.signature, "7.1f3");
    EXPECT_EQ(value.state, transaction_state::open);
    EXPECT_EQ(value.position, (log_position{3, 1209}));

    EXPECT_EQ(decoder.on_line("ERROR READONLY i-7f"), false);
    EXPECT_EQ(decoder.on_line("READY E -"), true);
    const auto failed = decoder.take();
    EXPECT_EQ(failed.code, reply_code::read_only);
    EXPECT_EQ(failed.state, transaction_state::failed);
    EXPECT_FALSE(failed.position);
}

// Guards against accepting a truncated reply or one to another request.
TEST(platform_line, rejects_lines_outside_a_reply)
{
    reply_decoder decoder;
    EXPECT_FALSE(decoder.on_line("READY I -"));
    reply_decoder twice;
    EXPECT_TRUE(twice.on_line("COMPLETE x"));
    EXPECT_FALSE(twice.on_line("COMPLETE y"));
    EXPECT_FALSE(twice.on_line("DATAROW z"));
    reply_decoder garbage;
    EXPECT_FALSE(garbage.on_line("\x01\xff"));
}

// Guards against an unknown error code that is decoded as one that guarantees
// an outcome.
TEST(platform_line, unknown_error_code_counts_as_failed)
{
    reply_decoder decoder;
    EXPECT_TRUE(decoder.on_line("ERROR SOMETHING new"));
    EXPECT_TRUE(decoder.on_line("READY I -"));
    EXPECT_EQ(decoder.take().code, reply_code::failed);
}

// Guards against status rows that are parsed with shifted fields.
TEST(platform_line, decodes_status_rows)
{
    const auto status = parse_status_row("replica 3 3.1209 5 12 2 17");
    ASSERT_TRUE(status);
    EXPECT_FALSE(status->primary);
    EXPECT_EQ(status->term, 3U);
    EXPECT_EQ(status->received, (log_position{3, 1209}));
    EXPECT_EQ(status->paused_term, 5U);
    for (const auto* row :
         {"", "leader 3 3.1 0", "replica x 3.1 0", "replica 3 31 0",
          "replica 3 3.1 x", "replica 3"})
    {
        EXPECT_FALSE(parse_status_row(row)) << row;
    }
}

// Guards against a crash on arbitrary bytes from a client or a member.
TEST(platform_line, decoders_accept_arbitrary_bytes)
{
    EXPECT_TRUE(rc::check(
        [](const std::string& line)
        {
            decode_client_line(line);
            decode_client_line("QUERY " + line);
            decode_client_line("STARTUP " + line);
            decode_statement("1", "PREPARE " + line);
            decode_statement("1", "EXECUTE " + line);
            parse_position(line);
            parse_status_row(line);
            reply_decoder decoder;
            decoder.on_line(line);
            decoder.on_line("ERROR " + line);
            decoder.on_line("READY " + line);
        }));
}
