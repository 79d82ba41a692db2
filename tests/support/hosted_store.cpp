#include "support/hosted_store.hpp"

#include "platform/http_store.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <thread>

namespace zinniahub::test
{

namespace http = boost::beast::http;
using nlohmann::json;
using platform::decode_base64;
using platform::encode_base64;
using std::chrono::steady_clock;

namespace
{

/// Value of a field in the query of a target.
std::string query_field(const std::string& target, const std::string& name)
{
    const auto start = target.find(name + "=");
    if (start == std::string::npos)
    {
        return {};
    }
    const auto from = start + name.size() + 1;
    const auto text = target.substr(from, target.find('&', from) - from);
    std::string out;
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        if (text[at] == '%')
        {
            out += static_cast<char>(
                std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        }
        else
        {
            out += text[at];
        }
    }
    return out;
}

std::uint64_t number_field(const std::string& target, const std::string& name)
{
    const auto text = query_field(target, name);
    return text.empty() ? 0 : std::stoull(text);
}

std::uint64_t last_number(const std::string& target)
{
    return std::stoull(target.substr(target.rfind('/') + 1));
}

} // namespace

hosted_store::hosted_store()
    : worker_([this] { carry_out_orders(); })
    , server_([this](hosted_server::socket& peer) { serve(peer); })
{
}

hosted_store::~hosted_store()
{
    ended_ = true;
    worker_.join();
}

void hosted_store::on_order(std::function<bool(const promotion&)> handler)
{
    const std::lock_guard lock(mutex_);
    accept_ = std::move(handler);
}

void hosted_store::carry_out_orders()
{
    while (!ended_)
    {
        {
            const std::lock_guard lock(mutex_);
            const auto now = steady_clock::now();
            for (std::size_t index = 0; index < orders_.size();)
            {
                if (orders_[index].due > now)
                {
                    ++index;
                    continue;
                }
                const auto order = orders_[index];
                orders_.erase(
                    orders_.begin() + static_cast<std::ptrdiff_t>(index));
                if (!order.accepted)
                {
                    accept_locked(order.what);
                }
                else if (promote_)
                {
                    promote_(order.what);
                }
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

// An accepted order is carried out whatever is ordered meanwhile.
unsigned hosted_store::accept_locked(const promotion& named)
{
    auto& token = tokens_[named.service];
    if (named.token < token)
    {
        return 409;
    }
    token = named.token;
    if (promotion_ms_ == 0 || !accept_)
    {
        return promote_ && promote_(named) ? 200 : 409;
    }
    if (!accept_(named))
    {
        return 409;
    }
    orders_.push_back(
        {steady_clock::now() + std::chrono::milliseconds(promotion_ms_), named,
         true});
    return 200;
}

hosted_store::answer hosted_store::promote(const promotion& named)
{
    const std::lock_guard lock(mutex_);
    promotions_.push_back(named);
    if (late_ms_ > 0)
    {
        orders_.push_back(
            {steady_clock::now() + std::chrono::milliseconds(late_ms_), named,
             false});
        return {0, json::object()};
    }
    return {accept_locked(named), json::object()};
}

void hosted_store::expire_locked()
{
    const auto now = steady_clock::now();
    for (auto entry = leases_.begin(); entry != leases_.end();)
    {
        if (entry->second.ends > now)
        {
            ++entry;
            continue;
        }
        std::vector<std::string> ended;
        for (const auto& [key, value] : items_)
        {
            if (value.lease == entry->first)
            {
                ended.push_back(key);
            }
        }
        for (const auto& key : ended)
        {
            remove_locked(key);
        }
        entry = leases_.erase(entry);
    }
}

void hosted_store::write_locked(
    const std::string& key, const std::string& value, std::uint64_t lease_id)
{
    auto& entry = items_[key];
    entry.value = value;
    entry.revision = ++revision_;
    entry.created = entry.created == 0 ? revision_ : entry.created;
    entry.lease = lease_id;
    history_.push_back({key, revision_, false, value, lease_id});
    changed_.notify_all();
}

void hosted_store::remove_locked(const std::string& key)
{
    if (items_.erase(key) > 0)
    {
        history_.push_back({key, ++revision_, true, {}, 0});
        changed_.notify_all();
    }
}

void hosted_store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(mutex_);
    write_locked(key, value, 0);
}

void hosted_store::remove(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    remove_locked(key);
}

std::string hosted_store::get(const std::string& key) const
{
    const std::lock_guard lock(mutex_);
    const auto found = items_.find(key);
    return found == items_.end() ? std::string{} : found->second.value;
}

std::uint64_t hosted_store::revision_of(const std::string& key) const
{
    const std::lock_guard lock(mutex_);
    const auto found = items_.find(key);
    return found == items_.end() ? 0 : found->second.revision;
}

void hosted_store::compact()
{
    const std::lock_guard lock(mutex_);
    history_.clear();
    compacted_ = ++revision_;
    changed_.notify_all();
}

void hosted_store::on_promotion(std::function<bool(const promotion&)> handler)
{
    const std::lock_guard lock(mutex_);
    promote_ = std::move(handler);
}

std::vector<hosted_store::promotion> hosted_store::promotions() const
{
    const std::lock_guard lock(mutex_);
    return promotions_;
}

void hosted_store::on_usage(
    std::function<usage_fate(const usage_call&)> handler)
{
    const std::lock_guard lock(mutex_);
    usage_handler_ = std::move(handler);
}

std::map<std::uint64_t, hosted_store::usage_call> hosted_store::usage() const
{
    const std::lock_guard lock(mutex_);
    return usage_;
}

std::vector<std::string> hosted_store::usage_violations() const
{
    const std::lock_guard lock(mutex_);
    return usage_violations_;
}

hosted_store::answer hosted_store::report_usage(const usage_call& call)
{
    const std::lock_guard lock(mutex_);
    const auto fate =
        usage_handler_ ? usage_handler_(call) : usage_fate::served;
    if (fate == usage_fate::lost)
    {
        return {0, json::object()};
    }
    if (call.token < usage_token_)
    {
        return {409, json::object()};
    }
    usage_token_ = call.token;
    const auto [accepted, is_new] = usage_.try_emplace(call.window, call);
    if (!is_new && accepted->second.body != call.body)
    {
        usage_violations_.push_back(accepted->second.body + " " + call.body);
    }
    return {fate == usage_fate::unanswered ? 0U : 200U, json::object()};
}

hosted_store::answer
hosted_store::range(const std::string& prefix, const std::string& after)
{
    const std::lock_guard lock(mutex_);
    expire_locked();
    // Small pages, so that tests cover paging.
    constexpr std::size_t page = 4;
    answer out;
    out.body = {
        {"items", json::array()}, {"has_more", false}, {"at", revision_}};
    for (const auto& [key, value] : items_)
    {
        if (!key.starts_with(prefix) || (!after.empty() && key <= after))
        {
            continue;
        }
        if (out.body["items"].size() == page)
        {
            out.body["has_more"] = true;
            break;
        }
        out.body["items"].push_back(
            {{"key", key},
             {"value", encode_base64(value.value)},
             {"revision", value.revision},
             {"created", value.created},
             {"lease_id", value.lease}});
    }
    return out;
}

hosted_store::answer hosted_store::watch(
    const std::string& prefix, std::uint64_t after, std::int64_t wait_ms)
{
    const auto end = steady_clock::now() + std::chrono::milliseconds(wait_ms);
    std::unique_lock lock(mutex_);
    answer out;
    out.body = {{"events", json::array()}};
    while (true)
    {
        expire_locked();
        if (after < compacted_)
        {
            return {410, json::object()};
        }
        for (const auto& entry : history_)
        {
            if (entry.revision <= after || !entry.key.starts_with(prefix))
            {
                continue;
            }
            if (entry.removed)
            {
                out.body["events"].push_back(
                    {{"key", entry.key},
                     {"revision", entry.revision},
                     {"deleted", true}});
                continue;
            }
            out.body["events"].push_back(
                {{"key", entry.key},
                 {"value", encode_base64(entry.value)},
                 {"revision", entry.revision},
                 {"created", entry.revision},
                 {"lease_id", entry.lease}});
        }
        if (!out.body["events"].empty() || steady_clock::now() >= end ||
            !server_.is_running())
        {
            out.body["at"] = revision_;
            return out;
        }
        changed_.wait_for(lock, std::chrono::milliseconds(50));
    }
}

hosted_store::answer hosted_store::transact(const json& body)
{
    const std::lock_guard lock(mutex_);
    expire_locked();
    for (const auto& entry : body["expect"])
    {
        const auto found = items_.find(entry["key"].get<std::string>());
        const auto revision =
            found == items_.end() ? 0 : found->second.revision;
        if (revision != entry["revision"].get<std::uint64_t>())
        {
            return {412, {{"items", json::array()}}};
        }
    }
    for (const auto& entry : body["write"])
    {
        const auto id = entry["lease_id"].get<std::uint64_t>();
        if (id != 0 && !leases_.contains(id))
        {
            return {404, json::object()};
        }
    }
    for (const auto& entry : body["write"])
    {
        write_locked(
            entry["key"].get<std::string>(),
            decode_base64(entry["value"].get<std::string>()).value_or(""),
            entry["lease_id"].get<std::uint64_t>());
    }
    for (const auto& key : body["remove"])
    {
        remove_locked(key.get<std::string>());
    }
    return {200, {{"revision", revision_}}};
}

hosted_store::answer hosted_store::grant(const json& body)
{
    const std::lock_guard lock(mutex_);
    const std::chrono::milliseconds ttl(body["ttl_ms"].get<std::int64_t>());
    const auto id = next_lease_++;
    leases_[id] = {steady_clock::now() + ttl, ttl};
    return {200, {{"lease_id", id}, {"ttl_ms", ttl.count()}}};
}

hosted_store::answer hosted_store::handle(
    const std::string& method, const std::string& target,
    const std::string& body, const promotion& order)
{
    if (target.starts_with("/kv-range"))
    {
        return range(
            query_field(target, "prefix"), query_field(target, "after"));
    }
    if (target.starts_with("/kv-watch"))
    {
        return watch(
            query_field(target, "prefix"), number_field(target, "after"),
            static_cast<std::int64_t>(number_field(target, "wait_timeout_ms")));
    }
    if (target == "/kv-txn")
    {
        return transact(json::parse(body));
    }
    if (target == "/kv-lease")
    {
        return grant(json::parse(body));
    }
    if (target.starts_with("/kv-keep/"))
    {
        const std::lock_guard lock(mutex_);
        expire_locked();
        const auto found = leases_.find(last_number(target));
        if (found == leases_.end())
        {
            return {404, json::object()};
        }
        found->second.ends = steady_clock::now() + found->second.ttl;
        return {200, {{"ttl_ms", found->second.ttl.count()}}};
    }
    if (method == "DELETE" && target.starts_with("/kv-lease-end/"))
    {
        const std::lock_guard lock(mutex_);
        const auto found = leases_.find(last_number(target));
        if (found != leases_.end())
        {
            found->second.ends = {};
            expire_locked();
        }
        return {};
    }
    if (target == "/failover")
    {
        const auto request = json::parse(body);
        auto named = order;
        named.service = request["service"].get<std::string>();
        named.instance = request["instance_id"].get<std::string>();
        return promote(named);
    }
    if (method == "POST" && target == "/usage")
    {
        return report_usage(
            {json::parse(body)["window_id"].get<std::uint64_t>(), body,
             order.holder, order.token});
    }
    return {404, json::object()};
}

void hosted_store::serve(hosted_server::socket& peer)
{
    boost::beast::flat_buffer buffer;
    while (true)
    {
        http::request<http::string_body> request;
        boost::system::error_code failure;
        http::read(peer, buffer, request, failure);
        if (failure)
        {
            return;
        }
        ++calls_;
        const std::string target(request.target());
        const fault now = fault_;
        if (now == fault::reset)
        {
            return;
        }
        answer out;
        if (now == fault::silent)
        {
            // Holds the connection until the caller gives up.
            http::read(peer, buffer, request, failure);
            return;
        }
        if (now == fault::busy || now == fault::limited)
        {
            out.status = now == fault::busy ? 503 : 429;
        }
        else
        {
            promotion order;
            order.holder = std::string(request["Lease-Holder"]);
            const std::string token(request["Fencing-Token"]);
            order.token = token.empty() ? 0 : std::stoull(token);
            out = handle(
                std::string(request.method_string()), target, request.body(),
                order);
            const bool is_lost = now == fault::answers_lost &&
                                 request.method() == http::verb::post;
            if (is_lost || out.status == 0)
            {
                http::read(peer, buffer, request, failure);
                return;
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms_));
        http::response<http::string_body> response;
        response.result(out.status);
        response.version(11);
        response.keep_alive(true);
        response.set(http::field::content_type, "application/json");
        response.body() = out.body.dump();
        response.prepare_payload();
        http::write(peer, response, failure);
        if (failure)
        {
            return;
        }
    }
}

} // namespace zinniahub::test
