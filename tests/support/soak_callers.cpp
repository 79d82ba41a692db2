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
    const auto value = fmt::format("v{}", current_.session);
    if (!peer.start(current_.database, settings_.key).ok() ||
        !ask(peer, "SET owner " + value, false) || !current_.reply.ok())
    {
        return;
    }
    current_.session_value = value;
    const auto operations = numbers_.chance(30) ? 1 : numbers_.between(5, 80);
    const auto item = fmt::format("item{}", numbers_.between(0, 20));
    for (std::uint64_t done = 0; done < operations && !stopped_; ++done)
    {
        if (!operation(peer, item) || current_.reply.state != "I")
        {
            return;
        }
        // Some sessions stay idle between their operations.
        pause(
            numbers_.chance(3) ? milliseconds(1500) : settings_.longest_pause);
    }
}

bool soak_caller::operation(line_caller& peer, const std::string& item)
{
    const auto kind = numbers_.between(1, 100);
    if (kind <= 40)
    {
        return ask(peer, "FETCH " + item, true);
    }
    if (kind <= 75)
    {
        const auto data = fmt::format("d{}", next_number());
        const bool is_open =
            ask(peer, fmt::format("PUT {} {}", item, data), true);
        finish_write(data, true);
        return is_open;
    }
    return transaction(peer, item);
}

bool soak_caller::transaction(line_caller& peer, const std::string& item)
{
    const auto data = fmt::format("d{}", next_number());
    const bool is_begun = ask(peer, "BEGIN", true);
    if (!is_begun || current_.reply.state != "T")
    {
        return is_begun;
    }
    pause(20ms);
    if (!ask(peer, fmt::format("PUT {} {}", item, data), false) ||
        current_.reply.state != "T")
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
