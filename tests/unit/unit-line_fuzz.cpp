#include "platform/line_codec.hpp"
#include "unit/fuzz_corpus.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// Mutated lines of clients and members, read back by models of the peers that
// share no code with the codec.

using namespace zinniahub;
using namespace zinniahub::platform;
using pooling::command_kind;
using pooling::statement_kind;

namespace
{

/// Where a model ends a message.
enum class line_end
{
    /// As the protocol says.
    cr_lf,
    lf,
    /// At either of them.
    any
};

constexpr std::array<line_end, 3> line_ends{
    line_end::cr_lf, line_end::lf, line_end::any};

/// Splits a stream into lines. Bytes behind the last end are a line too, so
/// that a message without an end is not lost.
std::vector<std::string> split_lines(std::string_view bytes, line_end end)
{
    const std::string_view ends = end == line_end::lf ? "\n" : "\r\n";
    std::vector<std::string> lines;
    while (!bytes.empty())
    {
        const auto at = end == line_end::cr_lf ? bytes.find(ends)
                                               : bytes.find_first_of(ends);
        auto line = bytes.substr(0, at);
        const auto behind =
            at == std::string_view::npos ? "" : bytes.substr(at);
        bytes = behind.substr(std::min(
            behind.size(), std::size_t{behind.starts_with("\r\n") ? 2U : 1U}));
        // A peer that ends messages at LF drops a CR before it.
        if (end == line_end::lf && !behind.empty() && line.ends_with('\r'))
        {
            line.remove_suffix(1);
        }
        lines.emplace_back(line);
    }
    return lines;
}

/// Splits at single blanks into at most `count` fields; the last one extends
/// to the end.
std::vector<std::string> split_fields(std::string_view text, std::size_t count)
{
    std::vector<std::string> fields;
    while (fields.size() + 1 < count && text.find(' ') != text.npos)
    {
        fields.emplace_back(text.substr(0, text.find(' ')));
        text.remove_prefix(fields.back().size() + 1);
    }
    fields.emplace_back(text);
    return fields;
}

/// A message as a peer reads it.
struct request
{
    std::string kind;
    std::string id;
    std::string position;
    std::string word;
    std::vector<std::string> fields;

    bool operator==(const request&) const = default;
};

std::ostream& operator<<(std::ostream& out, const request& value)
{
    out << value.kind << '|' << value.id << '|' << value.position << '|'
        << value.word;
    for (const auto& field : value.fields)
    {
        out << '|' << field;
    }
    return out;
}

/// Number of fields of a query text, without its word.
std::size_t field_count(const std::string& word)
{
    static const std::map<std::string, std::size_t> counts{
        {"FETCH", 1},   {"PUT", 2},     {"SET", 2},
        {"PREPARE", 3}, {"EXECUTE", 3}, {"DEALLOCATE", 1}};
    const auto found = counts.find(word);
    return found == counts.end() ? 1 : found->second;
}

/// Reads a message as the protocol describes it.
request read_request(const std::string& line)
{
    auto parts = split_fields(line, 2);
    request value{.kind = parts[0]};
    const auto rest = parts.size() == 2 ? parts[1] : "";
    if (value.kind != "QUERY")
    {
        value.fields = split_fields(rest, 3);
        return value;
    }
    parts = split_fields(rest, 2);
    value.id = parts[0];
    auto text = parts.size() == 2 ? parts[1] : "";
    parts = split_fields(text, 3);
    if (parts[0] == "WAITLSN" && parts.size() == 3 && !parts[1].empty())
    {
        value.position = parts[1];
        text = parts[2];
    }
    parts = split_fields(text, 2);
    value.word = parts[0];
    if (parts.size() == 2)
    {
        value.fields = split_fields(parts[1], field_count(value.word));
    }
    return value;
}

/// True for a text that a message may hold as a last field.
bool is_text(std::string_view text)
{
    return text.find('\r') == std::string_view::npos &&
           text.find('\n') == std::string_view::npos;
}

bool is_field(std::string_view text)
{
    return !text.empty() && is_text(text) &&
           text.find(' ') == std::string_view::npos;
}

/// The kind that the protocol gives to a query text of a client; none if it is
/// not one.
std::optional<statement_kind> kind_of(const request& sent)
{
    const auto& fields = sent.fields;
    const auto field = [&fields](std::size_t at)
    { return at < fields.size() ? std::string_view(fields[at]) : ""; };
    if (!sent.position.empty())
    {
        return std::nullopt;
    }
    // A blank behind the word, with nothing after it, is no field.
    const bool is_bare = fields.empty() || fields[0].empty();
    if (sent.word == "BEGIN")
    {
        return is_bare ? std::optional(statement_kind::begin)
               : fields[0] == "FETCH"
                   ? std::optional(statement_kind::begin_read_only)
                   : std::nullopt;
    }
    if (sent.word == "COMMIT" || sent.word == "ROLLBACK")
    {
        return !is_bare ? std::nullopt
               : sent.word == "COMMIT"
                   ? std::optional(statement_kind::commit)
                   : std::optional(statement_kind::rollback);
    }
    if (sent.word == "PREPARE")
    {
        const bool is_named = !field(0).empty() && !field(2).empty();
        return is_named && field(1) == "FETCH"
                   ? std::optional(statement_kind::prepare_read)
               : is_named && field(1) == "PUT"
                   ? std::optional(statement_kind::prepare_write)
                   : std::nullopt;
    }
    if (sent.word == "FETCH" && !is_bare)
    {
        return statement_kind::read;
    }
    if (sent.word == "PUT" && (!is_bare || fields.size() > 1))
    {
        return statement_kind::write;
    }
    // A value may be empty, but not missing.
    if (sent.word == "SET" && !is_bare && fields.size() > 1)
    {
        return statement_kind::set_value;
    }
    if (sent.word == "EXECUTE" && !is_bare &&
        (!field(1).empty() || fields.size() > 2))
    {
        return statement_kind::execute;
    }
    if (sent.word == "DEALLOCATE" && !is_bare)
    {
        return statement_kind::deallocate;
    }
    return std::nullopt;
}

/// True if the protocol lets a client send this line.
bool is_legal(const std::string& line)
{
    const auto sent = read_request(line);
    if (!is_text(line))
    {
        return false;
    }
    if (sent.kind == "QUERY")
    {
        const auto parts = split_fields(line, 3);
        return !sent.id.empty() && sent.id != "-" && parts.size() == 3 &&
               !parts[2].empty();
    }
    return sent.kind == "TERMINATE" ||
           (sent.kind == "STARTUP" && !sent.fields[0].empty());
}

/// A message that the proxy sends on for a statement, and how it must be read.
struct forwarded
{
    result<std::string> bytes;
    request expected;
};

constexpr std::string_view given_name = "4";

command_kind command_for(statement_kind kind)
{
    switch (kind)
    {
    case statement_kind::begin:
        return command_kind::begin;
    case statement_kind::begin_read_only:
        return command_kind::begin_read_only;
    case statement_kind::set_value:
        return command_kind::set_value;
    case statement_kind::prepare_read:
        return command_kind::prepare_read;
    default:
        return command_kind::prepare_write;
    }
}

forwarded send_on(
    const pooling::statement& value, request sent,
    const std::optional<log_position>& wait_for)
{
    if (wait_for)
    {
        sent.position = std::to_string(wait_for->term) + "." +
                        std::to_string(wait_for->index);
    }
    switch (value.kind)
    {
    case statement_kind::execute:
        sent.fields[0] = given_name;
        return {
            encode_query(
                {.sent = value,
                 .prepared_name = given_name,
                 .wait_for = wait_for}),
            sent};
    case statement_kind::begin:
    case statement_kind::begin_read_only:
    case statement_kind::set_value:
    case statement_kind::prepare_read:
    case statement_kind::prepare_write:
    {
        sent.id = "-";
        const bool is_prepare = sent.word == "PREPARE";
        if (is_prepare)
        {
            sent.fields[0] = given_name;
        }
        if (value.kind == statement_kind::begin)
        {
            sent.fields.clear();
        }
        return {
            encode_command(
                {.kind = command_for(value.kind),
                 .name = is_prepare ? given_name : std::string_view(value.name),
                 .argument = value.argument,
                 .wait_for = wait_for}),
            sent};
    }
    default:
        return {encode_query({.sent = value, .wait_for = wait_for}), sent};
    }
}

/// Returns what is wrong with how the line of a client is decoded and sent on;
/// empty if nothing is.
std::string fault_of_client_line(
    const std::string& line, const std::optional<log_position>& wait_for)
{
    const auto message = decode_client_line(line);
    if (message.has_value() != is_legal(line))
    {
        return message ? "an illegal line is accepted"
                       : "a legal line is refused";
    }
    if (!message || message->kind == client_message::type::terminate)
    {
        return {};
    }
    const auto sent = read_request(line);
    if (message->kind == client_message::type::startup)
    {
        const auto parts = split_fields(line, 3);
        const auto key = parts.size() == 3 ? parts[2] : "";
        return message->startup.database == parts[1] &&
                       message->startup.key == key
                   ? ""
                   : "other fields of STARTUP";
    }
    const auto& value = message->query;
    if (value.kind != kind_of(sent).value_or(statement_kind::invalid))
    {
        return "another kind of statement";
    }
    if (value.kind == statement_kind::invalid)
    {
        return {};
    }
    const auto [bytes, expected] = send_on(value, sent, wait_for);
    if (!bytes)
    {
        const auto& position = expected.position;
        const std::size_t added = position.empty() ? 0 : position.size() + 9;
        const bool may_refuse =
            bytes.error().code == errc::statement_too_large &&
            line.size() + added > max_line_bytes;
        return may_refuse ? "" : "a legal statement cannot be sent on";
    }
    if (bytes->size() > max_line_bytes + 2)
    {
        return "the message exceeds the limit";
    }
    for (const auto end : line_ends)
    {
        const auto lines = split_lines(*bytes, end);
        if (lines.size() != 1 || !bytes->ends_with("\r\n"))
        {
            return "not exactly one message";
        }
        if (read_request(lines[0]) != expected)
        {
            return "the member reads another message";
        }
    }
    return {};
}

/// Returns what is wrong with any line of a stream of a client.
std::string fault_of_client(const std::string& stream)
{
    for (const auto& line : split_lines(stream, line_end::cr_lf))
    {
        for (const auto& wait_for :
             {std::optional<log_position>(), std::optional(log_position{3, 7}),
              std::optional(log_position{~0ULL, ~0ULL})})
        {
            if (auto fault = fault_of_client_line(line, wait_for);
                !fault.empty())
            {
                return fault;
            }
        }
    }
    return {};
}

/// A reply as a client reads it.
struct reading
{
    std::vector<std::string> rows;
    /// COMPLETE or ERROR with its fields.
    std::vector<std::string> end;
    std::string state;
    std::string position;

    bool operator==(const reading&) const = default;
};

/// Reads the lines of one reply; none if they are not exactly one.
std::optional<reading> read_reply(const std::vector<std::string>& lines)
{
    reading value;
    for (std::size_t at = 0; at < lines.size(); ++at)
    {
        auto parts = split_fields(lines[at], 2);
        parts.resize(2);
        if (parts[0] == "DATAROW" && value.end.empty())
        {
            value.rows.push_back(parts[1]);
        }
        else if (parts[0] == "COMPLETE" && value.end.empty())
        {
            value.end = parts;
        }
        else if (parts[0] == "ERROR" && value.end.empty())
        {
            value.end = split_fields(lines[at], 3);
            value.end.resize(3);
        }
        else if (parts[0] == "READY" && !value.end.empty())
        {
            parts = split_fields(parts[1], 2);
            parts.resize(2);
            value.state = parts[0];
            value.position = parts[1];
            return at + 1 == lines.size() ? std::optional(value) : std::nullopt;
        }
        else
        {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

/// Parses a decimal number that fits; without leading zeros in the result.
std::string normal_number(const std::string& text)
{
    if (text.empty() ||
        text.find_first_not_of("0123456789") != std::string::npos)
    {
        return {};
    }
    auto digits =
        text.substr(std::min(text.find_first_not_of('0'), text.size() - 1));
    const std::string largest = "18446744073709551615";
    return digits.size() < largest.size() ||
                   (digits.size() == largest.size() && digits <= largest)
               ? digits
               : "";
}

/// What a client must read of the lines of a member.
reading
expected_reply(const std::vector<std::string>& lines, const reading& answered)
{
    static const std::set<std::string> codes{
        "BUSY",    "ABORTED", "LAGGING",  "READONLY", "MISROUTED",
        "TOOMANY", "NOSTMT",  "FAILED",   "TIMEOUT",  "INDOUBT",
        "NOAUTH",  "NODB",    "TOOLARGE", "MALFORMED"};
    auto value = answered;
    if (!std::all_of(lines.begin(), lines.end(), is_text))
    {
        value.rows.clear();
        value.end = {
            "ERROR", "FAILED", "the reply of the member holds a CR or LF"};
    }
    if (value.end[0] == "ERROR" && !codes.contains(value.end[1]))
    {
        value.end[1] = "FAILED";
        const auto start = std::string_view("ERROR FAILED ").size();
        value.end[2] = value.end[2].substr(0, max_line_bytes - start);
    }
    if (value.state != "I" && value.state != "T")
    {
        value.state = "E";
    }
    const auto point = value.position.find('.');
    const auto term = normal_number(value.position.substr(0, point));
    const auto index = point == std::string::npos
                           ? ""
                           : normal_number(value.position.substr(point + 1));
    value.position = term.empty() || index.empty() ? "-" : term + "." + index;
    return value;
}

/// Returns what is wrong with how the lines of a member reach the client.
std::string fault_of_member(const std::string& stream)
{
    reply_decoder decoder;
    std::vector<std::string> lines;
    for (const auto& line : split_lines(stream, line_end::cr_lf))
    {
        lines.push_back(line);
        const auto complete = decoder.on_line(line);
        const auto answered = read_reply(lines);
        if (!complete)
        {
            // The connection is closed.
            return answered ? "a reply is refused" : "";
        }
        if (*complete != answered.has_value())
        {
            return *complete ? "lines that are no reply are one"
                             : "a reply has no end";
        }
        if (!*complete)
        {
            continue;
        }
        const auto expected = expected_reply(lines, *answered);
        const auto bytes = encode_reply(decoder.take());
        for (const auto end : line_ends)
        {
            const auto passed = split_lines(bytes, end);
            if (!bytes.ends_with("\r\n") || read_reply(passed) != expected)
            {
                return "the client reads another reply";
            }
            if (std::any_of(
                    passed.begin(), passed.end(),
                    [](const auto& text)
                    { return text.size() > max_line_bytes; }))
            {
                return "a line of the reply exceeds the limit";
            }
        }
        lines.clear();
    }
    return {};
}

/// Extends the last line of a case to a number of bytes.
std::string padded(const std::string& stream, std::size_t size)
{
    const auto last = stream.rfind('\n');
    const auto length =
        last == std::string::npos ? stream.size() : stream.size() - last - 1;
    return stream + std::string(size - std::min(size, length), 'x');
}

/// Streams that a case of a random test holds: drawing them is cheap, and the
/// number of cases is the same for all tests of a run.
constexpr std::size_t streams_per_case = 50;

std::vector<std::string> client_cases()
{
    return tests::read_corpus("line-client.txt");
}

std::vector<std::string> member_cases()
{
    return tests::read_corpus("line-member.txt");
}

} // namespace

// Guards against a corpus that is not found, and against known cases that a
// member reads otherwise than their client wrote them.
TEST(line_fuzz, cases_of_clients_are_read_as_written)
{
    const auto cases = client_cases();
    ASSERT_GE(cases.size(), 40U);
    for (const auto& stream : cases)
    {
        EXPECT_EQ(fault_of_client(stream), "") << stream;
    }
}

// Guards against known cases of replies that a client reads otherwise than the
// member wrote them.
TEST(line_fuzz, cases_of_members_are_read_as_written)
{
    const auto cases = member_cases();
    ASSERT_GE(cases.size(), 30U);
    for (const auto& stream : cases)
    {
        EXPECT_EQ(fault_of_member(stream), "") << stream;
    }
}

// Guards against a statement that a member reads otherwise than its client
// wrote it, as two, or not at all, for lines that are nearly valid.
TEST(line_fuzz, mutated_lines_of_clients_are_read_as_written)
{
    const auto streams = rc::gen::container<std::vector<std::string>>(
        streams_per_case, tests::mutated(client_cases()));
    EXPECT_TRUE(rc::check(
        [&streams]
        {
            for (const auto& stream : *streams)
            {
                RC_ASSERT(fault_of_client(stream) == "");
            }
        }));
}

// Guards against a reply that a client reads otherwise than the member wrote
// it, as two, or without an end, for lines that are nearly valid.
TEST(line_fuzz, mutated_replies_are_read_as_written)
{
    const auto streams = rc::gen::container<std::vector<std::string>>(
        streams_per_case, tests::mutated(member_cases()));
    EXPECT_TRUE(rc::check(
        [&streams]
        {
            for (const auto& stream : *streams)
            {
                RC_ASSERT(fault_of_member(stream) == "");
            }
        }));
}

// Guards against a message that exceeds the limit on its way, or is refused
// although it does not.
TEST(line_fuzz, lines_at_the_limit_are_read_as_written)
{
    for (const auto size : {max_line_bytes - 12, max_line_bytes})
    {
        for (const auto& stream : client_cases())
        {
            EXPECT_EQ(fault_of_client(padded(stream, size)), "") << stream;
        }
    }
    for (const auto* line :
         {"DATAROW ", "COMPLETE ", "ERROR BUSY ", "ERROR X ", "ERROR",
          "ERROR INDOUBT "})
    {
        const bool is_row = std::string_view(line).starts_with("DATAROW");
        auto stream = std::string(is_row ? "" : "DATAROW a\r\n") + line;
        stream = padded(stream, max_line_bytes);
        stream += is_row ? "\r\nCOMPLETE x\r\nREADY I 3.1" : "\r\nREADY I 3.1";
        EXPECT_EQ(fault_of_member(stream), "") << line;
    }
}

// Guards against a command of the proxy that a member reads otherwise, for any
// name and argument.
TEST(line_fuzz, commands_are_read_as_written)
{
    const auto texts = tests::mutated(
        {"vp", "q1c PUT vp", "q1f FETCH dbti", "two words", "#c", "a", ""});
    const std::map<command_kind, std::vector<std::string>> words{
        {command_kind::begin, {"BEGIN"}},
        {command_kind::begin_read_only, {"BEGIN", "FETCH"}},
        {command_kind::rollback, {"ROLLBACK"}},
        {command_kind::set_value, {"SET", "name", "argument"}},
        {command_kind::prepare_read, {"PREPARE", "name", "FETCH", "argument"}},
        {command_kind::prepare_write, {"PREPARE", "name", "PUT", "argument"}},
        {command_kind::discard, {"DISCARD"}},
        {command_kind::status, {"STATUS"}},
        {command_kind::pause, {"PAUSE", "term"}},
        {command_kind::resume, {"RESUME"}},
        {command_kind::step_down, {"STEPDOWN", "term"}}};
    EXPECT_TRUE(rc::check(
        [&](std::uint64_t term, bool waits)
        {
            const auto name = *texts;
            const auto argument = *texts;
            for (const auto& [kind, parts] : words)
            {
                request expected{
                    .kind = "QUERY",
                    .id = "-",
                    .position = waits ? "3." + std::to_string(term) : "",
                    .word = parts[0]};
                for (std::size_t at = 1; at < parts.size(); ++at)
                {
                    expected.fields.push_back(
                        parts[at] == "name"       ? name
                        : parts[at] == "argument" ? argument
                        : parts[at] == "term"     ? std::to_string(term)
                                                  : parts[at]);
                }
                const auto bytes = encode_command(
                    {.kind = kind,
                     .name = name,
                     .argument = argument,
                     .term = term,
                     .wait_for = waits ? std::optional(log_position{3, term})
                                       : std::nullopt});
                const bool is_valid =
                    parts.size() < 3 || (is_field(name) && is_text(argument));
                RC_ASSERT(bytes.has_value() == is_valid);
                for (const auto end : line_ends)
                {
                    if (bytes)
                    {
                        const auto lines = split_lines(*bytes, end);
                        RC_ASSERT(lines.size() == 1U);
                        RC_ASSERT(bytes->ends_with("\r\n"));
                        RC_ASSERT(read_request(lines[0]) == expected);
                    }
                }
            }
        }));
}

// Guards against a startup that a member reads otherwise, for any names.
TEST(line_fuzz, startups_are_read_as_written)
{
    const auto texts = tests::mutated({"ledger", "alba", "i-1", "two words"});
    EXPECT_TRUE(rc::check(
        [&texts]
        {
            const auto service = *texts;
            const auto customer = *texts;
            const auto instance = *texts;
            const auto bytes = encode_startup(service, customer, instance);
            RC_ASSERT(
                bytes.has_value() ==
                (is_field(service) && is_field(customer) &&
                 (instance.empty() || is_field(instance))));
            for (const auto end : line_ends)
            {
                if (bytes)
                {
                    const auto lines = split_lines(*bytes, end);
                    RC_ASSERT(lines.size() == 1U);
                    RC_ASSERT(bytes->ends_with("\r\n"));
                    request expected{
                        .kind = "STARTUP", .fields = {service, customer}};
                    if (!instance.empty())
                    {
                        expected.fields.push_back(instance);
                    }
                    RC_ASSERT(read_request(lines[0]) == expected);
                }
            }
        }));
}
