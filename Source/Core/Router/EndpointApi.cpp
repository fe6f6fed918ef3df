#include "Router/EndpointApi.h"

#include "Common/Codec/BoundedJson.h"

namespace sff::router {

namespace {

constexpr milliseconds CancelRetryDelay{500};
constexpr milliseconds CancelCheckPeriod{20};
constexpr int MaxCancelChecks = 50;

http::ClientOptions probeOptions(const FrontEndState &State) {
  http::ClientOptions Options;
  Options.m_ConnectTimeout = State.m_Options.m_ProbeTimeout;
  Options.m_WriteTimeout = State.m_Options.m_ProbeTimeout;
  Options.m_ReadTimeout = State.m_Options.m_ProbeTimeout;
  Options.m_ForceNewConnection = true;
  return Options;
}

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

/// True if the response to a cancel request reports attempts that are still
/// running, or an error.
bool hasRunningAttempts(const http::Response &Answer) {
  const auto Body = codec::tryParseBounded(Answer.m_Body);
  const auto Count = Body.is_object() ? Body.find("cancelled") : Body.end();
  return !isSuccess(Answer.m_Status) ||
         (Body.is_object() && Count != Body.end() && Count->is_number() &&
          Count->get<std::int64_t>() > 0);
}

boost::asio::awaitable<bool> isGone(FrontEndState &State, EndpointId Endpoint) {
  RoutingCore &Core = State.m_RoutingCore;
  std::function<void(std::function<void(bool)>)> Look =
      [&Core, Endpoint](const std::function<void(bool)> &Done) {
        Done(Core.view().isGone(Endpoint));
      };
  const auto Gone = co_await queryRoutingCore<bool>(State, std::move(Look));
  co_return Gone.value_or(false);
}

} // namespace

boost::asio::awaitable<bool> probe(FrontEndState &State, http::Address Addr) {
  http::Request Message;
  Message.m_Target = "/livez";
  const auto Result = co_await State.m_Client.send(
      std::move(Addr), std::move(Message), probeOptions(State));
  const auto *Answer = std::get_if<http::Response>(&Result);
  co_return Answer &&isSuccess(Answer->m_Status);
}

boost::asio::awaitable<bool>
cancelRequest(FrontEndState &State, http::Address Addr, RequestId Request) {
  constexpr int NotFound = 404;
  // An engine only confirms that the request is marked as cancelled. Its memory
  // is free once the engine no longer lists the request as running.
  for (int Try = 0; Try < MaxCancelChecks; ++Try) {
    http::Request Message;
    Message.m_Method = "POST";
    Message.m_Target = "/v1/requests/" + Request.str() + "/cancel";
    const auto Result = co_await State.m_Client.send(Addr, std::move(Message),
                                                     probeOptions(State));
    const auto *Answer = std::get_if<http::Response>(&Result);
    if (!Answer)
      co_return false;
    if (Answer->m_Status == NotFound || !hasRunningAttempts(*Answer))
      co_return true;
    co_await pause(State, CancelCheckPeriod);
  }
  co_return false;
}

boost::asio::awaitable<bool>
isRequestRunning(FrontEndState &State, http::Address Addr, RequestId Request) {
  http::Request Message;
  Message.m_Target = "/control/inventory";
  const auto Result = co_await State.m_Client.send(
      std::move(Addr), std::move(Message), probeOptions(State));
  const auto *Answer = std::get_if<http::Response>(&Result);
  co_return Answer &&isSuccess(Answer->m_Status) &&
      Answer->m_Body.find('"' + Request.str() + '"') != std::string::npos;
}

http::Request makeResumeRequest(const Placement &Assigned,
                                std::int64_t Tokens) {
  http::Request Message;
  Message.m_Method = "POST";
  Message.m_Target = "/v1/requests/" + Assigned.m_Request.str() +
                     "/resume?from_token=" + std::to_string(Tokens);
  addAttemptIds(Message.m_Headers, Assigned);
  return Message;
}

void addAttemptIds(http::Headers &Headers, const Placement &Assigned) {
  Headers.set("X-Request-Id", Assigned.m_Request.str());
  Headers.set("X-Attempt-Id", Assigned.m_Attempt.str());
}

bool echoesAttemptIds(const http::Headers &Headers, const Placement &Assigned,
                      bool Required) {
  const auto Request = Headers.find("X-Request-Id");
  const auto Attempt = Headers.find("X-Attempt-Id");
  if ((!Request || !Attempt) && Required)
    return false;
  return (!Request || *Request == Assigned.m_Request.str()) &&
         (!Attempt || *Attempt == Assigned.m_Attempt.str());
}

boost::asio::awaitable<void> finishPlacement(FrontEndState &State,
                                             Placement Assigned,
                                             AttemptReport Report) {
  RoutingCore &Core = State.m_RoutingCore;
  timers::EventLoop::Task Work = [&Core, Assigned, Report] {
    Core.scheduler().finish(Assigned, Report);
  };
  co_await postToRoutingCore(State, std::move(Work));
}

namespace {

boost::asio::awaitable<void> finishWhenStopped(FrontEndState &State,
                                               Placement Assigned) {
  const auto Addr = http::Address::parse(Assigned.m_Address);
  AttemptReport Report;
  while (Addr) {
    if (co_await cancelRequest(State, *Addr, Assigned.m_Request))
      break;
    if (co_await isGone(State, Assigned.m_Endpoint))
      break;
    // If the process refuses connections, it has exited and its memory is free.
    http::Request Message;
    Message.m_Target = "/livez";
    const auto Result = co_await State.m_Client.send(*Addr, std::move(Message),
                                                     probeOptions(State));
    const auto *Failure = std::get_if<http::TransportFailure>(&Result);
    Report.m_EndpointDown = Failure && !Failure->m_TimedOut &&
                            Failure->m_Stage == http::FailureStage::Connect;
    if (Report.m_EndpointDown)
      break;
    co_await pause(State, CancelRetryDelay);
  }
  co_await finishPlacement(State, std::move(Assigned), Report);
}

} // namespace

void finishInBackground(FrontEndState &State, Placement Assigned) {
  State.m_Open->m_Requests.insert(Assigned.m_Request);
  ++State.m_BackgroundTasks;
  boost::asio::co_spawn(
      State.m_Http.context(), finishWhenStopped(State, Assigned),
      [&State, Id = Assigned.m_Request](std::exception_ptr) {
        --State.m_BackgroundTasks;
        State.m_Open->m_Requests.erase(State.m_Open->m_Requests.find(Id));
      });
}

} // namespace sff::router
