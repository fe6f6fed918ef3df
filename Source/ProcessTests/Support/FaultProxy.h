#pragma once

#include "Net/Http/Message.h"
#include "Net/Timers/EventLoop.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <list>
#include <memory>

namespace sff::test {

/// TCP proxy that can close, refuse, silence or leave unanswered connections. A
/// silent connection stays open but forwards nothing in either direction.
/// Thread safety: use from one thread.
class FaultProxy {
public:
  enum class Mode {
    Pass,
    Refuse, ///< The listening socket is closed.
    Silent, ///< Connections are accepted but forward nothing.
    Hang,   ///< Connection attempts get no answer, as on a cut network path.
  };

  /// Listens on \p Local and forwards connections to \p Remote.
  FaultProxy(const http::Address &Local, const http::Address &Remote);
  ~FaultProxy();

  /// Sets how connections accepted from now on are handled.
  void setNewConnections(Mode Next);
  /// Silences existing connections or resumes forwarding.
  void setExistingStalled(bool Silent);
  /// Closes existing connections.
  void closeExisting();
  /// Returns the number of bytes forwarded from callers to the server.
  /// Thread safety: any thread.
  std::uint64_t bytesToServer() const { return m_BytesToServer; }

private:
  using Tcp = boost::asio::ip::tcp;
  struct ProxiedConnection;

  void listen();
  /// Fills the backlog of the listening socket, which accepts no more
  /// connections. The kernel then drops further connection attempts.
  void fillBacklog();
  /// Runs \p Work on the proxy's thread and waits for its completion.
  void runOnProxyThread(std::function<void()> Work);
  boost::asio::awaitable<void> acceptLoop();
  boost::asio::awaitable<void>
  openConnection(std::shared_ptr<ProxiedConnection> Opened);
  /// Forwards until the connection ends and adds the bytes to \p ByteCount.
  static boost::asio::awaitable<void>
  forward(std::shared_ptr<ProxiedConnection> Owner, Tcp::socket &From,
          Tcp::socket &To, std::atomic<std::uint64_t> &ByteCount);

  Tcp::endpoint m_Local;
  Tcp::endpoint m_Remote;
  Mode m_NewConnections = Mode::Pass;
  std::list<std::weak_ptr<ProxiedConnection>> m_MaxConnections;
  timers::EventLoop m_Loop{"cut-proxy", 16};
  Tcp::acceptor m_Acceptor{m_Loop.context()};
  bool m_IsAccepting = false;
  /// Connections of the proxy to itself that fill the backlog.
  std::list<Tcp::socket> m_BacklogFillers;
  std::atomic<std::uint64_t> m_BytesToServer{0};
  std::atomic<std::uint64_t> m_BytesToCallers{0};
};

} // namespace sff::test
