#include "session/session_registry.hpp"

#include "session/caller_session.hpp"

namespace zinniahub::session
{

session_registry::session_registry() = default;

session_registry::~session_registry() = default;

bool session_registry::add(caller_session& session)
{
    const std::lock_guard lock(mutex_);
    sessions_.emplace(&session);
    return !ending_;
}

void session_registry::remove(caller_session& session)
{
    const std::lock_guard lock(mutex_);
    sessions_.erase(&session);
}

void session_registry::end_all()
{
    // Sessions remove themselves when they end, so they are ended without the
    // lock held.
    std::set<boost::intrusive_ptr<caller_session>> open;
    {
        const std::lock_guard lock(mutex_);
        ending_ = true;
        open = sessions_;
    }
    for (const auto& session : open)
    {
        session->end();
    }
}

} // namespace zinniahub::session
