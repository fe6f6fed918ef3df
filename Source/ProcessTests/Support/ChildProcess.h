#pragma once

#include "Common/Time/Instant.h"

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace sff::test {

/// Default timeout of waits for a condition; long because the machine may be
/// under load.
constexpr milliseconds WaitLimit{30000};

/// Polls until \p Condition returns true. Returns false after \p Limit.
bool waitUntil(const std::function<bool()> &Condition,
               milliseconds Limit = WaitLimit);

/// A child process of the test. The destructor terminates it.
/// Thread safety: use from the main thread because the kernel kills the child
/// when the thread that started it exits.
class ChildProcess {
public:
  /// Starts a program with \p Arguments; standard output and error are
  /// redirected to files. Throws std::system_error if it cannot be started.
  ChildProcess(const std::filesystem::path &Folder, const std::string &Name,
               const std::string &Program,
               const std::vector<std::string> &Arguments);
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  pid_t pid() const { return m_Pid; }
  bool isRunning();
  void signal(int Signal);
  /// Sends SIGKILL, which simulates a crash, and waits until the process is
  /// gone.
  void kill();
  /// Sends SIGTERM. Does not wait.
  void terminate();
  void pause();
  void resume();

  /// The exit code, or 128 + signal number; nothing if the process is still
  /// running after \p Limit.
  std::optional<int> waitForExit(milliseconds Limit = WaitLimit);

  std::string output() const;
  /// The JSON objects logged to standard output; other lines are skipped.
  std::vector<nlohmann::json> logLines() const;
  bool hasLogged(std::string_view Event) const;

private:
  void reap(int Options);

  std::filesystem::path m_Output;
  std::filesystem::path m_Log;
  pid_t m_Pid = 0;
  std::optional<int> m_ExitCode;
};

} // namespace sff::test
