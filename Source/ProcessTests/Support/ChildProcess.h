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

/// Bound of waits for a condition; generous, because the machine may be busy.
constexpr milliseconds WaitLimit{30000};

/// Waits until \p Condition holds. Returns false after \p Limit.
bool waitUntil(const std::function<bool()> &Condition,
               milliseconds Limit = WaitLimit);

/// A process that this test started. The destructor ends it.
/// Thread safety: use from the main thread, because the kernel ends the child
/// when the thread that started it ends.
class ChildProcess {
public:
  /// Starts a program with \p Arguments; standard output and error go to
  /// files. Throws std::system_error when it cannot be started.
  ChildProcess(const std::filesystem::path &Folder, const std::string &Name,
               const std::string &Program,
               const std::vector<std::string> &Arguments);
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  pid_t pid() const { return m_Pid; }
  bool isRunning();
  void signal(int Signal);
  /// Ends it at once, as a crash would, and returns when it is gone.
  void kill();
  /// Asks it to shut down. Does not wait.
  void terminate();
  void pause();
  void resume();

  /// The exit code, or 128 + signal, or nothing while it runs after \p Limit.
  std::optional<int> waitForExit(milliseconds Limit = WaitLimit);

  std::string output() const;
  /// The JSON lines of standard output; lines that are not JSON are left out.
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
