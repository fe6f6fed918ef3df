#pragma once

#include "Router/FrontState.h"

namespace sff::router {

/// The answer ended where the endpoint meant it to end.
struct CallEnd {};

/// Head, piece of the body, end or failure of an answer.
using CallEvent =
    std::variant<http::Response, std::string, CallEnd, http::TransportFailure>;

/// One exchange with an endpoint that runs by itself, so that its session can
/// watch the caller, the deadline and the endpoint's silence meanwhile.
class EndpointCall : public std::enable_shared_from_this<EndpointCall> {
public:
  /// Precondition: \p State outlives the call.
  static std::shared_ptr<EndpointCall> start(FrontState &State,
                                             http::Address Where,
                                             http::Request Message,
                                             http::ClientOptions Options);

  /// The next event, or nothing after \p Limit.
  boost::asio::awaitable<std::optional<CallEvent>> next(milliseconds Limit);

  /// Closes the connection; no further events are of interest.
  void abandon();

private:
  explicit EndpointCall(FrontState &State)
      : m_State(State),
        m_Events(std::make_shared<Mailbox<CallEvent>>(State.m_Http)) {}

  boost::asio::awaitable<void> run(http::Address Where, http::Request Message,
                                   http::ClientOptions Options);

  FrontState &m_State;
  std::shared_ptr<Mailbox<CallEvent>> m_Events;
  std::shared_ptr<http::ResponseStream> m_Stream;
  bool m_Abandoned = false;
};

} // namespace sff::router
