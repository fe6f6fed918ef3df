#include "Router/EndpointApi.h"

namespace sff::router {

namespace {

constexpr milliseconds CancelRetryPause{500};
constexpr milliseconds CancelCheckPause{20};
constexpr int MaxCancelChecks = 50;

http::ClientOptions probeOptions(const FrontState &State) {
  http::ClientOptions Options;
  Options.m_ConnectTimeout = State.m_Options.m_ProbeTimeout;
  Options.m_WriteTimeout = State.m_Options.m_ProbeTimeout;
  Options.m_ReadTimeout = State.m_Options.m_ProbeTimeout;
  Options.m_FreshConnection = true;
  return Options;
}

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

/// True when the answer to a cancel request names attempts that still run.
bool stillCancels(const http::Response &Answer) {
  const auto Body = nlohmann::json::parse(Answer.m_Body, nullptr, false);
  const auto Count = Body.is_object() ? Body.find("cancelled") : Body.end();
  return !isSuccess(Answer.m_Status) ||
         (Body.is_object() && Count != Body.end() && Count->is_number() &&
          Count->get<std::int64_t>() > 0);
}

boost::asio::awaitable<bool> isGone(FrontState &State, EndpointId Endpoint) {
  Decisions &Peers = State.m_Decisions;
  std::function<void(std::function<void(bool)>)> Look =
      [&Peers, Endpoint](const std::function<void(bool)> &Done) {
        Done(Peers.view().isGone(Endpoint));
      };
  const auto Gone = co_await queryDecisions<bool>(State, std::move(Look));
  co_return Gone.value_or(false);
}

} // namespace

boost::asio::awaitable<bool> probe(FrontState &State, http::Address Where) {
  http::Request Message;
  Message.m_Target = "/livez";
  const auto Result = co_await State.m_Client.send(
      std::move(Where), std::move(Message), probeOptions(State));
  const auto *Answer = std::get_if<http::Response>(&Result);
  co_return Answer &&isSuccess(Answer->m_Status);
}

boost::asio::awaitable<bool> cancel(FrontState &State, http::Address Where,
                                    RequestId Request) {
  constexpr int NotFound = 404;
  // An engine confirms that it has marked the request; its memory is free once
  // the request is no longer known as running.
  for (int Try = 0; Try < MaxCancelChecks; ++Try) {
    http::Request Message;
    Message.m_Method = "POST";
    Message.m_Target = "/v1/requests/" + Request.str() + "/cancel";
    const auto Result = co_await State.m_Client.send(Where, std::move(Message),
                                                     probeOptions(State));
    const auto *Answer = std::get_if<http::Response>(&Result);
    if (!Answer)
      co_return false;
    if (Answer->m_Status == NotFound || !stillCancels(*Answer))
      co_return true;
    co_await pause(State, CancelCheckPause);
  }
  co_return false;
}

boost::asio::awaitable<bool> runsAt(FrontState &State, http::Address Where,
                                    RequestId Request) {
  http::Request Message;
  Message.m_Target = "/control/inventory";
  const auto Result = co_await State.m_Client.send(
      std::move(Where), std::move(Message), probeOptions(State));
  const auto *Answer = std::get_if<http::Response>(&Result);
  co_return Answer &&isSuccess(Answer->m_Status) &&
      Answer->m_Body.find('"' + Request.str() + '"') != std::string::npos;
}

http::Request makeResume(const Placement &Used, std::int64_t Tokens) {
  http::Request Message;
  Message.m_Method = "POST";
  Message.m_Target = "/v1/requests/" + Used.m_Request.str() +
                     "/resume?from_token=" + std::to_string(Tokens);
  addIds(Message.m_Headers, Used);
  return Message;
}

void addIds(http::Headers &Headers, const Placement &Used) {
  Headers.set("X-Request-Id", Used.m_Request.str());
  Headers.set("X-Attempt-Id", Used.m_Attempt.str());
}

bool echoesIds(const http::Headers &Headers, const Placement &Used,
               bool Required) {
  const auto Request = Headers.find("X-Request-Id");
  const auto Attempt = Headers.find("X-Attempt-Id");
  if ((!Request || !Attempt) && Required)
    return false;
  return (!Request || *Request == Used.m_Request.str()) &&
         (!Attempt || *Attempt == Used.m_Attempt.str());
}

boost::asio::awaitable<void> finish(FrontState &State, Placement Used,
                                    AttemptReport Report) {
  Decisions &Peers = State.m_Decisions;
  timers::DutyLoop::Task Work = [&Peers, Used, Report] {
    Peers.broker().finish(Used, Report);
  };
  co_await postToDecisions(State, std::move(Work));
}

namespace {

boost::asio::awaitable<void> releaseWhenStopped(FrontState &State,
                                                Placement Used) {
  const auto Where = http::Address::parse(Used.m_Address);
  AttemptReport Report;
  while (Where) {
    if (co_await cancel(State, *Where, Used.m_Request))
      break;
    if (co_await isGone(State, Used.m_Endpoint))
      break;
    // A process that refuses connections has ended, and its memory with it.
    http::Request Message;
    Message.m_Target = "/livez";
    const auto Result = co_await State.m_Client.send(*Where, std::move(Message),
                                                     probeOptions(State));
    const auto *Failure = std::get_if<http::TransportFailure>(&Result);
    Report.m_EndpointDown = Failure && !Failure->m_TimedOut &&
                            Failure->m_Stage == http::FailureStage::Connect;
    if (Report.m_EndpointDown)
      break;
    co_await pause(State, CancelRetryPause);
  }
  co_await finish(State, std::move(Used), Report);
}

} // namespace

void releaseInBackground(FrontState &State, Placement Used) {
  State.m_Open->m_Requests.insert(Used.m_Request);
  ++State.m_Background;
  boost::asio::co_spawn(State.m_Http.context(), releaseWhenStopped(State, Used),
                        [&State, Id = Used.m_Request](std::exception_ptr) {
                          --State.m_Background;
                          State.m_Open->m_Requests.erase(
                              State.m_Open->m_Requests.find(Id));
                        });
}

} // namespace sff::router
