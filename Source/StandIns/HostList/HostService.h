#pragma once

#include "StandIns/Support/StandIn.h"

#include <map>

namespace sff::standin {

/// The platform's host list. A change becomes visible after a delay, which the
/// fault lag_ms overrides.
/// Thread safety: use from the io_context's thread.
class HostService {
public:
  /// \p Initial is a JSON array of hosts that are visible immediately.
  HostService(boost::asio::io_context &Context, milliseconds Lag,
              const nlohmann::json &Initial);

  void listen(const http::Address &Local) { m_StandIn.listen(Local); }

private:
  boost::asio::awaitable<HandlerResult> handleChange(RequestContext &Incoming);
  boost::asio::awaitable<HandlerResult> handleList(RequestContext &Incoming);
  nlohmann::json describe() const;
  /// Merges the given members into each listed host; adds unknown hosts.
  void apply(const nlohmann::json &Hosts);

  StandIn m_StandIn;
  std::map<std::string, nlohmann::json> m_Hosts;
};

} // namespace sff::standin
