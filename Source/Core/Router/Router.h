#pragma once

#include "Router/FrontEnd.h"

namespace sff::router {

/// The whole router: one duty for HTTP and requests, one for peers and
/// decisions. Thread safety: all methods from the owning thread.
class Router {
public:
  Router(const settings::Settings &Values,
         const log::ProcessIdentity &Identity);
  ~Router();

  /// Follows the cluster and opens the ports. Throws std::exception when an
  /// address cannot be bound.
  void start();

  /// Stops gracefully: /readyz turns to not ready, after the drain delay no
  /// more connections are accepted, all requests are finished and unused
  /// credits returned.
  void stop();

  std::uint16_t port() const { return m_Server.port(); }

private:
  void onHttpLoop(std::function<void()> Work);
  std::int64_t backgroundWork();
  void finishRequests();
  void returnCredits();

  settings::Settings m_Settings;
  timers::DutyLoop m_Http;
  Decisions m_Decisions;
  FrontState m_State;
  FrontEnd m_Front;
  http::Server m_Server;
  bool m_Stopped = false;
};

} // namespace sff::router
