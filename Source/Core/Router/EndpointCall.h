#pragma once

#include "Router/FrontEndState.h"

namespace sff::router {

/// End of the response body, as sent by the endpoint.
struct CallEnd {};

/// Response head, chunk of the body, end of the response, or failure.
using CallEvent =
    std::variant<http::Response, std::string, CallEnd, http::TransportFailure>;

/// An HTTP exchange with an endpoint that runs in its own coroutine. Its
/// session can meanwhile watch the caller, the deadline and the progress of the
/// endpoint.
class EndpointCall : public std::enable_shared_from_this<EndpointCall> {
public:
  /// Precondition: \p State outlives the call.
  static std::shared_ptr<EndpointCall> start(FrontEndState &State,
                                             http::Address Addr,
                                             http::Request Message,
                                             http::ClientOptions Options);

  /// Returns the next event, or nothing after \p Limit.
  boost::asio::awaitable<std::optional<CallEvent>> next(milliseconds Limit);

  /// Closes the connection. Later events are dropped or can be ignored.
  void closeConnection();

private:
  explicit EndpointCall(FrontEndState &State)
      : m_State(State),
        m_Events(std::make_shared<AsyncQueue<CallEvent>>(State.m_Http)) {}

  boost::asio::awaitable<void> run(http::Address Addr, http::Request Message,
                                   http::ClientOptions Options);

  FrontEndState &m_State;
  std::shared_ptr<AsyncQueue<CallEvent>> m_Events;
  std::shared_ptr<http::ResponseStream> m_Stream;
  bool m_Closed = false;
};

} // namespace sff::router
