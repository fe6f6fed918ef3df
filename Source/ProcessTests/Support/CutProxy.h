#pragma once

#include "Net/Http/Message.h"
#include "Net/Timers/DutyLoop.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <list>
#include <memory>

namespace sff::test {

/// Stands between two addresses and can cut, refuse or silence connections.
/// A silent connection stays open and passes nothing in either direction.
/// Thread safety: use from one thread.
class CutProxy {
public:
  enum class Mode {
    Pass,
    Refuse, ///< Nothing listens.
    Silent, ///< Connections are accepted and pass nothing.
  };

  /// Listens on \p Local and passes connections on to \p Remote.
  CutProxy(const http::Address &Local, const http::Address &Remote);
  ~CutProxy();

  /// Sets what happens to connections that come from now on.
  void setNewConnections(Mode Next);
  /// Silences the connections that exist, or lets them pass again.
  void setExistingSilent(bool Silent);
  /// Closes the connections that exist.
  void cutExisting();

private:
  using Tcp = boost::asio::ip::tcp;
  struct Link;

  void listen();
  /// Runs \p Work on the proxy's thread and waits for it.
  void runInLoop(std::function<void()> Work);
  boost::asio::awaitable<void> acceptLoop();
  boost::asio::awaitable<void> openLink(std::shared_ptr<Link> Opened);
  static boost::asio::awaitable<void> pump(std::shared_ptr<Link> Owner,
                                           Tcp::socket &From, Tcp::socket &To);

  Tcp::endpoint m_Local;
  Tcp::endpoint m_Remote;
  Mode m_NewConnections = Mode::Pass;
  std::list<std::weak_ptr<Link>> m_Links;
  timers::DutyLoop m_Loop{"cut-proxy", 16};
  Tcp::acceptor m_Acceptor{m_Loop.context()};
};

} // namespace sff::test
