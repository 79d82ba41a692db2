#include "observability/metrics.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace zinniahub::metrics
{

namespace
{

/// Upper bounds of the latency buckets, in seconds.
constexpr std::array<double, 13> bucket_bounds{
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
    0.1,    0.25,  0.5,    1.0,   2.5,  5.0};

constexpr std::array<double, 3> quantiles{0.5, 0.9, 0.99};

namespace acc = boost::accumulators;

/// Longer names of classes count as `other_class`, because many lines of
/// the exposition repeat the name.
constexpr std::size_t max_class_bytes = 64;
constexpr std::string_view other_class = "other";

std::string class_name(std::string_view statement_class)
{
    if (statement_class.empty())
    {
        return "default";
    }
    return std::string(
        statement_class.size() > max_class_bytes ? other_class
                                                 : statement_class);
}

} // namespace

latency_distribution::latency_distribution()
    : statistics_(acc::tag::extended_p_square::probabilities = quantiles)
{
}

void latency_distribution::record(double seconds)
{
    const auto bucket =
        std::lower_bound(bucket_bounds.begin(), bucket_bounds.end(), seconds) -
        bucket_bounds.begin();
    ++buckets_[static_cast<std::size_t>(bucket)];
    statistics_(seconds);
}

std::uint64_t latency_distribution::count() const
{
    return acc::count(statistics_);
}

void latency_distribution::write(
    std::string& out, std::string_view labels) const
{
    if (count() == 0)
    {
        return;
    }
    auto to = std::back_inserter(out);
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < bucket_bounds.size(); ++i)
    {
        cumulative += buckets_[i];
        fmt::format_to(
            to, "zinniahub_request_seconds_bucket{{{},le=\"{}\"}} {}\n", labels,
            bucket_bounds[i], cumulative);
    }
    cumulative += buckets_.back();
    fmt::format_to(
        to,
        "zinniahub_request_seconds_bucket{{{0},le=\"+Inf\"}} {1}\n"
        "zinniahub_request_seconds_sum{{{0}}} {2:.6f}\n"
        "zinniahub_request_seconds_count{{{0}}} {1}\n",
        labels, cumulative, acc::sum(statistics_));
    for (std::size_t i = 0; i < quantiles.size(); ++i)
    {
        fmt::format_to(
            to,
            "zinniahub_request_quantile_seconds{{{},quantile=\"{}\"}} {:.6f}\n",
            labels, quantiles[i],
            acc::extended_p_square(
                statistics_)[static_cast<std::ptrdiff_t>(i)]);
    }
}

void request_series::record(
    verdict outcome, errc code, bool from_replica, duration latency)
{
    const auto index = static_cast<std::size_t>(outcome);
    const std::lock_guard lock(mutex_);
    latencies_[index].record(to_seconds(latency));
    if (outcome != verdict::done)
    {
        ++errors_[code];
    }
    if (from_replica)
    {
        ++replica_reads_;
    }
}

void request_series::write(std::string& out, std::string_view labels) const
{
    const std::lock_guard lock(mutex_);
    auto to = std::back_inserter(out);
    for (const auto outcome :
         {verdict::done, verdict::not_run, verdict::unknown})
    {
        fmt::format_to(
            to, "zinniahub_requests_total{{{},verdict=\"{}\"}} {}\n", labels,
            to_string(outcome),
            latencies_[static_cast<std::size_t>(outcome)].count());
    }
    for (const auto& [code, count] : errors_)
    {
        fmt::format_to(
            to, "zinniahub_request_errors_total{{{},error=\"{}\"}} {}\n",
            labels, to_string(code), count);
    }
    fmt::format_to(
        to, "zinniahub_replica_reads_total{{{}}} {}\n", labels, replica_reads_);
    for (const auto outcome :
         {verdict::done, verdict::not_run, verdict::unknown})
    {
        latencies_[static_cast<std::size_t>(outcome)].write(
            out, fmt::format("{},verdict=\"{}\"", labels, to_string(outcome)));
    }
}

std::string escape_label(std::string_view value)
{
    std::string out;
    for (const char character : value)
    {
        if (character == '\n')
        {
            out += "\\n";
            continue;
        }
        if (character == '"' || character == '\\')
        {
            out += '\\';
        }
        out += character;
    }
    return out;
}

counter& registry::counter_of(const std::string& name)
{
    const std::lock_guard lock(mutex_);
    return counters_[name];
}

request_series&
registry::series_of(std::string_view customer, std::string_view statement_class)
{
    const std::lock_guard lock(mutex_);
    auto& classes = series_[std::string(customer)];
    auto name = class_name(statement_class);
    if (classes.size() >= max_classes && classes.find(name) == classes.end())
    {
        name = other_class;
    }
    auto& series = classes[name];
    if (!series)
    {
        series = std::make_unique<request_series>();
    }
    return *series;
}

void registry::set_gauge(const std::string& name, double value)
{
    const std::lock_guard lock(mutex_);
    gauges_[name] = value;
}

std::string registry::expose() const
{
    std::string out;
    const std::lock_guard lock(mutex_);
    for (const auto& [name, value] : counters_)
    {
        fmt::format_to(std::back_inserter(out), "{} {}\n", name, value.load());
    }
    for (const auto& [name, value] : gauges_)
    {
        fmt::format_to(std::back_inserter(out), "{} {}\n", name, value);
    }
    for (const auto& [customer, classes] : series_)
    {
        for (const auto& [name, series] : classes)
        {
            series->write(
                out, fmt::format(
                         "customer=\"{}\",class=\"{}\"", escape_label(customer),
                         escape_label(name)));
        }
    }
    return out;
}

} // namespace zinniahub::metrics
