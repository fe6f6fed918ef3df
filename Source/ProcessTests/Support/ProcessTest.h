#pragma once

#include "ProcessTests/Support/BlockingHttpClient.h"
#include "ProcessTests/Support/ChildProcess.h"
#include "ProcessTests/Support/FaultProxy.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>

namespace sff::test {

/// Path of a program of this build. Throws std::invalid_argument if there is no
/// program of that name.
std::string programPath(const std::string &Name);

/// An address on loopback that is currently free. Ports are taken from the
/// range in SFF_TEST_PORTS (default "21000-29999"); a port is not returned
/// again until the whole range has been used. Throws std::runtime_error if no
/// port is free.
http::Address freeAddress();

/// Fixture of tests that run real processes. All processes are terminated at
/// the end of the test; the folder with their files is kept if the test fails.
class ProcessTest : public ::testing::Test {
protected:
  ProcessTest();
  ~ProcessTest() override;

  /// Starts \p Program with a settings file. The host and the zone default to
  /// \p Name and "z1". A running process of the same name is terminated first.
  ChildProcess &start(const std::string &Name, const std::string &Program,
                      nlohmann::json Settings);

  /// Starts a stand-in on \p Where, by default a free address, and waits until
  /// it serves requests.
  http::Address startStandIn(const std::string &Name,
                             const std::string &Program,
                             nlohmann::json Settings = {},
                             std::optional<http::Address> Where = {});

  /// Starts a program without a settings file, such as a command-line tool.
  ChildProcess &startTool(const std::string &Name, const std::string &Program,
                          const std::vector<std::string> &Arguments);

  /// Precondition: a process of that name has been started.
  ChildProcess &process(const std::string &Name) {
    return *m_Processes.at(Name);
  }

  /// Sets faults of a stand-in; the test fails if it rejects them.
  void setFaults(const http::Address &Target, const nlohmann::json &Faults);

  const std::filesystem::path &folder() const { return m_Folder; }

  BlockingHttpClient m_Http;

private:
  std::filesystem::path m_Folder;
  std::map<std::string, std::unique_ptr<ChildProcess>> m_Processes;
};

} // namespace sff::test
