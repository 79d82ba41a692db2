#pragma once

#include "observability/metrics.hpp"
#include "serve/fleet_state.hpp"
#include "session/session_registry.hpp"
#include "settings/settings.hpp"
#include "zinniahub/v1/caller.grpc.pb.h"

#include <grpcpp/grpcpp.h>

namespace zinniahub::session
{

/// @brief Service for callers. Each stream is a `caller_session`.
class caller_service final : public v1::Proxy::CallbackService
{
public:
    caller_service(
        serve::proxy_state& state,
        const settings::host_settings::limits_section& limits,
        metrics::registry& metrics);

    grpc::ServerBidiReactor<v1::Request, v1::Reply>*
    Session(grpc::CallbackServerContext* context) override;

    /// @brief Ends all streams at the end of a planned stop. Streams that open
    /// later end at once. Thread-safe.
    void end_sessions();

private:
    serve::proxy_state& state_;
    const settings::host_settings::limits_section& limits_;
    metrics::registry& metrics_;
    session_registry sessions_;
};

} // namespace zinniahub::session
