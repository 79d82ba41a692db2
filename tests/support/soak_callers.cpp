#include "support/soak_callers.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace zinniahub::test
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Far above the time limit of a statement and the wait for a member.
constexpr milliseconds reply_limit = 6s;

std::uint64_t next_number()
{
    static std::atomic<std::uint64_t> count{0};
    return ++count;
}

/// Codes that promise that nothing of the attempt is kept.
bool is_promise(const std::string& code)
{
    constexpr const char* promises[] = {"BUSY",     "ABORTED",   "LAGGING",
                                        "READONLY", "MISROUTED", "TOOMANY"};
    return std::any_of(
        std::begin(promises), std::end(promises),
        [&code](const char* promise) { return code == promise; });
}

} // namespace

soak_caller::soak_caller(settings values, choose_proxy choose)
    : settings_(std::move(values))
    , choose_(std::move(choose))
    , numbers_(settings_.seed)
    , text_(~settings_.seed)
    , thread_([this] { work(); })
{
}

soak_caller::~soak_caller()
{
    stop();
}

void soak_caller::stop()
{
    stopped_ = true;
    if (thread_.joinable())
    {
        thread_.join();
    }
}

void soak_caller::pause(milliseconds longest)
{
    std::this_thread::sleep_for(milliseconds(
        numbers_.between(1, static_cast<std::uint64_t>(longest.count()))));
}

void soak_caller::work()
{
    while (!stopped_)
    {
        const auto proxy = choose_(numbers_);
        if (proxy)
        {
            session(proxy->first, proxy->second);
        }
        pause(settings_.longest_pause);
    }
}

/// Sends a statement and records it.
/// @return false if the session has ended
bool soak_caller::ask(line_caller& peer, const std::string& text, bool is_first)
{
    current_.text = text;
    current_.is_first = is_first;
    current_.executes_read = text.starts_with("EXECUTE " + read_name_ + " ");
    current_.sent = steady_clock::now();
    current_.reply = peer.run(text);
    current_.ended = steady_clock::now();
    current_.id = peer.last_id();
    requests.push_back(current_);
    return !current_.reply.cut && !current_.reply.unanswered;
}

void soak_caller::session(std::size_t proxy, const std::string& address)
{
    constexpr const char* databases[] = {
        "latest", "latest", "bounded", "session"};
    current_ = {};
    current_.proxy = proxy;
    current_.database = databases[numbers_.between(0, 3)];
    current_.key = settings_.key;
    current_.session = next_number();
    line_caller peer(address, reply_limit);
    // Names collide between sessions, as do many shapes and items.
    read_name_ = "s" + client_text(numbers_.between(0, 5)).field();
    write_name_ = "w" + client_text(numbers_.between(0, 5)).field();
    const auto owner = fmt::format("SET owner v{}", current_.session);
    if (!peer.start(current_.database, settings_.key).ok() ||
        !ask(peer, owner, false) || !current_.reply.ok() || !prepare(peer))
    {
        return;
    }
    const auto operations = numbers_.chance(30) ? 1 : numbers_.between(5, 80);
    const auto item = client_text(numbers_.between(0, 20)).field();
    for (std::uint64_t done = 0; done < operations && !stopped_; ++done)
    {
        if ((numbers_.chance(10) && !change_session(peer)) ||
            !operation(peer, item) || current_.reply.state != "I")
        {
            return;
        }
        // Some sessions stay idle between their operations.
        pause(
            numbers_.chance(3) ? milliseconds(1500) : settings_.longest_pause);
    }
}

/// Prepares a read and a write.
/// @return false if the session has ended or a statement failed
bool soak_caller::prepare(line_caller& peer)
{
    return ask(peer, "PREPARE " + read_name_ + " FETCH " + shape(), false) &&
           current_.reply.ok() &&
           ask(peer, "PREPARE " + write_name_ + " PUT " + shape(), false) &&
           current_.reply.ok();
}

/// Gives the session another value or other prepared statements.
/// @return false if the session has ended or a statement failed
bool soak_caller::change_session(line_caller& peer)
{
    if (numbers_.chance(50))
    {
        return set_value(peer);
    }
    return ask(peer, "DEALLOCATE " + write_name_, false) &&
           current_.reply.ok() && prepare(peer);
}

bool soak_caller::set_value(line_caller& peer)
{
    const auto name = client_text(numbers_.between(0, 3)).field();
    return ask(peer, "SET " + name + " " + text_.value(), false) &&
           current_.reply.ok();
}

/// Sends a write, prepared or not.
/// @return false if the session has ended
bool soak_caller::write(
    line_caller& peer, const std::string& item, const std::string& data,
    bool is_first)
{
    const auto start =
        numbers_.chance(50) ? "PUT " : "EXECUTE " + write_name_ + " ";
    return ask(peer, start + item + " " + data, is_first);
}

/// Data that no other attempt writes.
std::string soak_caller::new_data()
{
    return fmt::format("d{} ", next_number()) + text_.text();
}

/// Some shapes are the start of others, and sessions share them.
std::string soak_caller::shape()
{
    auto plain = fmt::format("q{}", numbers_.between(0, 5));
    switch (numbers_.between(0, 3))
    {
    case 0:
        return plain;
    case 1:
        return plain + (numbers_.chance(50) ? " PUT vp" : " FETCH vp");
    case 2:
        return client_text(numbers_.between(0, 20)).text();
    default:
        return text_.text();
    }
}

bool soak_caller::operation(line_caller& peer, const std::string& item)
{
    const auto kind = numbers_.between(1, 100);
    if (kind <= 40)
    {
        const auto start =
            kind <= 20 ? "FETCH " : "EXECUTE " + read_name_ + " ";
        return ask(peer, start + item, true);
    }
    if (kind <= 75)
    {
        const auto data = new_data();
        const bool is_open = write(peer, item, data, true);
        finish_write(data, true);
        return is_open;
    }
    return transaction(peer, item);
}

bool soak_caller::transaction(line_caller& peer, const std::string& item)
{
    const auto data = new_data();
    const bool is_begun = ask(peer, "BEGIN", true);
    if (!is_begun || current_.reply.state != "T")
    {
        return is_begun;
    }
    pause(20ms);
    const bool is_set = numbers_.chance(30);
    const bool is_set_first = numbers_.chance(50);
    if ((is_set && is_set_first && !set_value(peer)) ||
        !write(peer, item, data, false) || current_.reply.state != "T" ||
        (is_set && !is_set_first && !set_value(peer)))
    {
        finish_write(data, false);
        return false;
    }
    pause(numbers_.chance(5) ? 1500ms : 30ms);
    // Some clients leave in the middle, some roll back.
    if (numbers_.chance(5))
    {
        finish_write(data, false);
        return false;
    }
    const bool is_commit = !numbers_.chance(15);
    const bool is_open = ask(peer, is_commit ? "COMMIT" : "ROLLBACK", false);
    finish_write(data, is_commit);
    return is_open;
}

/// Records the outcome of an attempt whose last request is `current_`.
void soak_caller::finish_write(const std::string& data, bool is_commit_sent)
{
    soak_write write;
    write.data = data;
    write.session = current_.session;
    write.proxy = current_.proxy;
    write.acknowledged = current_.ended;
    write.code = current_.reply.code;
    if (!is_commit_sent)
    {
        write.result = soak_write::outcome::not_asked;
    }
    else if (current_.reply.ok())
    {
        write.result = soak_write::outcome::acknowledged;
    }
    else if (is_promise(current_.reply.code))
    {
        write.result = soak_write::outcome::refused;
    }
    writes.push_back(std::move(write));
}

} // namespace zinniahub::test
