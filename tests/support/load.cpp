#include "support/load.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace zinniahub::test
{

namespace
{

constexpr std::chrono::milliseconds connect_timeout{500};
/// Pause between the requests of a transaction.
constexpr std::chrono::milliseconds transaction_pause{20};

std::string next_load_name()
{
    static std::atomic<int> loads = 0;
    return fmt::format("run{}", loads++);
}

request_record write_of(const std::string& row)
{
    request_record entry;
    entry.row = row;
    entry.is_write = true;
    return entry;
}

} // namespace

load_options reads_of(const std::string& customer)
{
    load_options options;
    options.work = load_work::reads;
    options.customer = customer;
    options.callers = 8;
    options.roams = roaming::when_unreachable;
    options.deadline = std::chrono::milliseconds(5000);
    options.pause = {};
    return options;
}

load_options writes_at(std::vector<std::size_t> proxies)
{
    load_options options;
    options.work = load_work::writes;
    options.callers = proxies.size();
    options.proxies = std::move(proxies);
    options.roams = roaming::after_lost_stream;
    options.deadline = std::chrono::milliseconds(5000);
    options.pause = {};
    // Bounds the load of a caller whose requests fail at once.
    options.failure_pause = std::chrono::milliseconds(10);
    options.retry_pause = {};
    options.attempts = 1;
    // Bounds the number of rows in a test.
    options.operations = 4000;
    options.read_back = false;
    return options;
}

load::load(const fleet& system, load_options options)
    : system_(system)
    , options_(std::move(options))
    , name_(next_load_name())
    , started_at_(clock::now())
    , callers_(options_.callers + options_.readers)
    , done_operations_(options_.callers)
{
    threads_.reserve(callers_.size());
    for (std::size_t i = 0; i < callers_.size(); ++i)
    {
        threads_.emplace_back([this, i] { run(i); });
    }
}

load::~load()
{
    stop();
}

request_records load::stop()
{
    stopping_ = true;
    for (auto& thread : threads_)
    {
        thread.join();
    }
    threads_.clear();
    return records();
}

// Callers

bool load::is_reader(std::size_t index) const
{
    return index >= options_.callers;
}

bool load::wait_for_turn(std::size_t index, std::size_t number) const
{
    if (options_.rate <= 0)
    {
        return !stopping_;
    }
    const auto count = number * options_.callers + index;
    const auto turn =
        started_at_ + from_seconds(static_cast<double>(count) / options_.rate);
    while (!stopping_ && clock::now() < turn)
    {
        std::this_thread::sleep_for(std::min<duration>(
            turn - clock::now(), std::chrono::milliseconds(20)));
    }
    return !stopping_;
}

std::size_t load::proxy_of(std::size_t index) const
{
    const auto moves = callers_[index].moves;
    const auto& proxies = options_.proxies;
    if (options_.target)
    {
        return (options_.target(index) + moves) % system_.proxies();
    }
    if (proxies.empty())
    {
        return (index + moves) % system_.proxies();
    }
    return options_.roams == roaming::after_refusal
               ? proxies[(index + moves) % proxies.size()]
               : (proxies[index % proxies.size()] + moves) % system_.proxies();
}

caller& load::connection(std::size_t index)
{
    auto& state = callers_[index];
    auto& used = state.connections[state.proxy];
    if (!used)
    {
        used = system_.connect(state.proxy, options_.customer, options_.group);
        used->set_deadline(options_.deadline);
        used->set_session_token(state.token);
    }
    return *used;
}

void load::move_on(std::size_t index)
{
    auto& state = callers_[index];
    state.token = connection(index).session_token();
    state.connections.erase(state.proxy);
    ++state.moves;
    state.proxy = proxy_of(index);
}

template<typename Call>
caller_reply
load::send(std::size_t index, request_record entry, const Call& call)
{
    auto& used = connection(index);
    entry.proxy = callers_[index].proxy;
    entry.sent_at = clock::now();
    auto reply = call(used);
    entry.completed_at = clock::now();
    entry.outcome = reply.outcome;
    entry.code = reply.code;
    entry.detail = reply.detail;
    entry.served_by = reply.served_by;
    const std::lock_guard lock(mutex_);
    records_.push_back(std::move(entry));
    return reply;
}

// Operations

void load::run(std::size_t index)
{
    for (std::size_t number = 0;
         number < options_.operations && wait_for_turn(index, number); ++number)
    {
        callers_[index].proxy = proxy_of(index);
        const bool done = run_operation(index, number);
        if (!is_reader(index))
        {
            const std::lock_guard lock(mutex_);
            ++(done ? done_operations_[index] : failed_operations_);
        }
        std::this_thread::sleep_for(
            done ? options_.pause : options_.pause + options_.failure_pause);
    }
    callers_[index].connections.clear();
}

bool load::run_operation(std::size_t index, std::uint64_t number)
{
    if (is_reader(index) || options_.work == load_work::reads)
    {
        return run_read(index);
    }
    const bool transaction =
        options_.work == load_work::writes_and_transactions &&
        options_.transaction_every != 0 &&
        number % options_.transaction_every == 0;
    return transaction ? run_transaction(index, number)
                       : run_write(index, number);
}

bool load::run_read(std::size_t index)
{
    auto& state = callers_[index];
    const bool skips = options_.roams == roaming::when_unreachable;
    if (skips && !connection(index).wait_for_connection(connect_timeout))
    {
        state.connections.erase(state.proxy);
        ++state.moves;
        return false;
    }
    const auto reply = send(
        index, {},
        [&](caller& at)
        {
            if (is_reader(index))
            {
                at.set_session_token({});
            }
            return at.read(options_.text);
        });
    if (skips && (reply.code == errc::connection_lost || !reply.answered))
    {
        state.connections.erase(state.proxy);
    }
    if (!reply.is_done() && options_.roams == roaming::after_refusal)
    {
        move_on(index);
    }
    return reply.is_done();
}

template<typename Attempt>
verdict load::repeat(std::size_t index, const Attempt& attempt)
{
    auto known = verdict::not_run;
    for (std::size_t i = 0; i < options_.attempts && known == verdict::not_run;
         ++i)
    {
        known = attempt();
        if (known == verdict::not_run)
        {
            if (options_.roams == roaming::after_refusal)
            {
                move_on(index);
            }
            std::this_thread::sleep_for(options_.retry_pause);
        }
    }
    return known;
}

bool load::run_write(std::size_t index, std::uint64_t number)
{
    const auto row = fmt::format("{}/{}/{}", name_, index, number);
    const auto known = repeat(
        index,
        [&]
        {
            const auto reply = send(
                index, write_of(row),
                [&](caller& at) { return at.write("add " + row + " 1"); });
            if (!reply.answered && options_.roams == roaming::after_lost_stream)
            {
                move_on(index);
            }
            return reply.outcome;
        });
    {
        const std::lock_guard lock(mutex_);
        rows_[row] = known;
    }
    if (known == verdict::done && options_.read_back)
    {
        check_read(index, row);
    }
    return known == verdict::done;
}

void load::check_read(std::size_t index, const std::string& row)
{
    repeat(
        index,
        [&]
        {
            const auto reply = send(
                index, {}, [&](caller& at) { return at.read("get " + row); });
            if (!reply.is_done())
            {
                // A read is repeated after any outcome; it has no effect.
                return verdict::not_run;
            }
            if (reply.value() != "1")
            {
                const std::lock_guard lock(mutex_);
                stale_reads_.push_back(fmt::format(
                    "{} at {}: '{}'", row, reply.served_by, reply.value()));
            }
            return verdict::done;
        });
}

bool load::run_transaction(std::size_t index, std::uint64_t number)
{
    const auto left = fmt::format("{}/{}/{}/l", name_, index, number);
    const auto right = fmt::format("{}/{}/{}/r", name_, index, number);
    const auto known =
        repeat(index, [&] { return attempt_transaction(index, left, right); });
    const std::lock_guard lock(mutex_);
    rows_[left] = known;
    rows_[right] = known;
    return known == verdict::done;
}

verdict load::attempt_transaction(
    std::size_t index, const std::string& left, const std::string& right)
{
    const auto begun =
        send(index, write_of({}), [](caller& at) { return at.begin(); });
    if (!begun.is_done())
    {
        // Without a commit no write takes effect, even if the reply was lost.
        return verdict::not_run;
    }
    for (const auto* row : {&left, &right})
    {
        std::this_thread::sleep_for(transaction_pause);
        const auto written = send(
            index, write_of(*row),
            [&](caller& at) { return at.write("add " + *row + " 1"); });
        if (!written.is_done())
        {
            return verdict::not_run;
        }
    }
    std::this_thread::sleep_for(transaction_pause);
    return send(index, write_of({}), [](caller& at) { return at.commit(); })
        .outcome;
}

// Results

request_records load::records() const
{
    const std::lock_guard lock(mutex_);
    return records_;
}

std::size_t load::done_operations() const
{
    const std::lock_guard lock(mutex_);
    return std::accumulate(
        done_operations_.begin(), done_operations_.end(), std::size_t{0});
}

std::size_t load::done_operations_of(std::size_t caller) const
{
    const std::lock_guard lock(mutex_);
    return done_operations_.at(caller);
}

std::size_t load::failed_operations() const
{
    const std::lock_guard lock(mutex_);
    return failed_operations_;
}

bool load::progresses(
    std::size_t count, std::chrono::milliseconds timeout) const
{
    const auto wanted = done_operations() + count;
    return eventually(timeout, [&] { return done_operations() >= wanted; });
}

row_audit load::audit(const std::map<std::string, std::string>& rows) const
{
    const std::lock_guard lock(mutex_);
    row_audit found;
    found.stale_reads = stale_reads_;
    for (const auto& [row, known] : rows_)
    {
        const auto stored = rows.find(row);
        const auto value =
            stored == rows.end() ? std::string() : stored->second;
        if (known == verdict::done && value.empty())
        {
            found.lost.push_back(row);
        }
        if (!value.empty() && value != "1")
        {
            found.doubled.push_back(fmt::format("{}={}", row, value));
        }
        if (known == verdict::not_run && !value.empty())
        {
            found.false_refusals.push_back(row);
        }
    }
    return found;
}

std::vector<std::string>
load::faults(const std::map<std::string, std::string>& rows) const
{
    const auto found = audit(rows);
    std::vector<std::string> lines;
    const auto add = [&](const char* fault, const auto& entries)
    {
        for (const auto& entry : entries)
        {
            lines.push_back(fmt::format("{}: {}", fault, entry));
        }
    };
    add("stale read", found.stale_reads);
    add("lost", found.lost);
    add("ran more than once", found.doubled);
    add("refused as not run, but stored", found.false_refusals);
    return lines;
}

} // namespace zinniahub::test
