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

/// Counts a request of a team for the lifetime of the object.
class ScopedTeamCount {
public:
  ScopedTeamCount(std::shared_ptr<OpenRequests> Open, std::string Team)
      : m_Open(std::move(Open)), m_Team(std::move(Team)) {
    ++m_Open->m_ByTeam[m_Team];
  }
  ~ScopedTeamCount() {
    if (--m_Open->m_ByTeam[m_Team] == 0)
      m_Open->m_ByTeam.erase(m_Team);
  }
  ScopedTeamCount(const ScopedTeamCount &) = delete;
  ScopedTeamCount &operator=(const ScopedTeamCount &) = delete;

private:
  std::shared_ptr<OpenRequests> m_Open;
  std::string m_Team;
};

/// Registers an open request id for the lifetime of the object.
class ScopedRequestId {
public:
  ScopedRequestId(std::shared_ptr<OpenRequests> Open, const RequestId &Id)
      : m_Open(std::move(Open)), m_Place(m_Open->m_Requests.insert(Id)) {}
  ~ScopedRequestId() { m_Open->m_Requests.erase(m_Place); }
  ScopedRequestId(const ScopedRequestId &) = delete;
  ScopedRequestId &operator=(const ScopedRequestId &) = delete;

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
    http::Response Alive = http::makeJsonResponse(200, {{"alive", true}});
    co_await Caller.respond(std::move(Alive));
    co_return;
  }
  if (Path == "/readyz" && Get)
    co_return co_await respondReadiness(Caller);
  if (Path == "/metrics" && Get)
    co_return co_await respondMetrics(Caller);
  if (Path == "/v1/models" && Get)
    co_return co_await respondModels(Caller);
  PlacementRequest Unknown;
  Unknown.m_Id = requestIdOf(Incoming.m_Headers);
  Unknown.m_Arrival = now();
  co_await refuse(Unknown, Reason::UnknownEntry, milliseconds(0),
                  "no such path and method", Caller);
}

FrontEnd::Task<void> FrontEnd::respondReadiness(http::Exchange &Caller) {
  const bool Ready =
      !m_State.m_Draining && m_State.m_RoutingCore.stats().m_RelayReached;
  http::Response Answer = http::makeJsonResponse(
      Ready ? 200 : 503, {{"ready", Ready}, {"draining", m_State.m_Draining}});
  co_await Caller.respond(std::move(Answer));
}

FrontEnd::Task<void> FrontEnd::respondMetrics(http::Exchange &Caller) {
  const RoutingCore::Stats &Stats = m_State.m_RoutingCore.stats();
  RouterMetrics &Metrics = m_State.m_Metrics;
  Metrics.waiting().Set(static_cast<double>(Stats.m_Waiting));
  Metrics.running().Set(static_cast<double>(Stats.m_Running));
  Metrics.logReachable().Set(Stats.m_LogReachable ? 1 : 0);
  Metrics.appliedOffset().Set(static_cast<double>(Stats.m_AppliedOffset));
  co_await Caller.respond(Metrics.answer());
}

FrontEnd::Task<void> FrontEnd::respondModels(http::Exchange &Caller) {
  RoutingCore &Core = m_State.m_RoutingCore;
  std::function<void(std::function<void(nlohmann::json)>)> Start =
      [&Core](const std::function<void(nlohmann::json)> &Done) {
        nlohmann::json List = nlohmann::json::array();
        for (const auto &[Name, Item] : Core.view().state().catalogue())
          if (Item.m_Spec && Item.m_Spec->isLoadable())
            List.push_back({{"id", Name.str()},
                            {"object", "model"},
                            {"owned_by", Item.m_Spec->m_Team}});
        Done(std::move(List));
      };
  auto List =
      co_await queryRoutingCore<nlohmann::json>(m_State, std::move(Start));
  nlohmann::json Body = {{"object", "list"}};
  Body["data"] = List.value_or(nlohmann::json::array());
  http::Response Answer = http::makeJsonResponse(List ? 200 : 503, Body);
  co_await Caller.respond(std::move(Answer));
}

FrontEnd::Task<FrontEnd::EntryLookup> FrontEnd::findEntry(EntryName Name) {
  RoutingCore &Core = m_State.m_RoutingCore;
  std::function<void(std::function<void(EntryLookup)>)> Start =
      [&Core, Name](const std::function<void(EntryLookup)> &Done) {
        EntryLookup Result;
        if (const auto *Found = Core.view().state().findEntry(Name))
          Result.m_Spec = *Found;
        Result.m_CatalogueKnown = Core.view().hasReachedRelay();
        Done(std::move(Result));
      };
  const auto Answer =
      co_await queryRoutingCore<EntryLookup>(m_State, std::move(Start));
  co_return Answer.value_or(EntryLookup());
}

RequestId FrontEnd::makeUniqueId(const http::Headers &Headers) const {
  // Responses and cancellations are matched by request id, so open requests
  // must not share one, whatever their callers sent.
  RequestId Id = requestIdOf(Headers);
  while (m_State.m_Open->m_Requests.contains(Id))
    Id = makeId<RequestId>();
  return Id;
}

FrontEnd::Task<void> FrontEnd::handleCompletion(http::Request Incoming,
                                                http::Exchange &Caller) {
  CallerRequest Request;
  PlacementRequest &Req = Request.m_Placement;
  Req.m_Arrival = now();
  Req.m_Id = makeUniqueId(Incoming.m_Headers);
  const auto Body = parseCompletion(Incoming.m_Body);
  if (const auto *Fault = std::get_if<std::string>(&Body)) {
    co_await refuse(Req, Reason::Malformed, milliseconds(0), *Fault, Caller);
    co_return;
  }
  const auto &Read = std::get<CompletionBody>(Body);
  Req.m_Entry = Read.m_Model;
  Req.m_Prompt = Read.m_Prompt;
  Request.m_Stream = Read.m_Stream;
  Request.m_ForwardedRequest.m_Method = "POST";
  Request.m_ForwardedRequest.m_Target = std::string(Incoming.path());
  Request.m_ForwardedRequest.m_Headers = forwardedHeaders(Incoming.m_Headers);
  Request.m_ForwardedRequest.m_Body = Incoming.m_Body;
  co_await start(std::move(Incoming), std::move(Request), Caller);
}

FrontEnd::Task<void> FrontEnd::handleService(http::Request Incoming,
                                             http::Exchange &Caller) {
  CallerRequest Request;
  PlacementRequest &Req = Request.m_Placement;
  Req.m_Arrival = now();
  Req.m_Id = makeUniqueId(Incoming.m_Headers);
  std::string_view Rest(Incoming.m_Target);
  Rest.remove_prefix(ServicesPrefix.size());
  const auto End = std::min(Rest.find_first_of("/?"), Rest.size());
  Req.m_Entry = EntryName(std::string(Rest.substr(0, End)));
  Rest.remove_prefix(End);
  Request.m_TargetsEngine = false;
  Request.m_IdempotencyKey =
      Incoming.m_Headers.find("Idempotency-Key").value_or("");
  Request.m_ForwardedRequest.m_Method = Incoming.m_Method;
  Request.m_ForwardedRequest.m_Target =
      Rest.starts_with('/') ? std::string(Rest) : "/" + std::string(Rest);
  Request.m_ForwardedRequest.m_Headers = forwardedHeaders(Incoming.m_Headers);
  Request.m_ForwardedRequest.m_Body = Incoming.m_Body;
  co_await start(std::move(Incoming), std::move(Request), Caller);
}

std::optional<std::string>
FrontEnd::fillPlacement(const http::Request &Incoming,
                        PlacementRequest &Req) const {
  const auto Class = trafficClassOf(Incoming.m_Headers, Req.m_Spec);
  const auto Timeout = timeoutOf(Incoming.m_Headers);
  if (const auto *Fault = std::get_if<std::string>(&Class))
    return *Fault;
  if (const auto *Fault = std::get_if<std::string>(&Timeout))
    return *Fault;
  Req.m_Class = std::get<catalogue::TrafficClass>(Class);
  Req.m_KeptRetryTime =
      Incoming.m_Headers.find("X-Kept-Retry-Time").value_or("") == "1";
  const milliseconds Given =
      std::get<std::optional<milliseconds>>(Timeout).value_or(
          Req.m_Spec.m_DefaultDeadline);
  Req.m_Deadline =
      Req.m_Arrival + std::min(Given, m_State.m_Options.m_MaxDeadline);
  Req.m_Fingerprint =
      hashParts({Req.m_Entry.str(), Incoming.m_Target, Incoming.m_Body});
  return std::nullopt;
}

FrontEnd::Task<void> FrontEnd::start(http::Request Incoming,
                                     CallerRequest Request,
                                     http::Exchange &Caller) {
  PlacementRequest &Req = Request.m_Placement;
  const ScopedRequestId Open(m_State.m_Open, Req.m_Id);
  log::request(
      log::Category::Http, "request.received", Req.m_Id.str(),
      Req.m_Entry.str(),
      {{"method", Incoming.m_Method}, {"bytes", Incoming.m_Body.size()}});
  const EntryLookup Lookup = co_await findEntry(Req.m_Entry);
  const auto &Found = Lookup.m_Spec;
  if (!Found && !Lookup.m_CatalogueKnown) {
    co_await refuse(Req, Reason::NoReplica, OverloadRetryAfter,
                    "this host has not read the catalogue yet", Caller);
    co_return;
  }
  if (!Found || Found->isLoadable() != Request.m_TargetsEngine) {
    co_await refuse(Req, Reason::UnknownEntry, milliseconds(0), "", Caller);
    co_return;
  }
  Req.m_Spec = *Found;
  const auto Fault = fillPlacement(Incoming, Req);
  if (Fault) {
    co_await refuse(Req, Reason::Malformed, milliseconds(0), *Fault, Caller);
    co_return;
  }
  Request.m_Repeatable = Request.m_TargetsEngine || Found->m_Repeatable ||
                         isSafeMethod(Incoming.m_Method);
  const std::size_t KeyLength = Request.m_IdempotencyKey.size();
  if (!Request.m_Repeatable && (KeyLength == 0 || KeyLength > MaxKeyLength)) {
    co_await refuse(Req, Reason::Malformed, milliseconds(0),
                    "this call needs an Idempotency-Key of 1 to 256 characters",
                    Caller);
    co_return;
  }
  if (now() >= Req.m_Deadline) {
    co_await refuse(Req, Reason::DeadlineExpired, OverloadRetryAfter, "",
                    Caller);
    co_return;
  }
  co_await runWithinTeamLimit(std::move(Request), Caller);
}

FrontEnd::Task<void> FrontEnd::runWithinTeamLimit(CallerRequest Request,
                                                  http::Exchange &Caller) {
  const std::string Team = Request.m_Placement.m_Spec.m_Team;
  const auto &ByTeam = m_State.m_Open->m_ByTeam;
  const auto OpenOfTeam = ByTeam.find(Team);
  if (OpenOfTeam != ByTeam.end() &&
      OpenOfTeam->second >= m_State.m_Options.m_TeamRequests) {
    co_await refuse(Request.m_Placement, Reason::TeamLimit, TeamRetryAfter, "",
                    Caller);
    co_return;
  }
  const ScopedTeamCount Counted(m_State.m_Open, Team);
  if (Request.m_Repeatable) {
    auto Session =
        std::make_shared<RequestSession>(m_State, std::move(Request), Caller);
    co_await Session->run();
    co_return;
  }
  auto Session = std::make_shared<IntentSession>(m_State, std::move(Request));
  co_await Session->run(Caller);
}

FrontEnd::Task<void> FrontEnd::refuse(const PlacementRequest &Req, Reason Cause,
                                      milliseconds RetryAfter,
                                      std::string Detail,
                                      http::Exchange &Caller) {
  const execution::Outcome Value = execution::NotRun(
      execution::DispatchGuard(), Cause, RetryAfter, std::move(Detail));
  m_State.m_Metrics.onOutcome(Req.m_Class, Value, now() - Req.m_Arrival);
  log::request(log::Category::Admission, "request.refused", Req.m_Id.str(),
               Req.m_Entry.str(), {{"reason", execution::toString(Cause)}});
  http::Response Answer = toResponse(Value, Req.m_Id);
  co_await Caller.respond(std::move(Answer));
}

} // namespace sff::router
