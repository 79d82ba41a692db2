#include "session/caller_service.hpp"

#include "session/caller_session.hpp"

namespace zinniahub::session
{

caller_service::caller_service(
    serve::proxy_state& state,
    const settings::host_settings::limits_section& limits,
    metrics::registry& metrics)
    : state_(state)
    , limits_(limits)
    , metrics_(metrics)
{
}

grpc::ServerBidiReactor<v1::Request, v1::Reply>*
caller_service::Session(grpc::CallbackServerContext*)
{
    return new caller_session(state_, limits_, metrics_, sessions_);
}

void caller_service::end_sessions()
{
    sessions_.end_all();
}

} // namespace zinniahub::session
