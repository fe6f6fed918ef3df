#pragma once

#include "Core/Streaming/EventSplitter.h"
#include "Net/Http/Server.h"
#include "Router/CallerRequest.h"
#include "Router/EndpointCall.h"

namespace sff::router {

/// How an attempt ended.
enum class AttemptEnd {
  Answered, ///< A whole answer is at hand.
  Streamed, ///< The caller has received the whole stream.
  CallerGone,
  Expired, ///< The deadline passed before the answer.
  NotSent, ///< Provably no byte has left.
  Lost,    ///< May have run; the caller has received nothing of it.
  Torn,    ///< The caller has received a part that cannot be completed.
};

/// One dispatch of a repeatable request to an endpoint, with its probes and
/// the resumption of its stream.
/// Thread safety: use on the HTTP loop's thread only.
class Attempt {
public:
  /// Precondition: all references outlive the attempt.
  Attempt(FrontState &State, const CallerRequest &Request,
          const Placement &Used, http::Exchange &Caller);

  boost::asio::awaitable<void> run();

  /// How it ended. Valid after run().
  AttemptEnd end() const { return m_End.value_or(AttemptEnd::Lost); }

  /// Valid after AttemptEnd::Answered.
  const execution::Answered &answer() const { return m_Answer; }
  /// The endpoint failed a probe.
  bool endpointDown() const { return m_EndpointDown; }
  /// The endpoint broke the connection and failed a probe.
  bool endpointCrashed() const { return m_EndpointCrashed; }
  const std::string &detail() const { return m_Detail; }

private:
  template <typename T> using Task = boost::asio::awaitable<T>;

  http::Request makeRequest() const;
  http::ClientOptions makeOptions() const;
  Task<void> onEvent(CallEvent Event);
  void onHead(const http::Response &Head);
  void onPiece(std::string_view Piece);
  Task<void> deliverEvents();
  void endWhole();
  Task<void> endStream();
  void noteFailure(const http::TransportFailure &Failure);
  Task<void> onBrokenConnection();
  Task<void> onQuiet();
  Task<void> onSilence();
  Task<void> onDeadConnection();
  Task<void> checkInventory();
  Task<bool> deliver(streaming::StreamEvent Event);
  Task<bool> resume();
  Task<std::shared_ptr<EndpointCall>> openResumed();
  void lose(std::string Detail);
  bool isStreaming() const { return m_Request.m_Stream && m_Status == 200; }
  bool mayResume() const { return m_Request.m_Stream && m_Request.m_Engine; }

  FrontState &m_State;
  const CallerRequest &m_Request;
  const Placement &m_Used;
  http::Exchange &m_Caller;
  http::Address m_Where;
  std::shared_ptr<EndpointCall> m_Call;
  streaming::EventSplitter m_Events;
  execution::Answered m_Answer;
  std::string m_Detail;
  Instant m_LastProgress;
  /// Set once the attempt has ended.
  std::optional<AttemptEnd> m_End;
  int m_Status = 0;
  int m_IdleResumes = 0;
  bool m_Finished = false; ///< The finish event was delivered.
  bool m_TimedOut = false;
  bool m_EndpointDown = false;
  bool m_EndpointCrashed = false;
};

} // namespace sff::router
