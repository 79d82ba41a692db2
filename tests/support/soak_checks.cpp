#include "support/soak_run.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <unordered_map>

namespace zinniahub::test
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using spans = std::vector<soak_history::span>;

/// Bounds of the settings of the proxies, and of the platform.
constexpr milliseconds in_touch = 4s;
constexpr milliseconds loss_slack = 200ms;
constexpr milliseconds config_apply = 3s;
constexpr milliseconds max_staleness = 2s;
constexpr milliseconds quota_window = 5s;
constexpr double quota_overage = 0.1;
constexpr double quota_tolerance = 20;

bool overlaps(const spans& entries, soak_time from, soak_time to)
{
    return std::any_of(
        entries.begin(), entries.end(),
        [&](const soak_history::span& entry)
        { return entry.from <= to && entry.to >= from; });
}

/// Reads the records of a run; each function checks one rule.
class checks
{
public:
    checks(
        const soak_history& history, const std::vector<soak_request>& requests,
        const std::vector<soak_write>& writes, const statement_ledger& ledger,
        const replicated_log& log)
        : history_(history)
        , requests_(requests)
        , writes_(writes)
        , ledger_(ledger)
        , log_(log)
    {
        for (const auto& run : log_.runs)
        {
            runs_[run.id].push_back(&run);
        }
        const auto primary = log_.primary_locked();
        if (primary.empty())
        {
            add("RECOVER no member is the primary at the end");
            return;
        }
        for (const auto& row : log_.members.at(primary).rows)
        {
            rows_[row.data].push_back(row.position);
        }
    }

    std::vector<std::string> run()
    {
        check_lost();
        check_writes();
        check_signatures();
        check_runs();
        check_stale();
        check_quota();
        check_answers();
        check_keys();
        return std::move(out_);
    }

private:
    void add(std::string text)
    {
        // One broken rule may be seen by many requests.
        const auto rule = text.substr(0, text.find(' '));
        if (++counts_[rule] <= 3)
        {
            out_.push_back(std::move(text));
        }
    }

    double seconds(soak_time at) const
    {
        return std::chrono::duration<double>(at - history_.begun).count();
    }

    std::string describe(const soak_request& request) const
    {
        return fmt::format(
            "{} '{}' on {} at proxy {}, {:.3f} to {:.3f} s", request.id,
            printable(request.text), request.database, request.proxy,
            seconds(request.sent), seconds(request.ended));
    }

    /// Whether the proxy was ended or suspended without notice.
    bool
    is_proxy_disturbed(const soak_request& request, milliseconds before) const
    {
        const auto found = history_.proxy_faults.find(request.proxy);
        return found != history_.proxy_faults.end() &&
               overlaps(found->second, request.sent - before, request.ended);
    }

    bool is_stopping(const soak_request& request) const
    {
        const auto found = history_.proxy_stops.find(request.proxy);
        return found != history_.proxy_stops.end() &&
               overlaps(found->second, request.sent, request.ended);
    }

    bool is_disturbed(const soak_request& request) const
    {
        return is_proxy_disturbed(request, in_touch) ||
               overlaps(
                   history_.faults, request.sent - in_touch, request.ended);
    }

    void check_lost()
    {
        std::set<std::string> acknowledged;
        for (const auto& write : writes_)
        {
            if (write.result == soak_write::outcome::acknowledged)
            {
                acknowledged.insert(write.data);
            }
        }
        for (const auto& promotion : history_.promotions)
        {
            std::size_t count = 0;
            for (const auto& data : promotion.missing)
            {
                count += acknowledged.erase(data);
            }
            if (count > 0)
            {
                add(fmt::format(
                    "LOST {} acknowledged commits are not in the log of {}, "
                    "promoted at {:.3f} s",
                    count, promotion.instance, seconds(promotion.at)));
            }
        }
        for (const auto& data : acknowledged)
        {
            if (!rows_.contains(data))
            {
                add("LOST at the end: " + printable(data));
            }
        }
    }

    void check_writes()
    {
        for (const auto& [data, positions] : rows_)
        {
            if (positions.size() > 1 && data != "probe")
            {
                add(fmt::format(
                    "TWICE {} is in the log {} times", printable(data),
                    positions.size()));
            }
        }
        for (const auto& write : writes_)
        {
            const bool is_excluded =
                write.result == soak_write::outcome::refused ||
                write.result == soak_write::outcome::not_asked;
            if (is_excluded && rows_.contains(write.data))
            {
                add(fmt::format(
                    "{} {} is in the log after '{}' at proxy {}, {:.3f} s",
                    write.result == soak_write::outcome::refused ? "REFUSED"
                                                                 : "UNASKED",
                    printable(write.data), write.code, write.proxy,
                    seconds(write.acknowledged)));
            }
        }
    }

    void check_signatures()
    {
        for (const auto& request : requests_)
        {
            const bool is_data =
                request.is_read() || request.text.starts_with("PUT") ||
                request.text.starts_with("EXECUTE") || request.text == "COMMIT";
            if (!is_data || !request.reply.ok())
            {
                continue;
            }
            if (request.reply.signature != "sig-" + request.id ||
                !runs_.contains(request.id))
            {
                add("MIXED " + request.reply.signature + " for " +
                    describe(request));
            }
        }
    }

    void check_runs()
    {
        const key_owners owners{
            {"key-a", {"alba"}}, {"key-b", {"bea"}}, {"key-l", {"limited"}}};
        for (auto& difference : ledger_.check(log_, owners))
        {
            add(std::move(difference));
        }
        for (const auto& request : requests_)
        {
            // The callers send legal text only, and execute what they prepared.
            const auto& code = request.reply.code;
            if (code == "NOSTMT" || code == "MALFORMED" || code == "TOOLARGE")
            {
                add("ILLEGAL " + code + " for " + describe(request));
            }
        }
    }

    /// Position that the log of a read must have reached.
    log_position required(const soak_request& read) const
    {
        log_position out;
        const auto limit =
            read.database == "bounded" ? read.sent - max_staleness : read.sent;
        for (const auto& [at, position, session] : commits_)
        {
            if (at >= limit)
            {
                break;
            }
            if (read.database != "session" || session == read.session)
            {
                out = std::max(out, position);
            }
        }
        return out;
    }

    void check_stale()
    {
        for (const auto& write : writes_)
        {
            const auto found = rows_.find(write.data);
            if (write.result == soak_write::outcome::acknowledged &&
                found != rows_.end())
            {
                commits_.emplace_back(
                    write.acknowledged, found->second.front(), write.session);
            }
        }
        std::sort(commits_.begin(), commits_.end());
        for (const auto& request : requests_)
        {
            const auto found = runs_.find(request.id);
            if (!request.is_read() || !request.reply.ok() ||
                found == runs_.end())
            {
                continue;
            }
            log_position seen;
            for (const auto* run : found->second)
            {
                seen = std::max(seen, run->position);
            }
            const auto needed = required(request);
            if (seen < needed)
            {
                add(fmt::format(
                    "STALE log at {}.{} instead of {}.{} for {}", seen.term,
                    seen.index, needed.term, needed.index, describe(request)));
            }
        }
    }

    void check_quota()
    {
        std::vector<std::pair<soak_time, soak_time>> served;
        for (const auto& request : requests_)
        {
            const auto found = runs_.find(request.id);
            if (request.key == "key-l" && request.text != "COMMIT" &&
                found != runs_.end())
            {
                served.emplace_back(request.sent, found->second.front()->at);
            }
        }
        std::sort(served.begin(), served.end());
        const double window =
            std::chrono::duration<double>(quota_window).count();
        const double limit =
            (soak_run::limited_rate * window + soak_run::limited_rate) *
                (1 + quota_overage) +
            quota_tolerance;
        for (auto first = served.begin(); first != served.end(); ++first)
        {
            const auto end = first->first + quota_window;
            const auto count = std::count_if(
                first, served.end(),
                [end](const auto& entry) { return entry.second <= end; });
            if (static_cast<double>(count) > limit)
            {
                add(fmt::format(
                    "QUOTA {} operations in 5 s from {:.3f} s, limit {:.0f}",
                    count, seconds(first->first), limit));
                return;
            }
        }
    }

    void check_answers()
    {
        for (const auto& request : requests_)
        {
            if (request.reply.unanswered && !is_proxy_disturbed(request, 0ms))
            {
                add("UNANSWERED " + describe(request));
            }
            const bool was_read = runs_.contains(request.id) ||
                                  request.ended > request.sent + loss_slack;
            if (!request.reply.cut || !request.is_first || !was_read)
            {
                continue;
            }
            if (is_stopping(request) && !is_disturbed(request))
            {
                add("CUT by a planned stop: " + describe(request));
            }
            if (!is_stopping(request) && !is_proxy_disturbed(request, 0ms))
            {
                add("CUT by a running proxy: " + describe(request));
            }
        }
    }

    /// Whether the second key holds, if this has been so for long enough.
    std::optional<bool> second_key(const soak_request& request) const
    {
        std::optional<bool> out;
        for (const auto& [at, holds] : history_.second_key)
        {
            if (at > request.ended)
            {
                break;
            }
            out.reset();
            if (at + config_apply < request.sent)
            {
                out = holds;
            }
        }
        return out;
    }

    void check_keys()
    {
        for (const auto& request : requests_)
        {
            if (!request.is_first || is_disturbed(request))
            {
                continue;
            }
            const bool is_second = request.key == "key-b";
            const auto holds =
                is_second ? second_key(request) : std::optional(true);
            if (holds == false && runs_.contains(request.id))
            {
                add("CONFIG ran with a withdrawn key: " + describe(request));
            }
            if (holds == true && request.reply.code == "NOAUTH")
            {
                add("CONFIG refused a key that holds: " + describe(request));
            }
        }
    }

    const soak_history& history_;
    const std::vector<soak_request>& requests_;
    const std::vector<soak_write>& writes_;
    const statement_ledger& ledger_;
    const replicated_log& log_;
    std::unordered_map<std::string, std::vector<const hosted_run*>> runs_;
    std::unordered_map<std::string, std::vector<log_position>> rows_;
    std::vector<std::tuple<soak_time, log_position, std::size_t>> commits_;
    std::map<std::string, std::size_t> counts_;
    std::vector<std::string> out_;
};

} // namespace

std::vector<std::string> check_soak(
    const soak_history& history, const std::vector<soak_request>& requests,
    const std::vector<soak_write>& writes, const statement_ledger& ledger,
    replicated_log& log)
{
    const std::lock_guard lock(log.mutex);
    auto out = history.findings;
    const auto found = checks(history, requests, writes, ledger, log).run();
    out.insert(out.end(), found.begin(), found.end());
    return out;
}

} // namespace zinniahub::test
