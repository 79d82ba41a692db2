#pragma once

#include "settings/settings.hpp"

namespace zinniahub::serve
{

/// @brief Runs the proxy until it has drained after SIGTERM.
/// @return exit code of the process, see docs/exit-codes.md
int run(const settings::host_settings& values);

} // namespace zinniahub::serve
