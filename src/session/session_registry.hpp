#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <mutex>
#include <set>

namespace zinniahub::session
{

class caller_session;

/// @brief The open caller sessions of the process, so that a planned stop can
/// end them. Thread-safe.
class session_registry
{
public:
    session_registry();
    ~session_registry();

    /// @return false if sessions are being ended, so that the new one must end
    /// at once
    bool add(caller_session& session);
    void remove(caller_session& session);

    /// @brief Ends each session once it has no request without a reply.
    void end_all();

private:
    std::mutex mutex_;
    std::set<boost::intrusive_ptr<caller_session>> sessions_;
    bool ending_ = false;
};

} // namespace zinniahub::session
