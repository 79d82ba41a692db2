#pragma once

#include <zinniahub/outcome.hpp>
#include <zinniahub/time.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

namespace zinniahub::metrics
{

/// @brief A monotonic counter.
using counter = std::atomic<std::uint64_t>;

/// @brief Latencies of requests with the same verdict.
class latency_distribution
{
public:
    latency_distribution();

    void record(double seconds);

    /// @brief Number of requests.
    std::uint64_t count() const;

    /// @brief Appends a histogram and quantiles; appends nothing if there was
    /// no request.
    void write(std::string& out, std::string_view labels) const;

private:
    using statistics = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::count, boost::accumulators::tag::sum,
            boost::accumulators::tag::max,
            boost::accumulators::tag::extended_p_square>>;

    statistics statistics_;
    std::array<std::uint64_t, 14> buckets_{};
};

/// @brief Requests of one customer and statement class.
class request_series
{
public:
    void
    record(verdict outcome, errc code, bool from_replica, duration latency);

    /// @brief Appends the series in text exposition format.
    void write(std::string& out, std::string_view labels) const;

private:
    mutable std::mutex mutex_;
    /// Indexed by verdict.
    std::array<latency_distribution, 3> latencies_;
    std::map<errc, std::uint64_t> errors_;
    std::uint64_t replica_reads_ = 0;
};

/// @brief Returns the value of a label as the text exposition format writes it
/// between quotes.
std::string escape_label(std::string_view value);

/// @brief All counters and histograms of a process.
class registry
{
public:
    /// @brief Returns a named counter. The reference stays valid.
    /// @param name metric name with labels in exposition format
    counter& counter_of(const std::string& name);

    /// @brief Returns the series of a customer and class. At most
    /// `max_classes` classes per customer; further ones and names of more than
    /// 64 bytes count as "other".
    request_series&
    series_of(std::string_view customer, std::string_view statement_class);

    /// @brief Sets the value of a gauge.
    void set_gauge(const std::string& name, double value);

    /// @brief All metrics in text exposition format.
    std::string expose() const;

private:
    static constexpr std::size_t max_classes = 32;

    mutable std::mutex mutex_;
    std::map<std::string, counter> counters_;
    std::map<std::string, double> gauges_;
    std::map<
        std::string, std::map<std::string, std::unique_ptr<request_series>>>
        series_;
};

} // namespace zinniahub::metrics
