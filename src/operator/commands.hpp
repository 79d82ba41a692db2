#pragma once

#include "operator/exit_code.hpp"

#include <span>
#include <string>

namespace zinniahub::commands
{

using arguments = std::span<const std::string>;

/// Subcommands of the binary. The arguments come without the subcommand.
exit_code run_serve(arguments args);
exit_code run_check(arguments args);
exit_code run_apply(arguments args);
exit_code run_get(arguments args);
exit_code run_list(arguments args);
exit_code run_withdraw(arguments args);
exit_code run_watch(arguments args);
exit_code run_exec(arguments args);
exit_code run_explain(arguments args);
exit_code run_serve_platform(arguments args);

} // namespace zinniahub::commands
