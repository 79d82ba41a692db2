#include "operator/explain.hpp"

#include "observability/printable.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>

namespace zinniahub::commands
{

namespace
{

/// Events that change the state known to a host. The latest of each kind before
/// a request is shown.
constexpr std::array<std::string_view, 14> context_events{
    "started",
    "configuration_applied",
    "primary_changed",
    "members_lost",
    "members_regained",
    "store_lost",
    "store_regained",
    "duty_taken",
    "duty_lost",
    "failover_state",
    "promotion_ordered",
    "member_changed",
    "member_connect_failed",
    "stopping"};

/// Events up to this time before the request are shown.
constexpr std::int64_t context_window_ms = 5000;

bool is_context_event(std::string_view event)
{
    return std::find(context_events.begin(), context_events.end(), event) !=
           context_events.end();
}

} // namespace

void explanation::read(std::istream& input)
{
    std::string text;
    while (std::getline(input, text))
    {
        const auto start = text.find('{');
        if (start == std::string::npos)
        {
            continue;
        }
        const auto value = nlohmann::json::parse(
            text.begin() + static_cast<std::ptrdiff_t>(start), text.end(),
            nullptr, false);
        if (!value.is_object() || !value.contains("event") ||
            !value["event"].is_string() || !value.contains("ts") ||
            !value["ts"].is_number_integer())
        {
            ++unreadable_;
            continue;
        }
        line entry;
        entry.at_ms = value["ts"].get<std::int64_t>();
        entry.event = value["event"].get<std::string>();
        for (const auto& [name, field] : value.items())
        {
            const auto shown =
                field.is_string() ? field.get<std::string>() : field.dump();
            if (name == "node")
            {
                entry.node = shown;
            }
            else if (name == "id")
            {
                entry.id = shown;
            }
            else if (name != "ts" && name != "event" && name != "up_ms")
            {
                entry.fields +=
                    fmt::format(" {}={}", printable(name), field_value(shown));
            }
        }
        if (entry.event == "log_dropped")
        {
            entry.dropped = value.value("lines", std::uint64_t{0});
        }
        lines_.push_back(std::move(entry));
    }
}

bool explanation::found() const
{
    return std::any_of(
        lines_.begin(), lines_.end(),
        [this](const line& entry) { return entry.id == id_; });
}

std::vector<const explanation::line*>
explanation::context_of(const line& request) const
{
    std::map<std::string, const line*> last;
    for (const auto& entry : lines_)
    {
        const bool relevant = is_context_event(entry.event) &&
                              entry.at_ms <= request.at_ms &&
                              entry.at_ms >= request.at_ms - context_window_ms;
        const bool cluster_wide = entry.event == "promotion_ordered" ||
                                  entry.event == "failover_state";
        if (!relevant || (entry.node != request.node && !cluster_wide))
        {
            continue;
        }
        auto& latest = last[entry.event];
        if (latest == nullptr || latest->at_ms <= entry.at_ms)
        {
            latest = &entry;
        }
    }
    std::vector<const line*> context;
    context.reserve(last.size());
    for (const auto& [event, entry] : last)
    {
        context.push_back(entry);
    }
    return context;
}

std::string explanation::text() const
{
    std::vector<const line*> shown;
    std::uint64_t dropped = 0;
    for (const auto& entry : lines_)
    {
        dropped += entry.dropped;
        if (entry.id == id_)
        {
            shown.push_back(&entry);
            const auto context = context_of(entry);
            shown.insert(shown.end(), context.begin(), context.end());
        }
    }
    std::sort(
        shown.begin(), shown.end(),
        [](const line* left, const line* right)
        { return left->at_ms < right->at_ms; });
    shown.erase(std::unique(shown.begin(), shown.end()), shown.end());
    std::string out;
    for (const auto* entry : shown)
    {
        fmt::format_to(
            std::back_inserter(out), "{} {:<24} {:<22}{}\n", entry->at_ms,
            field_value(entry->node), field_value(entry->event), entry->fields);
    }
    if (!found())
    {
        out += fmt::format(
            "no line names {}: it was answered as usual (one in 64 is logged), "
            "its line was dropped, or it reached no host\n",
            id_);
    }
    if (dropped > 0 || unreadable_ > 0)
    {
        out += fmt::format(
            "missing: {} lines dropped by the hosts, {} lines unreadable\n",
            dropped, unreadable_);
    }
    return out;
}

} // namespace zinniahub::commands
