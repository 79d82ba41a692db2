#include <zinniahub/observed_state.hpp>

#include <tuple>
#include <utility>

namespace zinniahub
{

bool report_aggregator::on_report(host_report report, time_point now)
{
    if (report.report_age > report_lifetime)
    {
        return false;
    }
    const auto reported_at = now - report.report_age;
    const auto found = newest_reports_.find(report.host);
    if (found != newest_reports_.end() &&
        std::tuple(report.incarnation, reported_at) <=
            std::tuple(
                found->second.report.incarnation, found->second.reported_at))
    {
        return false;
    }
    auto name = report.host;
    newest_reports_.insert_or_assign(
        std::move(name), entry{std::move(report), reported_at});
    return true;
}

std::vector<host_report> report_aggregator::reports(time_point now)
{
    std::erase_if(
        newest_reports_, [now](const auto& item)
        { return now - item.second.reported_at > report_lifetime; });
    std::vector<host_report> current;
    current.reserve(newest_reports_.size());
    for (const auto& [name, newest] : newest_reports_)
    {
        current.push_back(newest.report);
        current.back().report_age = now - newest.reported_at;
    }
    return current;
}

} // namespace zinniahub
