#pragma once

#include <zinniahub/time.hpp>
#include <zinniahub/usage_collection.hpp>
#include <zinniahub/usage_counter.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace zinniahub
{

/// @brief Fixed sum of one window.
struct usage_report
{
    std::uint64_t window = 0;
    usage_counts counts;

    friend bool operator==(const usage_report&, const usage_report&) = default;
};

/// @brief Record in the store: which windows are settled, and the fixed sums of
/// those that come after them.
struct usage_record
{
    /// The windows up to this one are confirmed or skipped.
    std::uint64_t settled_through = 0;
    /// In the order of the windows, without gaps.
    std::vector<usage_report> fixed;

    /// @brief The last window whose sum can no longer change.
    std::uint64_t fixed_through() const
    {
        return fixed.empty() ? settled_through : fixed.back().window;
    }

    friend bool operator==(const usage_record&, const usage_record&) = default;
};

/// @brief Result of a call that reports one window.
enum class usage_answer
{
    accepted,
    /// A higher fencing token was seen.
    token_refused,
    /// Refused for another reason, or no answer.
    unknown
};

/// @brief Actions of the usage report planner.
namespace usage_action
{

/// @brief Read the record from the store.
struct read_record
{
};

/// @brief Numbers of a window that is being fixed, for its log line.
struct fixed_window
{
    std::uint64_t window = 0;
    usage_sum sum;
    /// Time since the end of the window.
    duration age{};
};

/// @brief Write the record; it must be at `revision`, and the holder's key at
/// the revision that the holder last read.
struct write_record
{
    usage_record record;
    /// 0: there is no record.
    std::uint64_t revision = 0;
    std::vector<fixed_window> fixed;
    /// Number of windows that are left out, the last of them, and why; the
    /// reason is empty if none is.
    std::uint64_t skipped = 0;
    std::uint64_t skipped_through = 0;
    std::string_view skip_reason;
};

/// @brief Report a window.
struct send_report
{
    usage_report report;
    std::uint64_t token = 0;
};

} // namespace usage_action

using usage_step = std::variant<
    usage_action::read_record, usage_action::write_record,
    usage_action::send_report>;

/// @brief Decides on the holder of the duty which window is summed, recorded
/// and sent, and when.
///
/// Load: a duty that moves at any step, a store that is unavailable or loses
/// answers, and calls that are executed late. A sum is sent only after the
/// record that contains it was read or written, and records replace each other
/// one by one, so that all holders send the same counts for a window.
class usage_report_planner
{
public:
    struct settings
    {
        usage_windows windows;
        /// Time after the end of a window at which its report is due.
        duration delay = std::chrono::seconds(10);
        /// Time in which the other hosts learn of a new holder and send it
        /// their counts, and most late calls of the holder before arrive.
        duration takeover_delay = std::chrono::seconds(2);
        duration retry_interval = std::chrono::milliseconds(500);
        /// Windows that one record may hold.
        std::size_t max_fixed = max_usage_windows;
    };

    explicit usage_report_planner(settings values)
        : settings_(values)
    {
    }

    /// @brief This host has taken the duty.
    void on_duty_taken(time_point now);
    void on_duty_lost();
    bool holds_duty() const
    {
        return holding_;
    }

    /// @brief Another host knows that the windows up to this one are fixed.
    void on_fixed_elsewhere(std::uint64_t window);

    /// @brief State of the world at a tick.
    struct inputs
    {
        usage_collection& collection;
        const std::set<std::string>& registered;
        const usage_collection::customer_filter& is_known;
        /// Fencing token of this host.
        std::uint64_t token = 0;
        time_point now;
        duration time_of_day{};
        /// Window in which this process started. Without a record, the reports
        /// begin with the window after it.
        std::uint64_t first_window = 0;
    };

    /// @brief Decides what to do now. At most one call of the store and one
    /// report are in progress at a time.
    std::vector<usage_step> on_tick(const inputs& given);

    /// @brief The record was read; `none` if there is none.
    /// @param revision of the record, 0 if there is none
    void
    on_record_read(std::optional<usage_record> record, std::uint64_t revision);
    /// @brief The record is not readable.
    void on_record_unreadable(std::uint64_t revision);
    /// @brief A read failed.
    void on_read_failed(time_point now);
    void on_written(const usage_record& record, std::uint64_t revision);
    /// @brief A write failed or got no answer; it may still be executed.
    void on_write_failed(time_point now);
    void on_answer(
        std::uint64_t window, usage_answer answer, std::uint64_t token,
        time_point now);

    /// @brief True while a new fencing token is needed.
    bool needs_token(std::uint64_t token) const
    {
        return holding_ && token <= refused_token_;
    }
    /// @brief The last window whose sum can no longer change, as far as this
    /// host knows.
    std::uint64_t fixed_through() const
    {
        return fixed_through_;
    }

private:
    enum class record_state
    {
        unread,
        known,
        missing,
        unreadable
    };

    void adopt(const usage_record& record, std::uint64_t revision);
    /// Last window that may not be fixed any more.
    std::uint64_t last_closed(const inputs& given);
    std::optional<usage_action::write_record> next_write(const inputs& given);
    /// Leaves out the windows that will not be fixed.
    void skip(usage_action::write_record& action, const inputs& given);
    bool is_due(std::uint64_t window, const inputs& given) const;
    std::optional<usage_action::send_report> next_report(const inputs& given);

    settings settings_;
    bool holding_ = false;
    time_point taken_at_ = time_point::min();
    record_state state_ = record_state::unread;
    usage_record record_;
    std::uint64_t revision_ = 0;
    /// Window after which a new record begins, once it was decided.
    std::optional<std::uint64_t> new_record_after_;
    bool store_busy_ = false;
    time_point next_store_call_ = time_point::min();
    bool sending_ = false;
    time_point next_report_ = time_point::min();
    std::uint64_t refused_token_ = 0;
    std::uint64_t fixed_through_ = 0;
};

} // namespace zinniahub
