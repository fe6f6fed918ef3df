#include "RouterFixture.h"

#include "Router/RouterSettings.h"

#include <boost/leaf/handle_errors.hpp>

namespace sff::router::testing {

namespace {

constexpr std::chrono::seconds WaitTimeout{20};

settings::Settings check(const nlohmann::json &Document) {
  const settings::Schema Schema = makeSchema();
  return boost::leaf::try_handle_all(
      [&] { return Schema.check(Document, "test"); },
      [](const findings::FindingList &Findings) -> settings::Settings {
        std::ostringstream Text;
        Text << Findings;
        throw std::runtime_error(Text.str());
      },
      []() -> settings::Settings { throw std::runtime_error("settings"); });
}

} // namespace

RouterTest::RouterTest()
    : m_Relay(addressAt(0)), m_Controller(addressAt(1)),
      m_EngineA(static_cast<std::uint16_t>(m_Ports.at(6))),
      m_EngineB(static_cast<std::uint16_t>(m_Ports.at(7))),
      m_Service(static_cast<std::uint16_t>(m_Ports.at(8))),
      m_Client(m_Loop.context().get_executor()) {
  const IncarnationId Owner("c1");
  const auto Append = [this](const fold::Record &Value) {
    return m_Relay.append("control", fold::toJson(Value));
  };
  for (int Number = 0; Number < 2; ++Number)
    Append(fold::LeaseRenewal{
        makeId<RecordId>(), IncarnationId("c" + std::to_string(Number + 1)), 0,
        HostId("h" + std::to_string(Number + 1)), ZoneId("z"), addressAt(1),
        addressAt(3 + 2 * Number)});
  const Offset Token = Append(
      fold::OwnershipClaim{makeId<RecordId>(),
                           Owner,
                           {{EndpointId("a"), 0, 0}, {EndpointId("b"), 0, 0}}});
  catalogue::EntrySpec Model;
  Model.m_Team = "team";
  Model.m_Replicas = 2;
  Model.m_WeightBytes = 1000;
  Model.m_BytesPerToken = 1;
  publish("m", Model);
  catalogue::EntrySpec Service;
  Service.m_Kind = catalogue::EntryKind::Service;
  Service.m_Team = "team";
  Service.m_Service = "svc";
  publish("svc", Service);
  Service.m_Repeatable = true;
  publish("board", Service);
  Append(fold::SlotGrant{makeId<RecordId>(),
                         Owner,
                         {{EntryName("m"), 0, EndpointId("a"), 0, Token},
                          {EntryName("m"), 1, EndpointId("b"), 0, Token}}});
  m_Controller.setEndpoint(infoOf("a", m_EngineA));
  m_Controller.setEndpoint(infoOf("b", m_EngineB));
  auto PlainService = infoOf("s", m_Service);
  PlainService.m_Kind = "service";
  PlainService.m_Service = "svc";
  m_Controller.setEndpoint(PlainService);
}

RouterTest::~RouterTest() { m_Loop.stop(); }

std::string RouterTest::addressAt(int Index) const {
  return "127.0.0.1:" + std::to_string(m_Ports.at(Index));
}

http::Address RouterTest::routerAt(int Number) const {
  return {"127.0.0.1", static_cast<std::uint16_t>(m_Ports.at(2 + 2 * Number))};
}

messages::EndpointInfo RouterTest::infoOf(const std::string &Name,
                                          const FakeEndpoint &Endpoint) const {
  messages::EndpointInfo Info;
  Info.m_Endpoint = EndpointId(Name);
  Info.m_Address = Endpoint.address();
  Info.m_Kind = "engine";
  Info.m_State = "live";
  return Info;
}

void RouterTest::publish(const std::string &Name, catalogue::EntrySpec Spec) {
  m_Versions[Name] = m_Relay.append(
      "control", fold::toJson(fold::CatalogueChange{
                     makeId<RecordId>(), EntryName(Name), m_Versions[Name],
                     std::move(Spec), "test"}));
}

log::ProcessIdentity RouterTest::identityOf(int Number) {
  const std::string Suffix = std::to_string(Number + 1);
  return {"sff-router", "h" + Suffix, "z", "r" + Suffix};
}

settings::Settings RouterTest::settingsOf(int Number,
                                          const nlohmann::json &Extra) const {
  nlohmann::json Document = {
      {"process", {{"host", "h" + std::to_string(Number + 1)}, {"zone", "z"}}},
      {"router",
       {{"listen", addressAt(2 + 2 * Number)},
        {"peer_listen", addressAt(3 + 2 * Number)},
        {"relays", {addressAt(0)}},
        {"drain_delay_ms", 100}}},
      {"credits", {{"patience_ms", 200}, {"idle_limit_ms", 300}}},
      {"routing", {{"endpoint_list_ms", 50}, {"load_ms", 100}}},
      {"streams", {{"progress_timeout_ms", 400}}},
      {"intents", {{"wait_ms", 800}}}};
  if (!Extra.is_null())
    Document.merge_patch(Extra);
  return check(Document);
}

std::unique_ptr<Router> RouterTest::startRouter(int Number,
                                                nlohmann::json Extra) {
  auto Result =
      std::make_unique<Router>(settingsOf(Number, Extra), identityOf(Number));
  Result->start();
  // The service answers once the router has read the state and the endpoint
  // list.
  EXPECT_TRUE(eventually([&] {
    const auto Answer =
        send({"GET", "/services/board/warm-up", {}, ""}, Number);
    const auto *Whole = std::get_if<http::Response>(&Answer);
    return Whole && Whole->m_Status == 200;
  }));
  m_Service.m_Executions = 0;
  return Result;
}

std::future<http::SendResult> RouterTest::sendLater(http::Request Message,
                                                    int Router) {
  http::ClientOptions Options;
  Options.m_ReadTimeout = WaitTimeout;
  return boost::asio::co_spawn(
      m_Loop.context(),
      m_Client.send(routerAt(Router), std::move(Message), Options),
      boost::asio::use_future);
}

http::SendResult RouterTest::send(http::Request Message, int Router) {
  return sendLater(std::move(Message), Router).get();
}

http::Response RouterTest::get(http::Request Message, int Router) {
  const auto Result = send(std::move(Message), Router);
  const auto *Answer = std::get_if<http::Response>(&Result);
  EXPECT_TRUE(Answer);
  return Answer ? *Answer : http::Response{0, {}, "null"};
}

http::Request RouterTest::completion(const std::string &Prompt, bool Stream) {
  nlohmann::json Body = {{"model", "m"}, {"prompt", Prompt}};
  if (Stream)
    Body["stream"] = true;
  return {"POST", "/v1/completions", {}, Body.dump()};
}

http::Request RouterTest::call(const std::string &Key,
                               const std::string &Body) {
  return {"POST", "/services/svc/reserve", {{"Idempotency-Key", Key}}, Body};
}

nlohmann::json RouterTest::problemOf(const http::Response &Answer) {
  auto Body = nlohmann::json::parse(Answer.m_Body, nullptr, false);
  return Body.is_object() ? Body : nlohmann::json::object();
}

bool RouterTest::eventually(const std::function<bool()> &Condition) {
  constexpr milliseconds Step{5};
  const auto Limit = std::chrono::steady_clock::now() + WaitTimeout;
  while (std::chrono::steady_clock::now() < Limit) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(Step);
  }
  return false;
}

} // namespace sff::router::testing
