#include "Net/Http/Server.h"

#include "Common/Logging/Log.h"
#include "Common/Time/Clock.h"
#include "Net/Http/ServerSession.h"
#include "Net/Timers/AsyncCondition.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <list>
#include <utility>

namespace sff::http {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Delay after a failed accept. While the process has no free descriptor, the
/// connection stays in the queue and the next accept would fail at once.
constexpr milliseconds AcceptRetryDelay{20};

} // namespace

std::string_view nameOf(RejectionCause Cause) {
  switch (Cause) {
  case RejectionCause::Memory:
    return "memory";
  case RejectionCause::Stalled:
    return "stalled";
  case RejectionCause::Connections:
    return "connections";
  case RejectionCause::Replaced:
    return "replaced";
  case RejectionCause::HeaderFields:
    return "header";
  case RejectionCause::BodyLimit:
    return "body";
  case RejectionCause::SlowRequest:
    return "slow_request";
  case RejectionCause::SlowReader:
    return "slow_reader";
  }
  return "unknown";
}

class Server::Impl : public std::enable_shared_from_this<Server::Impl> {
public:
  Impl(asio::io_context &Context, ServerLimits Limits, Handler RequestHandler)
      : m_Context(Context), m_Acceptor(Context),
        m_State(std::make_shared<ServerState>()) {
    m_State->m_Limits = Limits;
    m_State->m_RequestHandler = std::move(RequestHandler);
  }

  void listen(const Address &Local) {
    const tcp::endpoint LocalEndpoint(asio::ip::make_address(Local.m_Host),
                                      Local.m_Port);
    m_Acceptor.open(LocalEndpoint.protocol());
    m_Acceptor.set_option(asio::socket_base::reuse_address(true));
    m_Acceptor.bind(LocalEndpoint);
    m_Acceptor.listen();
    m_Port = m_Acceptor.local_endpoint().port();
    asio::co_spawn(m_Context, acceptLoop(shared_from_this()), asio::detached);
  }

  void stopAccepting() {
    m_State->m_Stopping = true;
    asio::post(m_Context, [Self = shared_from_this()] {
      error_code Ignored;
      Self->m_Acceptor.close(Ignored);
      for (const auto &Weak : Self->m_Sessions)
        if (auto LiveSession = Weak.lock())
          LiveSession->closeIfIdle();
    });
  }

  std::uint16_t port() const { return m_Port; }
  std::size_t activeRequests() const { return m_State->m_Active; }
  std::size_t connections() const { return m_State->m_OpenConnections; }
  void setLimits(const ServerLimits &Limits) { m_State->m_Limits = Limits; }
  void setGuards(ServerGuards Guards) { m_State->m_Guards = std::move(Guards); }
  void beginDrain() { m_State->m_Draining = true; }

private:
  static asio::awaitable<void> acceptLoop(std::shared_ptr<Impl> Self) {
    while (!Self->m_State->m_Stopping) {
      error_code Error;
      tcp::socket Socket =
          co_await Self->m_Acceptor.async_accept(redirectTo(Error));
      if (Error == asio::error::operation_aborted)
        break;
      if (Error) {
        Self->logAcceptFailure(Error);
        co_await timers::sleepFor(AcceptRetryDelay);
        continue;
      }
      Self->m_LastAcceptFailed = false;
      if (Self->isAtConnectionLimit() && !Self->replaceConnection()) {
        Self->m_State->m_Guards.report(RejectionCause::Connections);
        continue;
      }
      Self->startSession(std::move(Socket));
    }
  }

  /// Logs the first of several failures in a row.
  void logAcceptFailure(const error_code &Error) {
    if (!std::exchange(m_LastAcceptFailed, true))
      log::warning(log::Category::Http, "http.accept_failed",
                   {{"detail", Error.message()},
                    {"connections", m_State->m_OpenConnections.load()}});
  }

  bool isAtConnectionLimit() const {
    return m_State->m_OpenConnections >= m_State->m_Limits.m_MaxConnections;
  }

  /// Closes the connection that has gone longest without progress, to accept
  /// another one. Those that have not been used for a request come first.
  /// Returns false if there is none.
  bool replaceConnection() {
    if (!m_State->m_Guards.m_ReplacesConnections)
      return false;
    std::shared_ptr<ServerSession> Longest;
    std::pair<bool, Duration> LongestOrder;
    for (const auto &Weak : m_Sessions) {
      const auto Candidate = Weak.lock();
      if (!Candidate)
        continue;
      const auto Stalled = Candidate->stallTime(now());
      if (!Stalled || *Stalled < serving::ClientMemory::StallTime)
        continue;
      const std::pair Order(!Candidate->hasServed(), *Stalled);
      if (!Longest || Order > LongestOrder) {
        Longest = Candidate;
        LongestOrder = Order;
      }
    }
    if (!Longest)
      return false;
    Longest->close();
    m_State->m_Guards.report(RejectionCause::Replaced);
    return true;
  }

  void startSession(tcp::socket Socket) {
    error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    auto LiveSession =
        std::make_shared<ServerSession>(std::move(Socket), m_State);
    m_Sessions.remove_if([](const auto &Weak) { return Weak.expired(); });
    m_Sessions.push_back(LiveSession);
    asio::co_spawn(
        m_Context, [LiveSession]() { return LiveSession->run(); },
        asio::detached);
  }

  asio::io_context &m_Context;
  tcp::acceptor m_Acceptor;
  std::shared_ptr<ServerState> m_State;
  std::list<std::weak_ptr<ServerSession>> m_Sessions;
  std::uint16_t m_Port = 0;
  bool m_LastAcceptFailed = false;
};

Server::Server(asio::io_context &Context, ServerLimits Limits,
               Handler RequestHandler)
    : m_Impl(
          std::make_shared<Impl>(Context, Limits, std::move(RequestHandler))) {}
Server::~Server() { m_Impl->stopAccepting(); }
void Server::listen(const Address &Local) { m_Impl->listen(Local); }
std::uint16_t Server::port() const { return m_Impl->port(); }
void Server::setLimits(const ServerLimits &Limits) {
  m_Impl->setLimits(Limits);
}
void Server::setGuards(ServerGuards Guards) {
  m_Impl->setGuards(std::move(Guards));
}
void Server::beginDrain() { m_Impl->beginDrain(); }
std::size_t Server::connections() const { return m_Impl->connections(); }
void Server::stopAccepting() { m_Impl->stopAccepting(); }

asio::awaitable<void> Server::drain(Instant Deadline) {
  constexpr milliseconds PollInterval{50};
  stopAccepting();
  // Idle connections are closed by a posted handler, and a request that arrives
  // before it runs is served. So no active request is not enough.
  while (std::chrono::steady_clock::now() < Deadline && connections() > 0)
    co_await timers::sleepFor(PollInterval);
}
std::size_t Server::activeRequests() const { return m_Impl->activeRequests(); }

} // namespace sff::http
