#pragma once

#include "ProcessTests/Support/ProcessTest.h"

#include <future>

namespace sff::test {

/// Size of a test deployment. Entry hosts are numbered from 0 across all
/// availability zones, and so are engines.
struct DeploymentShape {
  int m_Zones = 2;
  int m_HostsPerZone = 1;
  int m_EnginesPerZone = 1;
  bool m_Fencing = true;
};

/// Fixture of tests that run a complete deployment on loopback addresses. Each
/// host reaches the platform's log, and each engine is reached, through a proxy
/// that a test can interrupt.
class DeploymentFixture : public ProcessTest {
protected:
  /// Starts all processes and waits until every engine is ready and has an
  /// owner. Publishes no catalogue.
  void deploy(DeploymentShape Shape = {});

  /// Publishes one entry and returns the exit code of `sffctl publish --wait`.
  int publish(const std::string &Name, nlohmann::json Spec,
              const std::vector<std::string> &Options = {});
  static nlohmann::json modelSpec(int Replicas);
  /// A service whose calls must not be executed twice.
  static nlohmann::json serviceSpec();

  struct Host {
    std::string m_Suffix;
    int m_Zone = 0;
    http::Address m_Relay;
    http::Address m_Controller;
    http::Address m_RouterPeer;
    http::Address m_Router;
    std::unique_ptr<FaultProxy> m_LogProxy;
  };
  struct Engine {
    std::string m_Name;
    int m_Zone = 0;
    http::Address m_Address;
    std::unique_ptr<FaultProxy> m_Proxy;
    http::Address m_ProxyAddress; ///< The address in the host list.
  };

  ChildProcess &relayOf(int Index);
  ChildProcess &controllerOf(int Index);
  ChildProcess &routerOf(int Index);
  /// Kills all processes of a host, which simulates the loss of the machine.
  void killHost(int Index);
  void startController(Host &Started);
  void startEngine(Engine &Started);

  /// Sends a completion request to the router of a host.
  HttpResult complete(int HostIndex, const std::string &RequestId,
                      int MaxTokens = 4,
                      milliseconds Timeout = milliseconds(20000),
                      const std::string &Prompt = "hello",
                      const std::string &Model = "m");
  std::future<HttpResult>
  completeAsync(int HostIndex, const std::string &RequestId, int MaxTokens,
                milliseconds Timeout = milliseconds(20000));
  /// Calls the service of serviceSpec() through the router of a host.
  HttpResult reserve(int HostIndex, const std::string &Key,
                     const std::string &Body = "{}");
  /// Number of executions with this idempotency key, over all services.
  int executions(const std::string &Key);

  nlohmann::json inventory(int EngineIndex);
  /// Number of engines on which the model is loaded or loading.
  int loadedReplicas(const std::string &Model);
  /// Checks that no engine has ever overcommitted its memory.
  void expectNoOvercommit();
  /// Index of the engine to which the slot of a single-replica model is
  /// assigned, or -1.
  int engineOf(const std::string &Model);
  /// Index of the host whose controller owns the engine, or -1 if it has no
  /// owner.
  int ownerOf(int EngineIndex);
  /// Runs sffctl until it exits and returns its output.
  std::string runTool(const std::vector<std::string> &Arguments,
                      int *ExitCode = nullptr);
  bool waitUntilServed(int HostIndex, const std::string &RequestIdPrefix);
  void setHostState(const std::string &Name, const std::string &State);

  /// Output of the last publish(): entry, id, offset and verdict.
  std::string m_PublishOutput;
  std::vector<Host> m_Hosts;
  std::vector<Engine> m_Engines;
  std::vector<http::Address> m_Services;
  http::Address m_Log;
  http::Address m_Weights;
  http::Address m_HostList;

private:
  nlohmann::json relayList(const Host &Local) const;
  nlohmann::json hostEntries() const;
  void startPlatform();
  void startEndpoints();
  void startHost(Host &Started);

  DeploymentShape m_Shape;
  int m_ToolRuns = 0;
};

} // namespace sff::test
