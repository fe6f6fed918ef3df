#include "Router/EndpointCall.h"

namespace sff::router {

namespace {

// Pieces that a slow caller may leave unread before the endpoint is slowed.
constexpr std::size_t MaxUnreadEvents = 64;
constexpr milliseconds FullPause{5};

} // namespace

std::shared_ptr<EndpointCall> EndpointCall::start(FrontState &State,
                                                  http::Address Where,
                                                  http::Request Message,
                                                  http::ClientOptions Options) {
  std::shared_ptr<EndpointCall> Result(new EndpointCall(State));
  boost::asio::co_spawn(
      State.m_Http.context(),
      Result->run(std::move(Where), std::move(Message), Options),
      boost::asio::detached);
  return Result;
}

boost::asio::awaitable<std::optional<CallEvent>>
EndpointCall::next(milliseconds Limit) {
  return m_Events->wait(Limit);
}

void EndpointCall::abandon() {
  m_Abandoned = true;
  if (m_Stream)
    m_Stream->close();
}

boost::asio::awaitable<void> EndpointCall::run(http::Address Where,
                                               http::Request Message,
                                               http::ClientOptions Options) {
  auto Self = shared_from_this();
  http::OpenResult Opened = co_await m_State.m_Client.open(
      std::move(Where), std::move(Message), Options);
  if (auto *Failure = std::get_if<http::TransportFailure>(&Opened)) {
    m_Events->put(std::move(*Failure));
    co_return;
  }
  m_Stream = std::get<std::shared_ptr<http::ResponseStream>>(Opened);
  if (m_Abandoned) {
    m_Stream->close();
    co_return;
  }
  m_Events->put(m_Stream->head());
  while (!m_Abandoned) {
    auto Next = co_await m_Stream->read();
    if (auto *Failure = std::get_if<http::TransportFailure>(&Next)) {
      m_Events->put(std::move(*Failure));
      co_return;
    }
    auto &Piece = std::get<std::string>(Next);
    if (Piece.empty()) {
      m_Events->put(CallEnd{});
      co_return;
    }
    m_Events->put(std::move(Piece));
    while (!m_Abandoned && m_Events->size() > MaxUnreadEvents)
      co_await pause(m_State, FullPause);
  }
}

} // namespace sff::router
