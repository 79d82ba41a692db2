#pragma once

#include "kv/platform_client.hpp"

#include <functional>
#include <map>
#include <string>

namespace zinniahub::tests
{

/// @brief In-memory key-value store with fault injection.
class fake_platform_store : public kv::platform_store
{
public:
    struct record
    {
        std::string value;
        std::uint64_t revision = 0;
    };

    std::map<std::string, record> records;
    std::vector<v1::HostEntry> hosts;
    std::uint64_t revision = 0;
    int writes = 0;
    /// Number of next writes that take effect, but whose reply is lost.
    int lost_answers = 0;
    /// Number of next writes that are lost before they take effect.
    int lost_requests = 0;
    /// Called before the next write only.
    std::function<void()> before_write;

    result<v1::GetReply> get(const v1::GetRequest& request) override
    {
        const auto found = records.find(request.key());
        if (found == records.end())
            return fail(errc::not_found);
        v1::GetReply reply;
        fill(*reply.mutable_entry(), *found);
        return reply;
    }

    result<v1::RangeReply> range(const v1::RangeRequest& request) override
    {
        v1::RangeReply reply;
        for (const auto& entry : records)
        {
            if (entry.first.starts_with(request.prefix()))
                fill(*reply.add_entries(), entry);
        }
        return reply;
    }

    result<v1::PutReply> put(const v1::PutRequest& request) override
    {
        const auto write = [&]() -> result<v1::PutReply>
        {
            if (revision_of(request.key()) != request.expected_revision())
                return fail(errc::conflict);
            records[request.key()] = {request.value(), ++revision};
            v1::PutReply reply;
            reply.set_revision(revision);
            return reply;
        };
        return with_faults<v1::PutReply>(write);
    }

    result<v1::DeleteReply> remove(const v1::DeleteRequest& request) override
    {
        const auto write = [&]() -> result<v1::DeleteReply>
        {
            const auto present = revision_of(request.key());
            if (present == 0)
                return fail(errc::not_found);
            if (present != request.expected_revision())
                return fail(errc::conflict);
            records.erase(request.key());
            v1::DeleteReply reply;
            reply.set_revision(++revision);
            return reply;
        };
        return with_faults<v1::DeleteReply>(write);
    }

    result<v1::ListHostsReply> list_hosts() override
    {
        v1::ListHostsReply reply;
        reply.mutable_hosts()->Assign(hosts.begin(), hosts.end());
        return reply;
    }

    std::uint64_t revision_of(const std::string& key) const
    {
        const auto found = records.find(key);
        return found == records.end() ? 0 : found->second.revision;
    }

private:
    template<typename Reply, typename Write>
    result<Reply> with_faults(Write write)
    {
        ++writes;
        if (auto hook = std::exchange(before_write, nullptr))
            hook();
        if (lost_requests > 0)
        {
            --lost_requests;
            return fail(errc::platform_unavailable);
        }
        auto outcome = write();
        if (lost_answers > 0)
        {
            --lost_answers;
            return fail(errc::platform_unavailable);
        }
        return outcome;
    }

    static void fill(
        v1::KeyValue& entry, const std::pair<const std::string, record>& stored)
    {
        entry.set_key(stored.first);
        entry.set_value(stored.second.value);
        entry.set_revision(stored.second.revision);
    }
};

} // namespace zinniahub::tests
