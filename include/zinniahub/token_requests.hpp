#pragma once

#include <zinniahub/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace zinniahub
{

/// @brief Requests for tokens of one customer that have not been answered.
///
/// Messages may be lost, late or repeated. A reply counts only once, and only
/// while the tokens that it brings could still be used.
class token_requests
{
public:
    /// @param first_id must differ between processes of a host, so that a reply
    /// to an earlier process matches no request
    explicit token_requests(std::uint64_t first_id)
        : next_id_(first_id)
    {
    }

    /// @brief Records a request that is about to be sent.
    /// @return id that the reply must name
    std::uint64_t add(std::string keeper, double count, time_point now);

    struct answer
    {
        std::string keeper;
        /// Tokens received, at most as many as requested.
        double count = 0;
        time_point requested_at;
    };

    /// @return nothing if the reply matches no open request
    std::optional<answer> on_reply(std::uint64_t id, double count);

    /// @brief Drops the requests whose tokens would have expired.
    /// @return hosts that did not answer
    std::vector<std::string> drop_unanswered(time_point now);

    /// @brief Number of tokens requested in the given time before `now`.
    double count_since(duration age, time_point now) const;

    std::size_t size() const
    {
        return open_.size();
    }

private:
    struct entry
    {
        std::uint64_t id = 0;
        std::string keeper;
        double count = 0;
        time_point sent_at;
    };

    std::uint64_t next_id_;
    std::vector<entry> open_;
};

} // namespace zinniahub
