#include "coordination/usage_reporter.hpp"

#include "coordination/usage_record_codec.hpp"

#include <zinniahub/membership.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <utility>

namespace zinniahub::coordination
{

namespace asio = boost::asio;

namespace
{

constexpr std::string_view counts_word = "usage";
constexpr std::string_view acknowledgement_word = "usage_ok";
constexpr std::string_view time_word = "usage_time";

constexpr duration tick_interval = std::chrono::milliseconds(100);

/// Each host sends its time of day to one other host at this interval, so that
/// each hears from up to 20 hosts within the lifetime of a report.
constexpr duration time_interval = std::chrono::milliseconds(500);

constexpr duration collectors_interval = std::chrono::milliseconds(500);

/// A new holder learns of the counts of silent hosts within this time.
constexpr duration forward_time = std::chrono::seconds(8);

/// Windows that are sent to one collector in one tick. A backup forwards at
/// most some hundred datagrams a second, which the smallest link carries.
constexpr std::size_t max_items_per_tick = 16;

/// Time after a refused token until the holder writes its key again.
constexpr duration token_delay = std::chrono::seconds(1);

/// Id by whose rendezvous order the backup is chosen.
constexpr std::string_view backup_id = "usage";

constexpr std::array<std::pair<usage_drop, std::string_view>, usage_drop_kinds>
    drop_names{
        {{usage_drop::window_fixed, "window_fixed"},
         {usage_drop::window_out_of_range, "window_out_of_range"},
         {usage_drop::count_too_high, "count_too_high"},
         {usage_drop::customer_unknown, "customer_unknown"},
         {usage_drop::limit_reached, "limit_reached"}}};

duration own_time_of_day()
{
    return std::chrono::system_clock::now().time_since_epoch();
}

std::int64_t to_ms(duration value)
{
    return value / std::chrono::milliseconds(1);
}

/// First host other than the holder, in rendezvous order; empty if there is
/// none.
std::string
backup_of(const std::set<std::string>& registered, const std::string& holder)
{
    std::vector<std::string> others;
    std::copy_if(
        registered.begin(), registered.end(), std::back_inserter(others),
        [&holder](const std::string& host) { return host != holder; });
    if (others.empty())
    {
        return {};
    }
    return others[rendezvous_order(stable_id(backup_id), others).front()];
}

std::uint64_t total_of(const usage_counts& counts)
{
    std::uint64_t total = 0;
    for (const auto& [customer, count] : counts)
    {
        total += count;
    }
    return total;
}

} // namespace

usage_reporter::usage_reporter(
    asio::io_context& io, store& target, usage_api& platform,
    datagram_transport& network, const host_registry& hosts, duty_lease& duty,
    settings values, log::event_log& events)
    : io_(io)
    , store_(target)
    , platform_(platform)
    , network_(network)
    , hosts_(hosts)
    , duty_(duty)
    , settings_(std::move(values))
    , events_(events)
    , windows_(settings_.window)
    , incarnation_(static_cast<std::uint64_t>(to_unix_ms(own_time_of_day())))
    , counter_(windows_)
    , outbox_({.host = settings_.host})
    , planner_({.windows = windows_, .delay = settings_.delay})
    // Hosts begin with different peers, so that the messages are spread.
    , next_peer_(std::hash<std::string>{}(settings_.host))
{
    time_.update(own_time_of_day(), clock::now());
    network_.set_handler(
        counts_word, [this](std::string_view from, std::string_view text)
        { on_counts(from, text); });
    network_.set_handler(
        acknowledgement_word,
        [this](std::string_view from, std::string_view text)
        { on_acknowledgement(from, text); });
    network_.set_handler(
        time_word, [this](std::string_view from, std::string_view text)
        { on_time(from, text); });
}

void usage_reporter::start()
{
    asio::co_spawn(io_, run(), asio::detached);
}

awaitable<void> usage_reporter::run()
{
    asio::steady_timer timer(io_);
    while (true)
    {
        timer.expires_after(tick_interval);
        co_await timer.async_wait(asio::use_awaitable);
        on_tick();
    }
}

void usage_reporter::on_tick()
{
    const auto now = clock::now();
    time_.update(own_time_of_day(), now);
    const auto present = windows_.at(time_.at(now));
    collect_own(time_.at(now), present);
    collection_.on_tick(present);
    update_collectors(now);
    send_counts(now);
    send_time(now);
    update_duty(now);
    plan(now);
}

void usage_reporter::on_operation(std::string_view customer, time_point sent_at)
{
    const bool can_be_sent = is_usage_name(customer);
    if (!can_be_sent || !counter_.count(customer, time_.at(sent_at)))
    {
        ++totals_.not_counted;
    }
}

void usage_reporter::collect_own(duration time_of_day, std::uint64_t present)
{
    counter_.on_tick(time_of_day);
    for (const auto& [window, counts] : counter_.windows())
    {
        usage_part part{
            .origin = {settings_.host, incarnation_},
            .window = window,
            .counts = counts};
        if (finished_ || windows_.age(window, time_of_day) >= usage_settle_time)
        {
            part.final_total = total_of(counts);
        }
        collection_.merge(part, present);
    }
}

void usage_reporter::update_collectors(time_point now)
{
    const bool is_new_holder =
        !duty_.holder().empty() &&
        (duty_.holder() != holder_ || duty_.revision() != holder_revision_);
    if (!is_new_holder && now < next_collectors_)
    {
        return;
    }
    next_collectors_ = now + collectors_interval;
    registered_ = hosts_.hosts();
    outbox_.set_host_count(registered_.size());
    if (is_new_holder)
    {
        // A new process of the holder has no counts either.
        holder_ = duty_.holder();
        holder_revision_ = duty_.revision();
        forward_until_ = now + forward_time;
        outbox_.forget(holder_);
    }
    collectors_ = {holder_, backup_of(registered_, holder_)};
    std::erase_if(
        collectors_, [this](const std::string& host)
        { return host.empty() || host == settings_.host; });
    outbox_.set_targets(collectors_);
}

void usage_reporter::send_counts(time_point now)
{
    for (const auto& target : collectors_)
    {
        send_counts_to(target, now);
    }
}

void usage_reporter::send_counts_to(const std::string& target, time_point now)
{
    const auto address = hosts_.address_of(target);
    if (address.empty())
    {
        return;
    }
    // Hosts that are running send their counts themselves.
    const auto silence = 2 * outbox_.interval();
    const auto forwards = [&](const usage_origin& origin)
    {
        const auto heard = heard_at_.find(origin.host);
        return target == holder_ && now < forward_until_ &&
               (heard == heard_at_.end() || now - heard->second >= silence);
    };
    for (const auto& item :
         outbox_.due(target, collection_, max_items_per_tick, now, forwards))
    {
        send_entry(
            address, item,
            collection_.windows().at(item.window).at(item.origin));
    }
}

void usage_reporter::send_entry(
    const std::string& address, const usage_outbox::item& item,
    const usage_entry& entry)
{
    const usage_message message{
        .time_of_day = own_time_of_day(),
        .fixed_through = planner_.fixed_through(),
        .part = {
            .origin = item.origin,
            .window = item.window,
            .counts = entry.counts,
            .final_total = entry.final_total}};
    for (const auto& text : encode_usage(counts_word, message))
    {
        network_.send(address, text);
    }
}

void usage_reporter::finish()
{
    finished_ = true;
    const auto now = time_.at(clock::now());
    collect_own(now, windows_.at(now));
    const usage_origin own{settings_.host, incarnation_};
    for (const auto& [window, origins] : collection_.windows())
    {
        const auto entry = origins.find(own);
        for (const auto& target : collectors_)
        {
            const auto address = hosts_.address_of(target);
            if (entry != origins.end() && !address.empty())
            {
                send_entry(address, {window, own}, entry->second);
            }
        }
    }
}

void usage_reporter::send_time(time_point now)
{
    const auto& peers = hosts_.peer_addresses();
    if (now < next_time_ || peers.empty())
    {
        return;
    }
    next_time_ = now + time_interval;
    network_.send(
        peers[next_peer_++ % peers.size()],
        fmt::format("{} {}", time_word, to_unix_ms(own_time_of_day())));
}

bool usage_reporter::is_from_host(std::string_view from) const
{
    const auto& peers = hosts_.peer_addresses();
    return std::find(peers.begin(), peers.end(), from) != peers.end();
}

void usage_reporter::drop_message(std::string_view from, std::string_view why)
{
    ++totals_.messages_dropped;
    events_.write("usage_message_dropped", why, {{"from", from}, {"why", why}});
}

void usage_reporter::on_counts(std::string_view from, std::string_view text)
{
    if (!is_from_host(from))
    {
        drop_message(from, "not_registered");
        return;
    }
    const auto message = decode_usage(text);
    if (!message)
    {
        drop_message(from, "malformed");
        return;
    }
    const auto now = clock::now();
    const auto present = windows_.at(time_.at(now));
    const auto& part = message->part;
    time_.on_report(from, message->time_of_day, now);
    if (message->fixed_through <= present)
    {
        planner_.on_fixed_elsewhere(message->fixed_through);
    }
    if (hosts_.address_of(part.origin.host) == from)
    {
        heard_at_[part.origin.host] = now;
    }
    collection_.merge(part, present);
    acknowledge(from, part);
}

void usage_reporter::acknowledge(std::string_view from, const usage_part& part)
{
    if (!part.final_total)
    {
        return;
    }
    if (part.window > collection_.closed_through())
    {
        const auto origins = collection_.windows().find(part.window);
        if (origins == collection_.windows().end())
        {
            return;
        }
        const auto entry = origins->second.find(part.origin);
        if (entry == origins->second.end() || !entry->second.is_complete())
        {
            return;
        }
    }
    network_.send(
        from, encode_usage_acknowledgement(
                  acknowledgement_word, {.time_of_day = own_time_of_day(),
                                         .window = part.window,
                                         .origin = part.origin,
                                         .total = *part.final_total}));
}

void usage_reporter::on_acknowledgement(
    std::string_view from, std::string_view text)
{
    if (!is_from_host(from))
    {
        drop_message(from, "not_registered");
        return;
    }
    const auto value = decode_usage_acknowledgement(text);
    if (!value)
    {
        drop_message(from, "malformed");
        return;
    }
    time_.on_report(from, value->time_of_day, clock::now());
    for (const auto& target : collectors_)
    {
        if (hosts_.address_of(target) == from)
        {
            outbox_.on_acknowledged(
                target, value->window, value->origin, value->total);
        }
    }
}

void usage_reporter::on_time(std::string_view from, std::string_view text)
{
    if (!is_from_host(from))
    {
        drop_message(from, "not_registered");
        return;
    }
    const auto time_of_day = consume_time_of_day(text);
    if (!time_of_day || !text.empty())
    {
        drop_message(from, "malformed");
        return;
    }
    time_.on_report(from, *time_of_day, clock::now());
}

void usage_reporter::close_through(std::uint64_t window)
{
    planner_.on_fixed_elsewhere(window);
    counter_.close_through(window);
    collection_.close_through(window);
    outbox_.close_through(window);
}

void usage_reporter::on_item(const stored_item& item)
{
    if (item.key != usage_key || item.removed)
    {
        return;
    }
    const auto record = decode_usage_record(item.value);
    if (record)
    {
        close_through(record->fixed_through());
    }
}

bool usage_reporter::holds_duty(std::uint64_t epoch) const
{
    return duty_.is_held(clock::now()) && duty_.epoch() == epoch;
}

void usage_reporter::update_duty(time_point now)
{
    if (!duty_.is_held(now))
    {
        planner_.on_duty_lost();
        return;
    }
    if (planner_.holds_duty() && epoch_ == duty_.epoch())
    {
        return;
    }
    epoch_ = duty_.epoch();
    token_ = duty_.taken_revision();
    renewing_token_ = false;
    planner_.on_duty_taken(now);
}

void usage_reporter::plan(time_point now)
{
    if (!planner_.holds_duty() || configuration_ == nullptr)
    {
        return;
    }
    if (planner_.needs_token(token_))
    {
        token_ = std::max(token_, duty_.revision());
    }
    if (planner_.needs_token(token_) && !renewing_token_ && now >= next_token_)
    {
        renewing_token_ = true;
        asio::co_spawn(io_, renew_token(), asio::detached);
    }
    const usage_collection::customer_filter is_known =
        [this](std::string_view customer)
    { return configuration_->customers.contains(customer); };
    const usage_report_planner::inputs given{
        .collection = collection_,
        .registered = registered_,
        .is_known = is_known,
        .token = token_,
        .now = now,
        .time_of_day = time_.at(now),
        .first_window = windows_.at(time_.at(started_at_))};
    for (auto& step : planner_.on_tick(given))
    {
        if (auto* write = std::get_if<usage_action::write_record>(&step))
        {
            asio::co_spawn(
                io_, write_record(std::move(*write)), asio::detached);
        }
        else if (auto* send = std::get_if<usage_action::send_report>(&step))
        {
            asio::co_spawn(io_, send_report(std::move(*send)), asio::detached);
        }
        else
        {
            asio::co_spawn(io_, read_record(), asio::detached);
        }
    }
}

awaitable<void> usage_reporter::renew_token()
{
    const auto epoch = epoch_;
    co_await duty_.renew_token();
    if (epoch == epoch_)
    {
        renewing_token_ = false;
        next_token_ = clock::now() + token_delay;
    }
}

awaitable<void> usage_reporter::read_record()
{
    const auto epoch = epoch_;
    const auto records = co_await store_.list(usage_key);
    if (epoch != epoch_)
    {
        co_return;
    }
    if (!records)
    {
        planner_.on_read_failed(clock::now());
        co_return;
    }
    const auto found = std::find_if(
        records->items.begin(), records->items.end(),
        [](const stored_item& item) { return item.key == usage_key; });
    if (found == records->items.end())
    {
        planner_.on_record_read(std::nullopt, 0);
        co_return;
    }
    auto record = decode_usage_record(found->value);
    if (!record)
    {
        events_.write(
            "record_unreadable", {{"key", found->key},
                                  {"revision", found->revision},
                                  {"detail", record.error().detail}});
        planner_.on_record_unreadable(found->revision);
        co_return;
    }
    planner_.on_record_read(std::move(*record), found->revision);
    close_through(planner_.fixed_through());
}

awaitable<void> usage_reporter::write_record(usage_action::write_record action)
{
    const auto epoch = epoch_;
    store_transaction change;
    change.preconditions.push_back({std::string(duty_key), duty_.revision()});
    change.preconditions.push_back({std::string(usage_key), action.revision});
    change.writes.push_back(
        {std::string(usage_key), encode_usage_record(action.record), 0});
    const auto written = co_await store_.commit(change);
    if (epoch != epoch_)
    {
        co_return;
    }
    if (!written)
    {
        events_.write(
            "usage_record_failed", {{"error", to_string(written.error().code)},
                                    {"detail", written.error().detail}});
        planner_.on_write_failed(clock::now());
        co_return;
    }
    log_write(action, *written);
    planner_.on_written(action.record, *written);
    close_through(action.record.fixed_through());
}

void usage_reporter::log_write(
    const usage_action::write_record& action, std::uint64_t revision)
{
    if (!action.skip_reason.empty())
    {
        totals_.skipped += action.skipped;
        events_.write(
            "usage_skipped", {{"through", action.skipped_through},
                              {"windows", action.skipped},
                              {"why", action.skip_reason}});
    }
    for (const auto& window : action.fixed)
    {
        totals_.hosts_missing = window.sum.missing;
        events_.write(
            "usage_fixed", {{"window", window.window},
                            {"customers", window.sum.counts.size()},
                            {"total", window.sum.total},
                            {"hosts", window.sum.hosts},
                            {"missing", window.sum.missing},
                            {"age_ms", to_ms(window.age)},
                            {"revision", revision}});
    }
}

awaitable<void> usage_reporter::send_report(usage_action::send_report action)
{
    const auto epoch = epoch_;
    if (!holds_duty(epoch))
    {
        co_return;
    }
    const auto answer = co_await platform_.report_usage(
        action.report.window, action.report.counts, settings_.host,
        action.token);
    if (epoch == epoch_)
    {
        on_report_answered(action.report.window, answer, action.token);
    }
}

void usage_reporter::on_report_answered(
    std::uint64_t window, const result<void>& answer, std::uint64_t token)
{
    const auto now = clock::now();
    const auto code = answer ? errc{} : answer.error().code;
    events_.write(
        "usage_sent", {{"window", window},
                       {"token", token},
                       {"outcome", answer ? "accepted" : to_string(code)}});
    const auto outcome = answer                   ? usage_answer::accepted
                         : code == errc::conflict ? usage_answer::token_refused
                                                  : usage_answer::unknown;
    if (outcome == usage_answer::token_refused)
    {
        next_token_ = now + token_delay;
    }
    planner_.on_answer(window, outcome, token, now);
    if (outcome != usage_answer::accepted)
    {
        return;
    }
    const auto age = windows_.age(window, time_.at(now));
    const bool is_late = age > settings_.delay;
    ++totals_.confirmed;
    totals_.late += is_late ? 1 : 0;
    events_.write(
        "usage_confirmed",
        {{"window", window}, {"age_ms", to_ms(age)}, {"late", is_late}});
}

void usage_reporter::write_metrics(metrics::registry& target) const
{
    const auto gauge = [&target](const std::string& name, auto value)
    { target.set_gauge(name, static_cast<double>(value)); };
    gauge("zinniahub_usage_windows_confirmed", totals_.confirmed);
    gauge("zinniahub_usage_windows_late", totals_.late);
    gauge("zinniahub_usage_windows_skipped", totals_.skipped);
    gauge("zinniahub_usage_hosts_missing", totals_.hosts_missing);
    gauge("zinniahub_usage_not_counted", totals_.not_counted);
    gauge("zinniahub_usage_messages_dropped", totals_.messages_dropped);
    gauge("zinniahub_usage_fixed_through", planner_.fixed_through());
    for (const auto& [why, name] : drop_names)
    {
        gauge(
            fmt::format("zinniahub_usage_dropped{{reason=\"{}\"}}", name),
            collection_.dropped(why));
    }
}

} // namespace zinniahub::coordination
