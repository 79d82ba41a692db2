#include <zinniahub/replication_group.hpp>

#include <utility>

namespace zinniahub
{

void replication_group_tracker::on_loaded(
    replication_group stored, std::uint64_t revision, time_point now)
{
    changed_at_ = now;
    group_ = stored;
    recorded_ = std::move(stored);
    revision_ = revision;
}

void replication_group_tracker::on_registered(
    std::string_view instance, const replication_group::member& member,
    time_point now)
{
    const auto found = group_.members.find(instance);
    if (found == group_.members.end())
    {
        group_.members.emplace(instance, member);
        changed_at_ = now;
        return;
    }
    found->second = member;
}

void replication_group_tracker::on_primary(
    std::string_view instance, std::uint64_t term)
{
    if (term >= group_.term && group_.members.contains(instance))
    {
        group_.primary = instance;
        group_.term = term;
    }
}

void replication_group_tracker::on_retired(std::string_view instance)
{
    const auto found = group_.members.find(instance);
    if (found != group_.members.end() && instance != group_.primary)
    {
        group_.members.erase(found);
    }
}

void replication_group_tracker::on_recorded(
    replication_group written, std::uint64_t revision)
{
    recorded_ = std::move(written);
    revision_ = revision;
}

void replication_group_tracker::on_reread(std::uint64_t revision)
{
    if (revision != revision_)
    {
        // An earlier write may have taken effect, so the content is unknown.
        recorded_.reset();
        revision_ = revision;
    }
}

void replication_group_tracker::on_tick(time_point now)
{
    group_.complete =
        group_.complete ||
        (!group_.members.empty() && now - changed_at_ >= completion_delay);
}

} // namespace zinniahub
