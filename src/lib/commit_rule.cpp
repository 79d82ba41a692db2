#include <zinniahub/commit_rule.hpp>

#include <algorithm>

namespace zinniahub
{

namespace
{

template<typename Predicate>
bool holds_for_majority(const group_view& group, Predicate predicate)
{
    const auto count =
        std::count_if(group.members.begin(), group.members.end(), predicate);
    return static_cast<std::size_t>(count) > group.members.size() / 2;
}

class primary_ack_rule final : public commit_rule
{
public:
    bool
    is_satisfied(const group_view&, std::size_t, log_position) const override
    {
        return true;
    }

    bool is_lost(const group_view&, log_position) const override
    {
        return false;
    }
};

class majority_ack_rule final : public commit_rule
{
public:
    bool is_satisfied(
        const group_view& group, std::size_t primary,
        log_position position) const override
    {
        const auto holder = [&](const member_view& member)
        { return holds(member, position); };
        return primary < group.members.size() &&
               holder(group.members[primary]) &&
               holds_for_majority(group, holder);
    }

    bool is_lost(const group_view& group, log_position position) const override
    {
        return !holds_for_majority(
            group,
            [&](const member_view& member) {
                return member.term <= position.term || holds(member, position);
            });
    }

private:
    /// Decides by the last entry. A member whose last entry is of the write's
    /// term holds all earlier entries of that term. This remains true after it
    /// is fenced for a later term, because its log then grows only from the
    /// primary of that term. A last entry of a later term does not show whether
    /// the write survived.
    static bool holds(const member_view& member, log_position position)
    {
        return member.position.term == position.term &&
               member.position.index >= position.index;
    }
};

} // namespace

std::unique_ptr<commit_rule> make_primary_ack_rule()
{
    return std::make_unique<primary_ack_rule>();
}

std::unique_ptr<commit_rule> make_majority_ack_rule()
{
    return std::make_unique<majority_ack_rule>();
}

} // namespace zinniahub
