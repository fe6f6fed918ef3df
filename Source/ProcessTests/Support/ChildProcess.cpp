#include "ProcessTests/Support/ChildProcess.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>
#include <system_error>
#include <thread>

namespace sff::test {

namespace {

constexpr milliseconds PollPeriod{10};
/// Time allowed for a graceful shutdown before the process is killed.
constexpr milliseconds ShutdownLimit{5000};
constexpr int SignalExitBase = 128;

std::vector<std::string> makeCommand(const std::string &Program,
                                     const std::vector<std::string> &Rest) {
  // The kernel kills the child even if the test itself is killed. setpriv execs
  // the program, so the pid is that of the program.
  std::vector<std::string> Command{"setpriv", "--pdeathsig", "KILL", Program};
  Command.insert(Command.end(), Rest.begin(), Rest.end());
  return Command;
}

/// Scoped posix_spawn file actions that redirect standard output and error.
class Redirection {
public:
  Redirection(const std::string &Output, const std::string &Log) {
    posix_spawn_file_actions_init(&m_Actions);
    add(STDOUT_FILENO, Output);
    add(STDERR_FILENO, Log);
    // An inherited listening socket would keep a port open after the test has
    // closed it.
    posix_spawn_file_actions_addclosefrom_np(&m_Actions, STDERR_FILENO + 1);
  }
  ~Redirection() { posix_spawn_file_actions_destroy(&m_Actions); }
  Redirection(const Redirection &) = delete;
  Redirection &operator=(const Redirection &) = delete;

  const posix_spawn_file_actions_t *get() const { return &m_Actions; }

private:
  void add(int Descriptor, const std::string &Path) {
    constexpr mode_t FileMode = 0644;
    posix_spawn_file_actions_addopen(&m_Actions, Descriptor, Path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, FileMode);
  }
  posix_spawn_file_actions_t m_Actions{};
};

} // namespace

bool waitUntil(const std::function<bool()> &Condition, milliseconds Limit) {
  const Instant End = std::chrono::steady_clock::now() + Limit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= End)
      return false;
    std::this_thread::sleep_for(PollPeriod);
  }
  return true;
}

ChildProcess::ChildProcess(const std::filesystem::path &Folder,
                           const std::string &Name, const std::string &Program,
                           const std::vector<std::string> &Arguments)
    : m_Output(Folder / (Name + ".out")), m_Log(Folder / (Name + ".log")) {
  std::vector<std::string> Command = makeCommand(Program, Arguments);
  std::vector<char *> Argv;
  Argv.reserve(Command.size() + 1);
  for (std::string &Part : Command)
    Argv.push_back(Part.data());
  Argv.push_back(nullptr);
  const Redirection Files(m_Output, m_Log);
  const int Error = posix_spawnp(&m_Pid, Argv.front(), Files.get(), nullptr,
                                 Argv.data(), environ);
  if (Error != 0)
    throw std::system_error(Error, std::generic_category(), Program);
}

ChildProcess::~ChildProcess() {
  if (!isRunning())
    return;
  resume();
  terminate();
  if (waitForExit(ShutdownLimit))
    return;
  kill();
}

void ChildProcess::reap(int Options) {
  if (m_ExitCode)
    return;
  int Status = 0;
  if (waitpid(m_Pid, &Status, Options) != m_Pid)
    return;
  m_ExitCode = WIFSIGNALED(Status) ? SignalExitBase + WTERMSIG(Status)
                                   : WEXITSTATUS(Status);
}

bool ChildProcess::isRunning() {
  reap(WNOHANG);
  return !m_ExitCode;
}

void ChildProcess::signal(int Signal) {
  if (isRunning())
    ::kill(m_Pid, Signal);
}

void ChildProcess::kill() {
  signal(SIGKILL);
  // Until the process has exited, the kernel still accepts connections for it.
  reap(0);
}

void ChildProcess::terminate() { signal(SIGTERM); }
void ChildProcess::pause() { signal(SIGSTOP); }
void ChildProcess::resume() { signal(SIGCONT); }

std::optional<int> ChildProcess::waitForExit(milliseconds Limit) {
  waitUntil([this] { return !isRunning(); }, Limit);
  return m_ExitCode;
}

std::string ChildProcess::output() const {
  std::ostringstream Text;
  Text << std::ifstream(m_Output).rdbuf();
  return Text.str();
}

std::vector<nlohmann::json> ChildProcess::logLines() const {
  std::vector<nlohmann::json> Lines;
  std::ifstream File(m_Output);
  for (std::string Line; std::getline(File, Line);)
    if (auto Parsed = nlohmann::json::parse(Line, nullptr, false);
        Parsed.is_object())
      Lines.push_back(std::move(Parsed));
  return Lines;
}

bool ChildProcess::hasLogged(std::string_view Event) const {
  return std::ranges::any_of(logLines(), [Event](const nlohmann::json &Line) {
    return Line.value("event", "") == Event;
  });
}

} // namespace sff::test
