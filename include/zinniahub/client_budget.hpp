#pragma once

#include <boost/intrusive/list.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace zinniahub
{

/// @brief What clients may take from a process: memory and connections.
///
/// Load: clients that send large messages at once, stop halfway, read nothing,
/// or open more connections than the process has descriptors for. Each account
/// has a floor that is always granted, so a client with small messages is
/// served while others are closed. The functions decide; the caller closes the
/// accounts that they return.
///
/// Each change takes constant time as long as the memory suffices. The choice
/// of an account to close is linear in the number of those above their floor.
class client_budget
{
public:
    /// Ports whose connections are limited one by one.
    enum class port : std::uint8_t
    {
        clients,
        probes,
        hosts
    };
    static constexpr std::size_t port_count = 3;

    /// What the owner of an account is doing.
    enum class activity : std::uint8_t
    {
        /// It has not sent its first message.
        starting,
        /// It waits for a message or receives one.
        receiving,
        /// It sends a reply that the client has yet to read.
        sending,
        /// A request runs. The account is not closed.
        running
    };

    struct port_limits
    {
        std::size_t connections = 0;
        /// Connections that wait for their first message.
        std::size_t waiting = 0;
    };

    struct limits
    {
        /// Bytes of all accounts together, above their floors.
        std::size_t message_bytes = 0;
        /// Bytes of the values and prepared statements of all sessions.
        std::size_t session_bytes = 0;
        std::array<port_limits, port_count> ports{};

        /// @brief Derives the limits from those of the machine.
        static limits
        of(std::size_t memory_mb, std::size_t max_file_descriptors);
    };

    /// Bytes of an account that are always granted.
    static constexpr std::size_t floor_bytes = 4096;

    /// @brief Part of the budget that one connection holds. The owner removes
    /// it before it is destroyed.
    class account
    {
    public:
        account() = default;
        account(const account&) = delete;
        account& operator=(const account&) = delete;

        std::size_t bytes() const
        {
            return bytes_;
        }
        /// @brief True until the account was removed or is to be closed.
        bool is_open() const
        {
            return is_open_;
        }

    private:
        friend class client_budget;
        using hook = boost::intrusive::list_member_hook<
            boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

        std::size_t above_floor() const
        {
            return bytes_ > floor_bytes ? bytes_ - floor_bytes : 0;
        }

        std::size_t bytes_ = 0;
        /// Order in which the replies now being sent were begun.
        std::uint64_t send_number_ = 0;
        activity activity_ = activity::running;
        port port_ = port::clients;
        bool has_port_ = false;
        bool in_transaction_ = false;
        bool is_open_ = false;
        hook holder_hook_;
        hook waiting_hook_;
    };
    using account_list = std::vector<account*>;

    struct decision
    {
        bool granted = false;
        /// Accounts that are no longer part of the budget; their connections
        /// must be closed.
        account_list close = {};
    };

    explicit client_budget(const limits& values)
        : limits_(values)
    {
    }

    /// @brief Adds the account of a new connection of a port, which waits for
    /// its first message. The longest waiting one is closed if the port has no
    /// place.
    decision open(account& entry, port where);
    /// @brief Adds an account that belongs to no port and is never closed.
    void open(account& entry);
    /// @brief Removes an account; does nothing if it is not open.
    void remove(account& entry);

    /// @brief Sets the bytes of an account. If they are not granted, the
    /// account holds what it held before.
    decision resize(account& entry, std::size_t bytes);

    void set_activity(account& entry, activity value);
    /// @brief An account in a transaction is closed after all others.
    void set_in_transaction(account& entry, bool value)
    {
        entry.in_transaction_ = value;
    }
    /// @brief Makes an account the last of its port that waits for a message.
    void set_waiting(account& entry);
    /// @brief The account has sent its first message.
    void set_started(account& entry);

    /// @brief Bytes granted above the floors.
    std::size_t used() const
    {
        return used_;
    }
    std::size_t connections(port where) const
    {
        return connections_[static_cast<std::size_t>(where)];
    }
    const limits& values() const
    {
        return limits_;
    }

private:
    template<account::hook account::*Hook>
    using list_of = boost::intrusive::list<
        account, boost::intrusive::member_hook<account, account::hook, Hook>,
        boost::intrusive::constant_time_size<false>>;
    using waiting_list = list_of<&account::waiting_hook_>;

    /// Whether `left` is to be closed before `right`.
    static bool closes_before(const account& left, const account& right);
    account* choose();

    limits limits_;
    std::size_t used_ = 0;
    std::uint64_t next_send_ = 0;
    /// Accounts above their floor.
    list_of<&account::holder_hook_> holders_;
    std::array<waiting_list, port_count> waiting_;
    std::array<std::size_t, port_count> waiting_counts_{};
    std::array<std::size_t, port_count> connections_{};
};

} // namespace zinniahub
