#pragma once

#include <zinniahub/time.hpp>

#include <string>
#include <string_view>

namespace zinniahub
{

/// @brief Proof that a member leads its replication group, for platforms on
/// which a primary may go on leading after another member was promoted.
///
/// A host asks a replica. If replication to it is not paused and it is in the
/// primary's term, no other member becomes the primary within `validity` of the
/// question, unless the primary has stepped down: the holder of the promotion
/// duty pauses all replicas, and waits that long before its order. The proof
/// needs neither the store nor the holder.
///
/// A promotion also releases the paused replicas, which learn the new term a
/// little later. So a replica's word alone renews a proof only while the last
/// one is valid: it cannot have been paused and released since. Otherwise all
/// members are asked, and none may know a later term.
///
/// A request that starts while the proof is valid sees every commit that was
/// acknowledged before it, also if it is delayed on the way. A primary that has
/// stepped down refuses to begin a transaction that may write.
class primary_proof
{
public:
    /// Time between the question and the earliest promotion.
    static constexpr duration validity = std::chrono::milliseconds(1000);
    /// Part of the validity in which no request starts any more.
    static constexpr duration margin = std::chrono::milliseconds(100);
    /// Age at which a new proof is sought.
    static constexpr duration refresh_age = std::chrono::milliseconds(300);

    /// @param asked_at time at which the replica was asked
    void add(std::string_view instance, time_point asked_at)
    {
        if (asked_at > asked_at_)
        {
            instance_ = instance;
            asked_at_ = asked_at;
        }
    }

    /// @brief True if the word of one replica, asked at the given time, renews
    /// the proof.
    bool is_renewable(std::string_view instance, time_point at) const
    {
        return !instance_.empty() && instance == instance_ &&
               at < asked_at_ + validity;
    }

    /// @brief The member does not lead, or its process has ended.
    void on_refuted(std::string_view instance)
    {
        if (instance == instance_)
        {
            instance_.clear();
            asked_at_ = time_point::min();
        }
    }

    /// @brief True if the member leads at the given time.
    bool covers(std::string_view instance, time_point at) const
    {
        return !instance_.empty() && instance == instance_ &&
               at < asked_at_ + validity - margin;
    }

    /// @brief Proven member; empty if there is none.
    const std::string& instance() const
    {
        return instance_;
    }
    /// @brief Time at which the replica was asked; `time_point::min()` if none
    /// was.
    time_point asked_at() const
    {
        return asked_at_;
    }

private:
    std::string instance_;
    time_point asked_at_ = time_point::min();
};

} // namespace zinniahub
