#pragma once

#include "zinniahub/v1/configuration.pb.h"

#include <zinniahub/configuration.hpp>

#include <string>
#include <string_view>

namespace zinniahub::control
{

/// @brief Parses and validates the value of a key under /zinniahub/config/.
/// @return `errc::resource_invalid` if it cannot be parsed or is not valid
result<resource> decode_resource(std::string_view value);

/// @brief Converts a resource from the protocol without validating it.
result<resource> from_protocol(const v1::Resource& message);

} // namespace zinniahub::control
