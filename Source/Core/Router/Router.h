#pragma once

#include "Router/FrontEnd.h"

namespace sff::router {

/// The router process: one event loop for HTTP and sessions, and one for peers
/// and routing decisions.
/// Thread safety: all methods from the owning thread.
class Router {
public:
  Router(const settings::Settings &Values,
         const log::ProcessIdentity &Identity);
  ~Router();

  /// Starts to follow the cluster and to listen. Throws std::exception if an
  /// address cannot be bound.
  void start();

  /// Stops gracefully: reports not ready at /readyz, closes the listening
  /// socket after the drain delay, finishes all requests and returns unused
  /// credits.
  void stop();

  std::uint16_t port() const { return m_Server.port(); }

private:
  void runOnHttpLoop(std::function<void()> Work);
  std::int64_t backgroundTasks();
  void finishRequests();
  void returnCredits();

  settings::Settings m_Settings;
  timers::EventLoop m_Http;
  RoutingCore m_RoutingCore;
  FrontEndState m_State;
  FrontEnd m_FrontEnd;
  http::Server m_Server;
  bool m_Stopped = false;
};

} // namespace sff::router
