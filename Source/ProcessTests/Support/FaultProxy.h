#pragma once

#include "Net/Http/Message.h"
#include "Net/Timers/EventLoop.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <list>
#include <memory>

namespace sff::test {

/// TCP proxy that can close, refuse or silence connections. A silent connection
/// stays open but forwards nothing in either direction.
/// Thread safety: use from one thread.
class FaultProxy {
public:
  enum class Mode {
    Pass,
    Refuse, ///< The listening socket is closed.
    Silent, ///< Connections are accepted but forward nothing.
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

private:
  using Tcp = boost::asio::ip::tcp;
  struct ProxiedConnection;

  void listen();
  /// Runs \p Work on the proxy's thread and waits for its completion.
  void runOnProxyThread(std::function<void()> Work);
  boost::asio::awaitable<void> acceptLoop();
  boost::asio::awaitable<void>
  openConnection(std::shared_ptr<ProxiedConnection> Opened);
  static boost::asio::awaitable<void>
  forward(std::shared_ptr<ProxiedConnection> Owner, Tcp::socket &From,
          Tcp::socket &To);

  Tcp::endpoint m_Local;
  Tcp::endpoint m_Remote;
  Mode m_NewConnections = Mode::Pass;
  std::list<std::weak_ptr<ProxiedConnection>> m_MaxConnections;
  timers::EventLoop m_Loop{"cut-proxy", 16};
  Tcp::acceptor m_Acceptor{m_Loop.context()};
};

} // namespace sff::test
