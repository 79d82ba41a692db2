#pragma once

#include <zinniahub/error.hpp>
#include <zinniahub/log_position.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace zinniahub
{

/// @brief Last log position that a session has observed in each database group.
///
/// Groups are identified by a uid that is never reused, so the entry of a
/// deleted group does not apply to a new group of the same name.
class session_token
{
public:
    /// @brief Returns the position that reads of the session must reflect.
    /// @return the default position if the session has not used the group
    log_position position_of(std::uint64_t group_uid) const;

    /// @brief Raises the position in a group; a lower position is ignored.
    void advance(std::uint64_t group_uid, log_position position);

    const std::map<std::uint64_t, log_position>& positions() const
    {
        return positions_;
    }

private:
    std::map<std::uint64_t, log_position> positions_;
};

/// @brief Encodes session tokens and authenticates them with an HMAC.
class token_codec
{
public:
    /// @param secret HMAC key of at least 16 bytes, shared by all hosts
    /// @return `errc::request_invalid` if the secret is too short
    static result<token_codec> make(std::string_view secret);

    /// @brief Encodes a token and appends its HMAC.
    std::string seal(const session_token& token) const;

    /// @brief Verifies and decodes a token. An empty string is a new session.
    /// @return `errc::session_token_invalid` if the token is forged, truncated
    /// or corrupt
    result<session_token> open(std::string_view sealed) const;

private:
    explicit token_codec(std::string secret);

    std::string secret_;
};

} // namespace zinniahub
