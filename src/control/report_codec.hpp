#pragma once

#include "zinniahub/v1/peer.pb.h"
#include "zinniahub/v1/platform.pb.h"

#include <zinniahub/membership.hpp>
#include <zinniahub/observed_state.hpp>

namespace zinniahub::control
{

host_report from_protocol(const v1::HostReport& message);
void to_protocol(const host_report& report, v1::HostReport& message);

/// @param written_at when the report was written, on the reader's clock
domain_report
from_protocol(const v1::DomainReport& message, time_point written_at);

host_entry from_protocol(const v1::HostEntry& message);
void to_protocol(const host_entry& entry, v1::HostEntry& message);

} // namespace zinniahub::control
