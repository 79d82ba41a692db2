#include "observability/event_log.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <fcntl.h>
#include <iterator>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace zinniahub::log
{

namespace
{

/// Limit on the bytes buffered while the descriptor is not writable; further
/// lines are dropped.
constexpr std::size_t max_pending_bytes = std::size_t{64} * 1024;

/// Text from outside may be as long as a message; the rest is left out.
constexpr std::size_t max_value_bytes = 512;

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

struct value_writer
{
    std::string& out;

    void operator()(std::string_view text) const
    {
        // External input may contain invalid UTF-8, which is replaced.
        out +=
            nlohmann::json(text.substr(0, max_value_bytes))
                .dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    }

    template<typename T>
    void operator()(T number) const
    {
        fmt::format_to(std::back_inserter(out), "{}", number);
    }
};

} // namespace

event_log::event_log(settings values)
    : settings_(std::move(values))
{
    const int flags = fcntl(settings_.descriptor, F_GETFL);
    if (flags >= 0)
    {
        fcntl(settings_.descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

bool event_log::consume_line(std::string_view budget_name, time_point now)
{
    auto found = budgets_.find(budget_name);
    if (found == budgets_.end())
    {
        found = budgets_.emplace(budget_name, line_budget{}).first;
        found->second = {static_cast<double>(settings_.burst), now, 0};
    }
    auto& budget = found->second;
    budget.available = std::min<double>(
        settings_.burst,
        budget.available +
            to_seconds(now - budget.refilled_at) * settings_.lines_per_second);
    budget.refilled_at = now;
    if (budget.available < 1 || pending_.size() > max_pending_bytes)
    {
        ++budget.dropped;
        ++dropped_;
        return false;
    }
    budget.available -= 1;
    if (budget.dropped > 0)
    {
        report_dropped(budget_name, budget);
    }
    return true;
}

void event_log::report_dropped(std::string_view kind, line_budget& budget)
{
    const auto count = std::exchange(budget.dropped, 0);
    append_line("log_dropped", {{"kind", kind}, {"lines", count}});
}

void event_log::append_line(
    std::string_view kind, std::initializer_list<field> fields)
{
    const value_writer writer{pending_};
    fmt::format_to(
        std::back_inserter(pending_), R"({{"ts":{},"up_ms":{},"node":)",
        unix_ms(),
        clock::now().time_since_epoch() / std::chrono::milliseconds(1));
    writer(std::string_view(settings_.node));
    pending_ += R"(,"event":)";
    writer(kind);
    for (const auto& entry : fields)
    {
        pending_ += ",\"";
        pending_ += entry.name;
        pending_ += "\":";
        std::visit(writer, entry.value);
    }
    pending_ += "}\n";
}

void event_log::write(
    std::string_view kind, std::initializer_list<field> fields)
{
    write(kind, {}, fields);
}

void event_log::write(
    std::string_view kind, std::string_view cause,
    std::initializer_list<field> fields)
{
    const bool within_budget =
        cause.empty()
            ? consume_line(kind, clock::now())
            : consume_line(fmt::format("{}/{}", kind, cause), clock::now());
    if (within_budget)
    {
        append_line(kind, fields);
    }
    flush();
}

void event_log::flush()
{
    while (!pending_.empty())
    {
        const auto written =
            ::write(settings_.descriptor, pending_.data(), pending_.size());
        if (written <= 0)
        {
            return;
        }
        pending_.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace zinniahub::log
