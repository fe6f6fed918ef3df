#pragma once

#include "StandIns/Support/StandIn.h"

#include <map>

namespace sff::standin {

/// The platform's host list. A change shows after a lag, which the fault
/// lag_ms can alter.
/// Thread safety: use from the io_context's thread.
class HostService {
public:
  /// \p Initial is a JSON list of hosts and shows at once.
  HostService(boost::asio::io_context &Context, milliseconds Lag,
              const nlohmann::json &Initial);

  void listen(const http::Address &Local) { m_Base.listen(Local); }

private:
  boost::asio::awaitable<Answer> change(Call &Incoming);
  boost::asio::awaitable<Answer> list(Call &Incoming);
  nlohmann::json describe() const;
  /// Merges the given members into each named host, or adds the host.
  void apply(const nlohmann::json &Hosts);

  StandIn m_Base;
  std::map<std::string, nlohmann::json> m_Hosts;
};

} // namespace sff::standin
