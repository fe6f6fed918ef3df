#pragma once

#include "ProcessTests/Support/ProcessTest.h"

#include <future>

namespace sff::test {

/// What a test deployment consists of. Entry hosts are numbered from 0 over all
/// availability zones, and so are engines.
struct DeploymentShape {
  int m_Zones = 2;
  int m_HostsPerZone = 1;
  int m_EnginesPerZone = 1;
  bool m_Fencing = true;
};

/// Fixture of tests over a whole deployment on loopback addresses. The path of
/// each host to the platform's log goes through a proxy that a test can cut.
class DeploymentFixture : public ProcessTest {
protected:
  /// Starts everything and waits until the catalogue is in force and all
  /// engines are ready.
  void deploy(DeploymentShape Shape = {});

  /// Publishes one entry and returns the exit code of `sffctl publish --wait`.
  int publish(const std::string &Name, nlohmann::json Spec,
              const std::vector<std::string> &Options = {});
  static nlohmann::json modelSpec(int Replicas);
  /// A plain service whose calls must not run twice.
  static nlohmann::json serviceSpec();

  struct Host {
    std::string m_Suffix;
    int m_Zone = 0;
    http::Address m_Relay;
    http::Address m_Controller;
    http::Address m_RouterPeer;
    http::Address m_Router;
    std::unique_ptr<CutProxy> m_LogPath;
  };
  struct Engine {
    std::string m_Name;
    int m_Zone = 0;
    http::Address m_Address;
    std::unique_ptr<CutProxy> m_Path;
    http::Address m_PublicAddress; ///< Of the proxy before the engine.
  };

  ChildProcess &relayOf(int Index);
  ChildProcess &controllerOf(int Index);
  ChildProcess &routerOf(int Index);
  /// Ends all processes of a host at once.
  void killHost(int Index);
  void startController(Host &Started);
  void startEngine(Engine &Started);

  /// Sends a completion to a host's router.
  Reply complete(int HostIndex, const std::string &RequestId, int MaxTokens = 4,
                 milliseconds Timeout = milliseconds(20000),
                 const std::string &Prompt = "hello",
                 const std::string &Model = "m");
  std::future<Reply> completeLater(int HostIndex, const std::string &RequestId,
                                   int MaxTokens,
                                   milliseconds Timeout = milliseconds(20000));
  /// A call of the plain service that must not run twice.
  Reply reserve(int HostIndex, const std::string &Key,
                const std::string &Body = "{}");
  /// Executions of a key, over all plain services.
  int executions(const std::string &Key);

  nlohmann::json inventory(int EngineIndex);
  /// Engines on which the model is loaded or loading.
  int loadedReplicas(const std::string &Model);
  /// Expects that no engine has ever used more memory than it has.
  void expectNoOvercommit();
  /// The engine that holds the slot of a single-replica model, or -1.
  int engineOf(const std::string &Model);
  /// Index of the host whose controller owns the engine, or -1.
  int ownerOf(int EngineIndex);
  /// Output of a tool that ends by itself.
  std::string runTool(const std::vector<std::string> &Arguments,
                      int *ExitCode = nullptr);
  bool waitUntilServed(int HostIndex, const std::string &RequestIdPrefix);
  void setHostState(const std::string &Name, const std::string &State);

  /// What the last publish() printed: entry, id, offset and verdict.
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
  int m_Tools = 0;
};

} // namespace sff::test
