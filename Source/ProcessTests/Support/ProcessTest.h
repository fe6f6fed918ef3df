#pragma once

#include "ProcessTests/Support/ChildProcess.h"
#include "ProcessTests/Support/CutProxy.h"
#include "ProcessTests/Support/HttpCaller.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>

namespace sff::test {

/// Path of a program of this build. Throws when there is none of that name.
std::string programPath(const std::string &Name);

/// An address on 127.0.0.1 on which nothing listens now. Ports come from the
/// range of SFF_TEST_PORTS ("21000-29999"), and none is returned twice.
http::Address freeAddress();

/// Fixture of tests over real processes. All processes end with the test; the
/// folder with their files is kept when the test failed.
class ProcessTest : public ::testing::Test {
protected:
  ProcessTest();
  ~ProcessTest() override;

  /// Starts \p Program with a settings file. The host and the zone are added
  /// when \p Settings does not name them. A process of the same name ends.
  ChildProcess &start(const std::string &Name, const std::string &Program,
                      nlohmann::json Settings);

  /// Starts a stand-in on a free address, or on \p Where, and waits until it
  /// serves.
  http::Address startStandIn(const std::string &Name,
                             const std::string &Program,
                             nlohmann::json Settings = {},
                             std::optional<http::Address> Where = {});

  /// Starts a program that takes no settings file, such as a tool.
  ChildProcess &startTool(const std::string &Name, const std::string &Program,
                          const std::vector<std::string> &Arguments);

  /// Precondition: a process of that name was started.
  ChildProcess &process(const std::string &Name) {
    return *m_Processes.at(Name);
  }

  /// Sets faults of a stand-in and expects that it accepts them.
  void setFaults(const http::Address &Target, const nlohmann::json &Faults);

  const std::filesystem::path &folder() const { return m_Folder; }

  HttpCaller m_Http;

private:
  std::filesystem::path m_Folder;
  std::map<std::string, std::unique_ptr<ChildProcess>> m_Processes;
};

} // namespace sff::test
