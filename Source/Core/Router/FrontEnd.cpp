#include "Router/FrontEnd.h"

#include "Router/IntentSession.h"
#include "Router/OutcomeResponse.h"
#include "Router/RequestSession.h"

namespace sff::router {

using execution::Reason;

namespace {

constexpr std::string_view ServicesPrefix = "/services/";
constexpr milliseconds OverloadRetryAfter{1000};
constexpr milliseconds TeamRetryAfter{1000};
constexpr std::size_t MaxKeyLength = 256;

bool isCompletion(std::string_view Path) {
  return Path == "/v1/completions" || Path == "/v1/chat/completions";
}

bool isSafeMethod(std::string_view Method) {
  return Method == "GET" || Method == "HEAD";
}

/// Counts a request of a team for the lifetime of a scope.
class TeamCount {
public:
  TeamCount(std::shared_ptr<OpenRequests> Open, std::string Team)
      : m_Open(std::move(Open)), m_Team(std::move(Team)) {
    ++m_Open->m_ByTeam[m_Team];
  }
  ~TeamCount() {
    if (--m_Open->m_ByTeam[m_Team] == 0)
      m_Open->m_ByTeam.erase(m_Team);
  }
  TeamCount(const TeamCount &) = delete;
  TeamCount &operator=(const TeamCount &) = delete;

private:
  std::shared_ptr<OpenRequests> m_Open;
  std::string m_Team;
};

/// Holds a request id for the lifetime of a scope.
class OpenRequest {
public:
  OpenRequest(std::shared_ptr<OpenRequests> Open, const RequestId &Id)
      : m_Open(std::move(Open)), m_Place(m_Open->m_Requests.insert(Id)) {}
  ~OpenRequest() { m_Open->m_Requests.erase(m_Place); }
  OpenRequest(const OpenRequest &) = delete;
  OpenRequest &operator=(const OpenRequest &) = delete;

private:
  std::shared_ptr<OpenRequests> m_Open;
  std::multiset<RequestId>::iterator m_Place;
};

} // namespace

FrontEnd::Task<void> FrontEnd::handle(http::Request Incoming,
                                      http::Exchange &Caller) {
  const std::string Path(Incoming.path());
  if (isCompletion(Path) && Incoming.m_Method == "POST")
    co_return co_await handleCompletion(std::move(Incoming), Caller);
  if (Path.starts_with(ServicesPrefix))
    co_return co_await handleService(std::move(Incoming), Caller);
  const bool Get = Incoming.m_Method == "GET";
  if (Path == "/livez" && Get) {
    http::Response Alive = http::makeJson(200, {{"alive", true}});
    co_await Caller.respond(std::move(Alive));
    co_return;
  }
  if (Path == "/readyz" && Get)
    co_return co_await answerReady(Caller);
  if (Path == "/metrics" && Get)
    co_return co_await answerMetrics(Caller);
  if (Path == "/v1/models" && Get)
    co_return co_await answerModels(Caller);
  PlacementRequest Unknown;
  Unknown.m_Id = requestIdOf(Incoming.m_Headers);
  Unknown.m_Arrival = now();
  co_await refuse(Unknown, Reason::UnknownEntry, milliseconds(0),
                  "no such path and method", Caller);
}

FrontEnd::Task<void> FrontEnd::answerReady(http::Exchange &Caller) {
  const bool Ready =
      !m_State.m_Draining && m_State.m_Decisions.figures().m_Contact;
  http::Response Answer = http::makeJson(
      Ready ? 200 : 503, {{"ready", Ready}, {"draining", m_State.m_Draining}});
  co_await Caller.respond(std::move(Answer));
}

FrontEnd::Task<void> FrontEnd::answerMetrics(http::Exchange &Caller) {
  const Decisions::Figures &Figures = m_State.m_Decisions.figures();
  RouterMetrics &Metrics = m_State.m_Metrics;
  Metrics.waiting().Set(static_cast<double>(Figures.m_Waiting));
  Metrics.running().Set(static_cast<double>(Figures.m_Running));
  Metrics.logReachable().Set(Figures.m_LogReachable ? 1 : 0);
  Metrics.appliedOffset().Set(static_cast<double>(Figures.m_AppliedOffset));
  co_await Caller.respond(Metrics.answer());
}

FrontEnd::Task<void> FrontEnd::answerModels(http::Exchange &Caller) {
  Decisions &Peers = m_State.m_Decisions;
  std::function<void(std::function<void(nlohmann::json)>)> Start =
      [&Peers](const std::function<void(nlohmann::json)> &Done) {
        nlohmann::json List = nlohmann::json::array();
        for (const auto &[Name, Item] : Peers.view().state().catalogue())
          if (Item.m_Spec && Item.m_Spec->isLoadable())
            List.push_back({{"id", Name.str()},
                            {"object", "model"},
                            {"owned_by", Item.m_Spec->m_Team}});
        Done(std::move(List));
      };
  auto List =
      co_await queryDecisions<nlohmann::json>(m_State, std::move(Start));
  nlohmann::json Body = {{"object", "list"}};
  Body["data"] = List.value_or(nlohmann::json::array());
  http::Response Answer = http::makeJson(List ? 200 : 503, Body);
  co_await Caller.respond(std::move(Answer));
}

FrontEnd::Task<FrontEnd::Lookup> FrontEnd::findEntry(EntryName Name) {
  Decisions &Peers = m_State.m_Decisions;
  std::function<void(std::function<void(Lookup)>)> Start =
      [&Peers, Name](const std::function<void(Lookup)> &Done) {
        Lookup Result;
        if (const auto *Found = Peers.view().state().findEntry(Name))
          Result.m_Spec = *Found;
        Result.m_CatalogueKnown = Peers.view().hasContact();
        Done(std::move(Result));
      };
  const auto Answer =
      co_await queryDecisions<Lookup>(m_State, std::move(Start));
  co_return Answer.value_or(Lookup());
}

RequestId FrontEnd::uniqueId(const http::Headers &Headers) const {
  // Answers and cancellations are matched by id, so two open requests never
  // share one, whatever their callers sent.
  RequestId Id = requestIdOf(Headers);
  while (m_State.m_Open->m_Requests.contains(Id))
    Id = makeId<RequestId>();
  return Id;
}

FrontEnd::Task<void> FrontEnd::handleCompletion(http::Request Incoming,
                                                http::Exchange &Caller) {
  CallerRequest Request;
  PlacementRequest &Asked = Request.m_Placement;
  Asked.m_Arrival = now();
  Asked.m_Id = uniqueId(Incoming.m_Headers);
  const auto Body = readCompletion(Incoming.m_Body);
  if (const auto *Fault = std::get_if<std::string>(&Body)) {
    co_await refuse(Asked, Reason::Malformed, milliseconds(0), *Fault, Caller);
    co_return;
  }
  const auto &Read = std::get<CompletionBody>(Body);
  Asked.m_Entry = Read.m_Model;
  Asked.m_Prompt = Read.m_Prompt;
  Request.m_Stream = Read.m_Stream;
  Request.m_Forward.m_Method = "POST";
  Request.m_Forward.m_Target = std::string(Incoming.path());
  Request.m_Forward.m_Headers = forwardedHeaders(Incoming.m_Headers);
  Request.m_Forward.m_Body = Incoming.m_Body;
  co_await start(std::move(Incoming), std::move(Request), Caller);
}

FrontEnd::Task<void> FrontEnd::handleService(http::Request Incoming,
                                             http::Exchange &Caller) {
  CallerRequest Request;
  PlacementRequest &Asked = Request.m_Placement;
  Asked.m_Arrival = now();
  Asked.m_Id = uniqueId(Incoming.m_Headers);
  std::string_view Rest(Incoming.m_Target);
  Rest.remove_prefix(ServicesPrefix.size());
  const auto End = std::min(Rest.find_first_of("/?"), Rest.size());
  Asked.m_Entry = EntryName(std::string(Rest.substr(0, End)));
  Rest.remove_prefix(End);
  Request.m_Engine = false;
  Request.m_IdempotencyKey =
      Incoming.m_Headers.find("Idempotency-Key").value_or("");
  Request.m_Forward.m_Method = Incoming.m_Method;
  Request.m_Forward.m_Target =
      Rest.starts_with('/') ? std::string(Rest) : "/" + std::string(Rest);
  Request.m_Forward.m_Headers = forwardedHeaders(Incoming.m_Headers);
  Request.m_Forward.m_Body = Incoming.m_Body;
  co_await start(std::move(Incoming), std::move(Request), Caller);
}

std::optional<std::string> FrontEnd::fillTicket(const http::Request &Incoming,
                                                PlacementRequest &Asked) const {
  const auto Class = classOf(Incoming.m_Headers, Asked.m_Spec);
  const auto Timeout = timeoutOf(Incoming.m_Headers);
  if (const auto *Fault = std::get_if<std::string>(&Class))
    return *Fault;
  if (const auto *Fault = std::get_if<std::string>(&Timeout))
    return *Fault;
  Asked.m_Class = std::get<catalogue::TrafficClass>(Class);
  Asked.m_KeptRetryTime =
      Incoming.m_Headers.find("X-Kept-Retry-Time").value_or("") == "1";
  const milliseconds Given =
      std::get<std::optional<milliseconds>>(Timeout).value_or(
          Asked.m_Spec.m_DefaultDeadline);
  Asked.m_Deadline =
      Asked.m_Arrival + std::min(Given, m_State.m_Options.m_MaxDeadline);
  Asked.m_Fingerprint =
      hashOf({Asked.m_Entry.str(), Incoming.m_Target, Incoming.m_Body});
  return std::nullopt;
}

FrontEnd::Task<void> FrontEnd::start(http::Request Incoming,
                                     CallerRequest Request,
                                     http::Exchange &Caller) {
  PlacementRequest &Asked = Request.m_Placement;
  const OpenRequest Open(m_State.m_Open, Asked.m_Id);
  log::request(
      log::Category::Http, "request.received", Asked.m_Id.str(),
      Asked.m_Entry.str(),
      {{"method", Incoming.m_Method}, {"bytes", Incoming.m_Body.size()}});
  const Lookup Known = co_await findEntry(Asked.m_Entry);
  const auto &Found = Known.m_Spec;
  if (!Found && !Known.m_CatalogueKnown) {
    co_await refuse(Asked, Reason::NoReplica, OverloadRetryAfter,
                    "this host has not read the catalogue yet", Caller);
    co_return;
  }
  if (!Found || Found->isLoadable() != Request.m_Engine) {
    co_await refuse(Asked, Reason::UnknownEntry, milliseconds(0), "", Caller);
    co_return;
  }
  Asked.m_Spec = *Found;
  const auto Fault = fillTicket(Incoming, Asked);
  if (Fault) {
    co_await refuse(Asked, Reason::Malformed, milliseconds(0), *Fault, Caller);
    co_return;
  }
  Request.m_Repeatable = Request.m_Engine || Found->m_Repeatable ||
                         isSafeMethod(Incoming.m_Method);
  const std::size_t KeyLength = Request.m_IdempotencyKey.size();
  if (!Request.m_Repeatable && (KeyLength == 0 || KeyLength > MaxKeyLength)) {
    co_await refuse(Asked, Reason::Malformed, milliseconds(0),
                    "this call needs an Idempotency-Key of 1 to 256 characters",
                    Caller);
    co_return;
  }
  if (now() >= Asked.m_Deadline) {
    co_await refuse(Asked, Reason::DeadlineExpired, OverloadRetryAfter, "",
                    Caller);
    co_return;
  }
  co_await runCounted(std::move(Request), Caller);
}

FrontEnd::Task<void> FrontEnd::runCounted(CallerRequest Request,
                                          http::Exchange &Caller) {
  const std::string Team = Request.m_Placement.m_Spec.m_Team;
  const auto &ByTeam = m_State.m_Open->m_ByTeam;
  const auto Held = ByTeam.find(Team);
  if (Held != ByTeam.end() &&
      Held->second >= m_State.m_Options.m_TeamRequests) {
    co_await refuse(Request.m_Placement, Reason::TeamLimit, TeamRetryAfter, "",
                    Caller);
    co_return;
  }
  const TeamCount Counted(m_State.m_Open, Team);
  if (Request.m_Repeatable) {
    auto Session =
        std::make_shared<RequestSession>(m_State, std::move(Request), Caller);
    co_await Session->run();
    co_return;
  }
  auto Session = std::make_shared<IntentSession>(m_State, std::move(Request));
  co_await Session->run(Caller);
}

FrontEnd::Task<void> FrontEnd::refuse(const PlacementRequest &Asked, Reason Why,
                                      milliseconds RetryAfter,
                                      std::string Detail,
                                      http::Exchange &Caller) {
  const execution::Outcome Value = execution::NotRun(
      execution::DispatchGuard(), Why, RetryAfter, std::move(Detail));
  m_State.m_Metrics.onOutcome(Asked.m_Class, Value, now() - Asked.m_Arrival);
  log::request(log::Category::Admission, "request.refused", Asked.m_Id.str(),
               Asked.m_Entry.str(), {{"reason", execution::toString(Why)}});
  http::Response Answer = toResponse(Value, Asked.m_Id);
  co_await Caller.respond(std::move(Answer));
}

} // namespace sff::router
