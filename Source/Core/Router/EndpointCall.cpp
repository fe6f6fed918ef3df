#include "Router/EndpointCall.h"

namespace sff::router {

namespace {

// Number of unread events above which reading from the endpoint pauses, to
// apply backpressure when the caller is slow.
constexpr std::size_t MaxUnreadEvents = 64;
constexpr milliseconds BackpressurePollPeriod{5};

} // namespace

std::shared_ptr<EndpointCall> EndpointCall::start(FrontEndState &State,
                                                  http::Address Addr,
                                                  http::Request Message,
                                                  http::ClientOptions Options) {
  std::shared_ptr<EndpointCall> Result(new EndpointCall(State));
  boost::asio::co_spawn(
      State.m_Http.context(),
      Result->run(std::move(Addr), std::move(Message), Options),
      boost::asio::detached);
  return Result;
}

boost::asio::awaitable<std::optional<CallEvent>>
EndpointCall::next(milliseconds Limit) {
  return m_Events->wait(Limit);
}

void EndpointCall::closeConnection() {
  m_Closed = true;
  if (m_Stream)
    m_Stream->close();
}

boost::asio::awaitable<void> EndpointCall::run(http::Address Addr,
                                               http::Request Message,
                                               http::ClientOptions Options) {
  auto Self = shared_from_this();
  http::OpenResult Opened = co_await m_State.m_Client.open(
      std::move(Addr), std::move(Message), Options);
  if (auto *Failure = std::get_if<http::TransportFailure>(&Opened)) {
    m_Events->push(std::move(*Failure));
    co_return;
  }
  m_Stream = std::get<std::shared_ptr<http::ResponseStream>>(Opened);
  if (m_Closed) {
    m_Stream->close();
    co_return;
  }
  m_Events->push(m_Stream->head());
  while (!m_Closed) {
    auto Next = co_await m_Stream->read();
    if (auto *Failure = std::get_if<http::TransportFailure>(&Next)) {
      m_Events->push(std::move(*Failure));
      co_return;
    }
    auto &Chunk = std::get<std::string>(Next);
    if (Chunk.empty()) {
      m_Events->push(CallEnd{});
      co_return;
    }
    m_Events->push(std::move(Chunk));
    while (!m_Closed && m_Events->size() > MaxUnreadEvents)
      co_await pause(m_State, BackpressurePollPeriod);
  }
}

} // namespace sff::router
