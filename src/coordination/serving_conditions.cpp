#include "coordination/serving_conditions.hpp"

#include <fmt/format.h>

#include <array>
#include <string_view>

namespace zinniahub::coordination
{

namespace
{

struct named_condition
{
    std::string_view name;
    bool serving_conditions::*member;
};

constexpr std::array named_conditions{
    named_condition{"configuration", &serving_conditions::configuration},
    named_condition{"members", &serving_conditions::members},
    named_condition{"registration", &serving_conditions::registration},
    named_condition{"rate_share", &serving_conditions::rate_share}};

} // namespace

std::string missing_conditions(const serving_conditions& conditions)
{
    std::string names;
    for (const auto& condition : named_conditions)
    {
        if (conditions.*condition.member)
        {
            continue;
        }
        names += names.empty() ? "" : ",";
        names += condition.name;
    }
    return names;
}

void serving_monitor::update(const serving_conditions& current, time_point now)
{
    if (last_ == current)
    {
        return;
    }
    const auto lasted = last_ ? now - changed_at_ : duration::zero();
    events_.write(
        "serving_changed", {{"serving", current.all()},
                            {"missing", missing_conditions(current)},
                            {"after_ms", to_seconds(lasted) * 1000}});
    last_ = current;
    changed_at_ = now;
}

void serving_monitor::write_metrics(metrics::registry& registry) const
{
    const auto current = last_.value_or(serving_conditions{});
    for (const auto& condition : named_conditions)
    {
        registry.set_gauge(
            fmt::format(
                "zinniahub_serving_condition{{condition=\"{}\"}}",
                condition.name),
            current.*condition.member ? 1 : 0);
    }
}

} // namespace zinniahub::coordination
