#include "ProcessTests/Deployment/DeploymentFixture.h"

#include <fstream>
#include <sstream>

namespace sff::test {

namespace {

constexpr std::int64_t EngineMemoryBytes = 1000000;
constexpr milliseconds LeaseDuration{2000};
constexpr milliseconds LeaseMargin{500};

std::string zoneName(int Zone) { return "zone-" + std::to_string(Zone); }

} // namespace

nlohmann::json DeploymentFixture::modelSpec(int Replicas) {
  return {{"kind", "model"},
          {"team", "team"},
          {"class", "interactive"},
          {"version", "1"},
          {"replicas", Replicas},
          {"weight_bytes", 500000},
          {"bytes_per_token", 100},
          {"max_tokens", 200},
          {"max_queue", 64},
          {"max_concurrent", 32},
          {"default_deadline_ms", 20000}};
}

nlohmann::json DeploymentFixture::serviceSpec() {
  return {{"kind", "service"},
          {"team", "team"},
          {"class", "interactive"},
          {"service", "svc"},
          {"repeatable", false}};
}

void DeploymentFixture::startPlatform() {
  m_Log = startStandIn("log", "standin-log");
  m_Weights = startStandIn("weights", "standin-weights",
                           {{"weights", {{"loads_per_second", 20.0}}}});
}

void DeploymentFixture::startEngine(Engine &Started) {
  startStandIn(
      Started.m_Name, "standin-engine",
      {{"process",
        {{"host", Started.m_Name}, {"zone", zoneName(Started.m_Zone)}}},
       {"engine",
        {{"memory_bytes", EngineMemoryBytes},
         {"weight_store", m_Weights.str()},
         {"fencing", m_Shape.m_Fencing},
         {"disk_load_ms", 300},
         {"memory_load_ms", 100},
         {"token_ms", 20}}}},
      Started.m_Address);
}

void DeploymentFixture::startEndpoints() {
  for (int Zone = 0; Zone < m_Shape.m_Zones; ++Zone) {
    for (int Index = 0; Index < m_Shape.m_EnginesPerZone; ++Index) {
      Engine Added;
      Added.m_Name = "engine-" + std::to_string(m_Engines.size());
      Added.m_Zone = Zone;
      Added.m_Address = freeAddress();
      Added.m_ProxyAddress = freeAddress();
      Added.m_Proxy =
          std::make_unique<FaultProxy>(Added.m_ProxyAddress, Added.m_Address);
      startEngine(Added);
      m_Engines.push_back(std::move(Added));
    }
    m_Services.push_back(
        startStandIn("service-" + std::to_string(Zone), "standin-service"));
  }
}

nlohmann::json DeploymentFixture::hostEntries() const {
  nlohmann::json Result = nlohmann::json::array();
  for (const Engine &Item : m_Engines)
    Result.push_back({{"host", Item.m_Name},
                      {"kind", "engine"},
                      {"address", Item.m_ProxyAddress.str()},
                      {"zone", zoneName(Item.m_Zone)},
                      {"state", "live"},
                      {"memory_bytes", EngineMemoryBytes}});
  for (std::size_t Zone = 0; Zone < m_Services.size(); ++Zone)
    Result.push_back({{"host", "service-" + std::to_string(Zone)},
                      {"kind", "service"},
                      {"service", "svc"},
                      {"address", m_Services[Zone].str()},
                      {"zone", zoneName(static_cast<int>(Zone))},
                      {"state", "live"},
                      {"memory_bytes", 0}});
  for (const Host &Item : m_Hosts)
    Result.push_back({{"host", "host" + Item.m_Suffix},
                      {"kind", "entry"},
                      {"address", Item.m_Router.str()},
                      {"zone", zoneName(Item.m_Zone)},
                      {"state", "live"},
                      {"memory_bytes", 0}});
  return Result;
}

nlohmann::json DeploymentFixture::relayList(const Host &Local) const {
  nlohmann::json Result = {Local.m_Relay.str()};
  for (const Host &Item : m_Hosts)
    if (Item.m_Relay != Local.m_Relay)
      Result.push_back(Item.m_Relay.str());
  return Result;
}

void DeploymentFixture::startController(Host &Started) {
  start("controller" + Started.m_Suffix, "sff-controller",
        {{"process",
          {{"host", "host" + Started.m_Suffix},
           {"zone", zoneName(Started.m_Zone)}}},
         {"controller",
          {{"listen", Started.m_Controller.str()},
           {"router_address", Started.m_RouterPeer.str()},
           {"relays", relayList(Started)},
           {"inventory_period_ms", 300},
           {"all_endpoints_fence", m_Shape.m_Fencing}}},
         {"lease",
          {{"duration_ms", LeaseDuration.count()},
           {"renew_every_ms", 500},
           {"margin_ms", LeaseMargin.count()},
           {"claim_delay_ms", 1000}}},
         {"memory", {{"loan_time_to_live_ms", 1500}}},
         {"platform",
          {{"host_list_address", m_HostList.str()},
           {"host_list_period_ms", 200}}}});
}

void DeploymentFixture::startHost(Host &Started) {
  const nlohmann::json Identity = {{"host", "host" + Started.m_Suffix},
                                   {"zone", zoneName(Started.m_Zone)}};
  const http::Address LogPath = freeAddress();
  Started.m_LogProxy = std::make_unique<FaultProxy>(LogPath, m_Log);
  nlohmann::json Relays = relayList(Started);
  nlohmann::json Peers = Relays;
  Peers.erase(0);
  start("relay" + Started.m_Suffix, "sff-relay",
        {{"process", Identity},
         {"relay", {{"listen", Started.m_Relay.str()}, {"peers", Peers}}},
         {"log", {{"address", LogPath.str()}, {"timeout_ms", 500}}}});
  startController(Started);
  start("router" + Started.m_Suffix, "sff-router",
        {{"process", Identity},
         {"router",
          {{"listen", Started.m_Router.str()},
           {"peer_listen", Started.m_RouterPeer.str()},
           {"relays", Relays},
           {"drain_delay_ms", 200}}},
         {"streams", {{"progress_timeout_ms", 1000}}}});
}

void DeploymentFixture::deploy(DeploymentShape Shape) {
  m_Shape = Shape;
  startPlatform();
  startEndpoints();
  for (int Zone = 0; Zone < Shape.m_Zones; ++Zone)
    for (int Index = 0; Index < Shape.m_HostsPerZone; ++Index) {
      Host Added;
      Added.m_Suffix = "-" + std::to_string(m_Hosts.size());
      Added.m_Zone = Zone;
      Added.m_Relay = freeAddress();
      Added.m_Controller = freeAddress();
      Added.m_RouterPeer = freeAddress();
      Added.m_Router = freeAddress();
      m_Hosts.push_back(std::move(Added));
    }
  const auto HostsFile = folder() / "host-list.json";
  std::ofstream(HostsFile) << hostEntries();
  m_HostList = startStandIn(
      "hosts", "standin-hosts",
      {{"hosts", {{"hosts_file", HostsFile.string()}, {"lag_ms", 200}}}});
  for (Host &Item : m_Hosts)
    startHost(Item);
  ASSERT_TRUE(waitUntil([this] {
    for (std::size_t Index = 0; Index < m_Engines.size(); ++Index)
      if (ownerOf(static_cast<int>(Index)) < 0)
        return false;
    return true;
  })) << "not every engine has an owner";
}

ChildProcess &DeploymentFixture::relayOf(int Index) {
  return process("relay-" + std::to_string(Index));
}
ChildProcess &DeploymentFixture::controllerOf(int Index) {
  return process("controller-" + std::to_string(Index));
}
ChildProcess &DeploymentFixture::routerOf(int Index) {
  return process("router-" + std::to_string(Index));
}

void DeploymentFixture::killHost(int Index) {
  routerOf(Index).kill();
  controllerOf(Index).kill();
  relayOf(Index).kill();
}

std::string
DeploymentFixture::runTool(const std::vector<std::string> &Arguments,
                           int *ExitCode) {
  ChildProcess &Tool =
      startTool("tool-" + std::to_string(m_ToolRuns++), "sffctl", Arguments);
  const auto Code = Tool.waitForExit();
  if (ExitCode)
    *ExitCode = Code.value_or(-1);
  return Tool.output();
}

int DeploymentFixture::publish(const std::string &Name, nlohmann::json Spec,
                               const std::vector<std::string> &Options) {
  const auto File =
      folder() / ("catalogue-" + std::to_string(m_ToolRuns) + ".json");
  std::ofstream(File) << nlohmann::json{{"entries", {{Name, std::move(Spec)}}}};
  std::vector<std::string> Arguments = {"publish", File.string(), "--wait"};
  for (const Host &Item : m_Hosts) {
    Arguments.push_back("--relay");
    Arguments.push_back(Item.m_Relay.str());
  }
  Arguments.insert(Arguments.end(), Options.begin(), Options.end());
  int Code = -1;
  m_PublishOutput = runTool(Arguments, &Code);
  return Code;
}

HttpResult DeploymentFixture::complete(int HostIndex,
                                       const std::string &RequestId,
                                       int MaxTokens, milliseconds Timeout,
                                       const std::string &Prompt,
                                       const std::string &Model) {
  BlockingHttpClient Caller(Timeout + milliseconds(10000));
  const nlohmann::json Body = {
      {"model", Model}, {"prompt", Prompt}, {"max_tokens", MaxTokens}};
  return Caller.post(
      m_Hosts[static_cast<std::size_t>(HostIndex)].m_Router, "/v1/completions",
      Body,
      {{"X-Request-Id", RequestId},
       {"X-Request-Timeout-Ms", std::to_string(Timeout.count())}});
}

std::future<HttpResult>
DeploymentFixture::completeAsync(int HostIndex, const std::string &RequestId,
                                 int MaxTokens, milliseconds Timeout) {
  return std::async(std::launch::async, [=, this] {
    return complete(HostIndex, RequestId, MaxTokens, Timeout);
  });
}

HttpResult DeploymentFixture::reserve(int HostIndex, const std::string &Key,
                                      const std::string &Body) {
  BlockingHttpClient Caller;
  http::Request Message;
  Message.m_Method = "POST";
  Message.m_Target = "/services/svc/items/1";
  Message.m_Headers.set("Idempotency-Key", Key);
  Message.m_Body = Body;
  return Caller.send(m_Hosts[static_cast<std::size_t>(HostIndex)].m_Router,
                     std::move(Message));
}

int DeploymentFixture::executions(const std::string &Key) {
  int Total = 0;
  for (const http::Address &Service : m_Services) {
    const auto Answer = m_Http.get(Service, "/control/executions").json();
    const auto Counts = Answer.value("by_key", nlohmann::json::object());
    Total += Counts.value(Key, 0);
  }
  return Total;
}

nlohmann::json DeploymentFixture::inventory(int EngineIndex) {
  const Engine &Item = m_Engines[static_cast<std::size_t>(EngineIndex)];
  return m_Http.get(Item.m_Address, "/control/inventory").json();
}

int DeploymentFixture::loadedReplicas(const std::string &Model) {
  int Count = 0;
  for (std::size_t Index = 0; Index < m_Engines.size(); ++Index) {
    const auto Report = inventory(static_cast<int>(Index));
    if (Report.is_object())
      for (const auto &Item : Report.at("models"))
        Count += Item.at("model") == Model ? 1 : 0;
  }
  return Count;
}

void DeploymentFixture::expectNoOvercommit() {
  for (std::size_t Index = 0; Index < m_Engines.size(); ++Index) {
    const auto Report = inventory(static_cast<int>(Index));
    if (Report.is_object()) {
      EXPECT_EQ(Report.at("overcommitted"), 0) << m_Engines[Index].m_Name;
    }
  }
}

int DeploymentFixture::engineOf(const std::string &Model) {
  std::istringstream Lines(
      runTool({"status", "slots", "--relay", m_Hosts.front().m_Relay.str()}));
  std::string Entry;
  std::string Slot;
  std::string Endpoint;
  std::string Rest;
  while (Lines >> Entry >> Slot >> Endpoint && std::getline(Lines, Rest))
    if (Entry == Model)
      for (std::size_t Index = 0; Index < m_Engines.size(); ++Index)
        if (m_Engines[Index].m_Name == Endpoint)
          return static_cast<int>(Index);
  return -1;
}

int DeploymentFixture::ownerOf(int EngineIndex) {
  const std::string &Name =
      m_Engines[static_cast<std::size_t>(EngineIndex)].m_Name;
  std::string Latest;
  std::int64_t Newest = 0;
  for (const Host &Item : m_Hosts)
    for (const auto &Line : process("controller" + Item.m_Suffix).logLines()) {
      const auto &Fields = Line.at("fields");
      if (Line.at("event") != "endpoint.stage" ||
          Fields.at("endpoint") != Name || Fields.at("stage") != "ready")
        continue;
      const auto Token = Fields.at("token").get<std::int64_t>();
      if (Token < Newest)
        continue;
      Newest = Token;
      Latest = Item.m_Suffix;
    }
  return Latest.empty() ? -1 : std::stoi(Latest.substr(1));
}

bool DeploymentFixture::waitUntilServed(int HostIndex,
                                        const std::string &RequestIdPrefix) {
  int Attempt = 0;
  return waitUntil([&] {
    return complete(HostIndex, RequestIdPrefix + std::to_string(Attempt++), 2,
                    milliseconds(5000))
               .status() == 200;
  });
}

void DeploymentFixture::setHostState(const std::string &Name,
                                     const std::string &State) {
  for (nlohmann::json Item : hostEntries())
    if (Item.at("host") == Name) {
      Item["state"] = State;
      nlohmann::json Change = {{"hosts", nlohmann::json::array({Item})}};
      EXPECT_EQ(m_Http.post(m_HostList, "/v1/hosts", Change).status(), 200);
    }
}

} // namespace sff::test
