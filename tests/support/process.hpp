#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace zinniahub::test
{

/// @brief A child process. The destructor kills it.
class process
{
public:
    process() = default;
    /// @param log_path file that standard output and error are appended to
    static process start(
        const std::vector<std::string>& arguments, const std::string& log_path);

    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    ~process();

    /// @brief Sends SIGKILL and waits.
    void kill();
    /// @brief Sends SIGTERM.
    void terminate() const;
    /// @brief Suspends the process; simulates a paused host.
    void freeze() const;
    void resume() const;
    /// @brief Sends SIGHUP.
    void hang_up() const;
    bool is_running();
    /// @return the exit code, or nothing if it does not end in time
    std::optional<int> wait(std::chrono::milliseconds timeout);

    pid_t pid() const
    {
        return pid_;
    }

private:
    pid_t pid_ = -1;
};

/// @brief Exit code and standard output of a finished command.
struct command_result
{
    int exit_code = -1;
    std::string output;
};

/// @brief Runs a command to its end. Standard error is part of the output.
command_result run_command(const std::vector<std::string>& arguments);

/// @brief An address on loopback whose port is not in use.
std::string free_address();

} // namespace zinniahub::test
