#include "control/owner_planner.hpp"

#include "kv/keys.hpp"

#include <algorithm>

namespace zinniahub::control
{

namespace
{

/// Delay per rank before a host claims a vacant key.
constexpr std::chrono::milliseconds rank_delay{300};
constexpr std::uint32_t max_delayed_rank = 4;
constexpr std::chrono::milliseconds seat_retry{1000};

bool is_seat(std::string_view key)
{
    return key.starts_with(kv::seat_prefix);
}

} // namespace

bool is_lease_missing(const error& failure)
{
    return failure.code == errc::lease_expired ||
           failure.code == errc::not_found;
}

owner_planner::owner_planner(settings values)
    : settings_(std::move(values))
    , ranks_(settings_.shards)
{
}

std::string owner_planner::shard_key(std::uint32_t shard) const
{
    return kv::key_of(kv::rate_prefix, shard);
}

std::string owner_planner::delegate_key() const
{
    return kv::key_of(kv::delegate_prefix, settings_.self.failure_domain);
}

bool owner_planner::is_owned_by_self(const owner_record& candidate) const
{
    return candidate.owner.incarnation == settings_.self.incarnation;
}

const owner_record* owner_planner::find(const std::string& key) const
{
    const auto found = table_.find(key);
    return found == table_.end() ? nullptr : &found->second;
}

bool owner_planner::owns(const std::string& key, time_point now) const
{
    const auto* found = find(key);
    return !released_ && owner_lease_ != 0 && found != nullptr &&
           is_owned_by_self(*found) && found->lease == owner_lease_ &&
           !is_relinquished(key, *found) && owner_lease_clock_.is_valid(now);
}

// Renewal cycle: read the table of owners, then grant, renew or drop the lease.

owner_actions owner_planner::on_tick(live_hosts live, time_point now)
{
    live_ = std::move(live);
    owner_actions actions;
    if (released_)
    {
        return actions;
    }
    if (!renewal_in_progress_ && now >= next_renewal_)
    {
        renewal_in_progress_ = true;
        table_request_sent_at_ = lease_clock::on_request_sent(now);
        next_renewal_ = now + (expects_shard(now) ? handover_read_interval
                                                  : renewal_interval);
        actions.emplace_back(read_owners{});
    }
    plan_seat(now, actions);
    return actions;
}

owner_actions
owner_planner::on_owners_read(result<table_snapshot> reply, time_point now)
{
    if (!reply || released_)
    {
        renewal_in_progress_ = false;
        return {};
    }
    table_read_at_ = std::max(table_read_at_, table_request_sent_at_);
    replace_table(std::move(*reply), now);
    const bool has_claimable_key = !claimable_keys(now).empty();
    if (owner_lease_ != 0 && (has_claimable_key || holds_owner_key()))
    {
        return {renew_lease{lease_purpose::owner, owner_lease_}};
    }
    if (owner_lease_ == 0 && has_claimable_key)
    {
        return {grant_lease{lease_purpose::owner, owner_ttl}};
    }
    renewal_in_progress_ = false;
    if (owner_lease_ == 0)
    {
        return {};
    }
    // Revoking the lease also removes a claim whose reply was lost.
    const auto dropped = owner_lease_;
    drop_owner_lease(now);
    return {revoke_lease{dropped}};
}

void owner_planner::replace_table(table_snapshot snapshot, time_point now)
{
    const auto previous = std::exchange(table_, std::move(snapshot.table));
    for (const auto& [key, item] : previous)
    {
        // Keep a claim that took effect after the table was read.
        if (is_owned_by_self(item) && owner_lease_ != 0 &&
            item.lease == owner_lease_ && item.revision > snapshot.revision)
        {
            table_[key] = item;
        }
    }
    update_expired_hosts(previous, now);
    update_candidates(now);
}

// A failed host stays in the list of live hosts for a while. Its expired lease
// shows earlier that it cannot claim keys or own shards.
void owner_planner::update_expired_hosts(
    const owner_table& previous, time_point now)
{
    std::set<std::uint64_t> leases;
    for (const auto& [key, item] : table_)
    {
        leases.insert(item.lease);
        if (!is_seat(key))
        {
            expired_hosts_.erase(item.owner.host);
        }
    }
    for (const auto& [key, item] : previous)
    {
        if (!is_seat(key) && !is_owned_by_self(item) &&
            !leases.contains(item.lease))
        {
            expired_hosts_[item.owner.host] = now;
        }
    }
    std::erase_if(
        expired_hosts_, [now](const auto& item)
        { return now >= item.second + expired_host_exclusion; });
}

bool owner_planner::holds_owner_key() const
{
    return !pending_claims_.empty() ||
           std::any_of(
               table_.begin(), table_.end(),
               [this](const auto& item) {
                   return is_owned_by_self(item.second) &&
                          item.second.lease == owner_lease_;
               });
}

void owner_planner::drop_owner_lease(time_point now)
{
    owner_lease_ = 0;
    owner_lease_clock_.on_lost(now);
}

owner_actions owner_planner::on_lease_granted(
    lease_purpose purpose, const result<std::uint64_t>& lease, time_point now)
{
    if (purpose == lease_purpose::seat)
    {
        seat_call_pending_ = false;
        next_seat_action_ = lease ? now : now + seat_retry;
        if (lease && !released_)
        {
            seat_lease_ = *lease;
            seat_lease_clock_.on_granted(seat_request_sent_at_, seat_ttl);
        }
        return {};
    }
    renewal_in_progress_ = false;
    if (!lease || released_)
    {
        return {};
    }
    owner_lease_ = *lease;
    owner_lease_clock_.on_granted(table_request_sent_at_, owner_ttl);
    return claim_vacant(now);
}

owner_actions owner_planner::on_lease_renewed(
    lease_purpose purpose, const result<void>& reply, time_point now)
{
    const bool lease_missing = !reply && is_lease_missing(reply.error());
    if (purpose == lease_purpose::seat)
    {
        seat_call_pending_ = false;
        next_seat_action_ = now + seat_retry;
        if (reply)
        {
            seat_lease_clock_.on_granted(seat_request_sent_at_, seat_ttl);
            next_seat_action_ = seat_request_sent_at_ + seat_renewal_interval;
        }
        else if (lease_missing)
        {
            drop_seat();
            seat_lease_clock_.on_lost(now);
        }
        return {};
    }
    renewal_in_progress_ = false;
    if (released_ || (!reply && !lease_missing))
    {
        return {};
    }
    if (lease_missing)
    {
        drop_owner_lease(now);
        next_renewal_ = now;
        return {};
    }
    owner_lease_clock_.on_granted(table_request_sent_at_, owner_ttl);
    auto actions = claim_vacant(now);
    relinquish_shards(now, actions);
    return actions;
}

// Claims

std::vector<std::string> owner_planner::rank_candidates() const
{
    std::vector<std::string> names;
    for (const auto& host : *live_)
    {
        if (!host.leaving && !expired_hosts_.contains(host.name))
        {
            names.push_back(host.name);
        }
    }
    return names;
}

std::optional<std::uint32_t> owner_planner::delegate_rank() const
{
    const auto tree =
        relay_tree::of_domain(*live_, settings_.self.failure_domain);
    const auto rank = tree.rank_of(settings_.self.name);
    return rank ? std::optional(static_cast<std::uint32_t>(*rank))
                : std::nullopt;
}

bool owner_planner::is_vacant(const std::string& key, time_point now)
{
    if (table_.contains(key) || pending_claims_.contains(key))
    {
        vacant_since_.erase(key);
        return false;
    }
    vacant_since_.try_emplace(key, now);
    return true;
}

bool owner_planner::has_rank_delay_passed(
    const std::string& key, std::uint32_t rank, time_point now)
{
    return now >=
           vacant_since_[key] + rank_delay * std::min(rank, max_delayed_rank);
}

std::vector<std::string> owner_planner::claimable_keys(time_point now)
{
    std::vector<std::string> keys;
    if (auto key = delegate_key(); is_vacant(key, now))
    {
        const auto rank = delegate_rank();
        if (rank && has_rank_delay_passed(key, *rank, now))
        {
            keys.push_back(std::move(key));
        }
    }
    if (!settings_.use_shards)
    {
        return keys;
    }
    for (std::uint32_t shard = 0; shard < settings_.shards; ++shard)
    {
        auto key = shard_key(shard);
        if (is_vacant(key, now) &&
            has_rank_delay_passed(key, ranks_[shard], now))
        {
            keys.push_back(std::move(key));
        }
    }
    return keys;
}

owner_actions owner_planner::claim_vacant(time_point now)
{
    owner_actions actions;
    const auto& self = settings_.self;
    for (auto& key : claimable_keys(now))
    {
        pending_claims_.insert(key);
        actions.emplace_back(claim_key{
            lease_purpose::owner,
            std::move(key),
            owner_lease_,
            {self.name, self.incarnation, self.peer_address}});
    }
    return actions;
}

void owner_planner::on_claimed(
    const claim_key& claim, const result<std::uint64_t>& revision,
    time_point now)
{
    if (claim.purpose == lease_purpose::seat)
    {
        seat_call_pending_ = false;
        if (revision && claim.lease == seat_lease_)
        {
            table_[claim.key] = {claim.owner, claim.lease, *revision};
            assign_seat(requested_seat_, now);
        }
        else if (!revision && is_lease_missing(revision.error()))
        {
            drop_seat();
        }
        return;
    }
    pending_claims_.erase(claim.key);
    // If the reply was lost, the next table read shows the claim.
    if (revision && claim.lease == owner_lease_ && !released_)
    {
        table_[claim.key] = {claim.owner, claim.lease, *revision};
    }
}

// Each shard is assigned to its best-ranked host. The first host that starts
// claims all shards; if they did not move, its failure would stop all pools at
// once.

bool owner_planner::is_relinquished(
    const std::string& key, const owner_record& found) const
{
    const auto claim = relinquished_claims_.find(key);
    return claim != relinquished_claims_.end() &&
           claim->second.revision == found.revision;
}

void owner_planner::update_candidates(time_point now)
{
    auto names = rank_candidates();
    if (names == candidates_)
    {
        return;
    }
    candidates_ = std::move(names);
    candidates_since_ = now;
    for (std::uint32_t shard = 0; shard < settings_.shards; ++shard)
    {
        ranks_[shard] = rank_of(shard, candidates_, settings_.self.name);
    }
}

bool owner_planner::expects_shard(time_point now)
{
    bool expected = false;
    for (std::uint32_t shard = 0;
         settings_.use_shards && shard < settings_.shards; ++shard)
    {
        auto key = shard_key(shard);
        const auto* found = find(key);
        if (found == nullptr || is_owned_by_self(*found) || ranks_[shard] > 0)
        {
            expected_since_.erase(key);
            continue;
        }
        const auto since =
            expected_since_.try_emplace(std::move(key), now).first->second;
        expected = expected || now < since + handover_timeout;
    }
    return expected;
}

void owner_planner::relinquish_shards(time_point now, owner_actions& actions)
{
    const bool candidates_stable =
        now >= candidates_since_ + candidates_stable_period;
    for (std::uint32_t shard = 0;
         settings_.use_shards && shard < settings_.shards; ++shard)
    {
        const auto key = shard_key(shard);
        const auto* found = find(key);
        if (found == nullptr || !is_owned_by_self(*found))
        {
            continue;
        }
        const auto last_relinquished = relinquished_claims_.find(key);
        const bool moved_recently =
            last_relinquished != relinquished_claims_.end() &&
            now < last_relinquished->second.at + min_move_interval;
        if (is_relinquished(key, *found))
        {
            // The removal has not taken effect; send it again.
            actions.emplace_back(remove_key{key, found->revision});
        }
        else if (candidates_stable && !moved_recently && ranks_[shard] > 0)
        {
            relinquished_claims_[key] = {found->revision, now};
            actions.emplace_back(remove_key{key, found->revision});
        }
    }
}

void owner_planner::on_removed(
    const remove_key& removal, const result<void>& reply)
{
    const auto found = table_.find(removal.key);
    // A failed removal is sent again in the next cycle.
    if (reply && found != table_.end() &&
        found->second.revision == removal.revision)
    {
        table_.erase(found);
    }
}

void owner_planner::on_owner_received(
    const std::string& key, owner_record received)
{
    const auto* known = find(key);
    if (received.revision > (known == nullptr ? 0 : known->revision))
    {
        table_[key] = std::move(received);
    }
}

// Seat

std::uint32_t owner_planner::held_seats() const
{
    return static_cast<std::uint32_t>(std::count_if(
        table_.begin(), table_.end(),
        [](const auto& item) { return is_seat(item.first); }));
}

std::pair<time_point, time_point> owner_planner::seat_period() const
{
    if (!seat_ || released_)
    {
        return {never, never};
    }
    return {seat_usable_from_, seat_lease_clock_.valid_until()};
}

void owner_planner::drop_seat()
{
    seat_ = std::nullopt;
    seat_lease_ = 0;
}

void owner_planner::assign_seat(std::uint32_t seat, time_point now)
{
    seat_ = seat;
    seat_usable_from_ = now + seat_activation_delay;
}

void owner_planner::plan_seat(time_point now, owner_actions& actions)
{
    if (seat_call_pending_ || now < next_seat_action_ ||
        table_read_at_ == time_point{})
    {
        return;
    }
    if (seat_ && !seat_lease_clock_.is_valid(now))
    {
        drop_seat();
    }
    seat_request_sent_at_ = lease_clock::on_request_sent(now);
    if (seat_lease_ == 0)
    {
        seat_call_pending_ = true;
        actions.emplace_back(grant_lease{lease_purpose::seat, seat_ttl});
    }
    else if (!seat_)
    {
        claim_seat(now, actions);
    }
    else
    {
        seat_call_pending_ = true;
        actions.emplace_back(renew_lease{lease_purpose::seat, seat_lease_});
    }
}

void owner_planner::claim_seat(time_point now, owner_actions& actions)
{
    next_seat_action_ = now + seat_retry;
    // Hosts that start together try different seats first.
    const auto first = static_cast<std::uint32_t>(
        settings_.self.incarnation % settings_.seats);
    std::optional<std::uint32_t> vacant;
    for (std::uint32_t i = 0; i < settings_.seats; ++i)
    {
        const auto seat = (first + i) % settings_.seats;
        const auto* found = find(kv::key_of(kv::seat_prefix, seat));
        if (found != nullptr && is_owned_by_self(*found) &&
            found->lease == seat_lease_)
        {
            // The claim took effect, but its reply was lost.
            assign_seat(seat, now);
            return;
        }
        if (found == nullptr && !vacant)
        {
            vacant = seat;
        }
    }
    if (vacant)
    {
        seat_call_pending_ = true;
        requested_seat_ = *vacant;
        actions.emplace_back(claim_key{
            lease_purpose::seat,
            kv::key_of(kv::seat_prefix, *vacant),
            seat_lease_,
            {settings_.self.name, settings_.self.incarnation, {}}});
    }
}

owner_actions owner_planner::release()
{
    released_ = true;
    owner_actions actions;
    for (const auto lease : {std::exchange(owner_lease_, 0), seat_lease_})
    {
        if (lease != 0)
        {
            actions.emplace_back(revoke_lease{lease});
        }
    }
    return actions;
}

} // namespace zinniahub::control
