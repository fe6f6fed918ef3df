#pragma once

#include "Core/Control/OwnedEndpoint.h"
#include "Net/Http/Client.h"
#include "Net/Timers/DutyLoop.h"

#include <functional>
#include <optional>

namespace sff::controller {

/// Control calls to endpoints and reads of the platform's host list. Runs on
/// its own duty thread and completes on the control thread.
/// Thread safety: calls from the control thread.
class EndpointClient {
public:
  /// Precondition: both loops outlive this object.
  EndpointClient(timers::DutyLoop &Endpoints, timers::DutyLoop &Control);

  /// Sends one order. The same order may be sent again after Unknown.
  void sendOrder(const std::string &Address, control::OrderRequest Order,
                 std::function<void(control::OrderResult)> Done);

  /// Reads the inventory; nothing when the endpoint does not answer.
  void
  readInventory(const std::string &Address,
                std::function<void(std::optional<control::Inventory>)> Done);

  /// Reads the host list; nothing when it has not changed since the last read
  /// or when the platform does not answer.
  void readHosts(
      const std::string &Address,
      std::function<void(std::optional<std::vector<messages::EndpointInfo>>)>
          Done);

private:
  enum class Caching { Off, EntityTag };

  template <typename T>
  void get(const std::string &Address, std::string Target, Caching Mode,
           std::function<void(std::optional<T>)> Done);

  timers::DutyLoop &m_Endpoints;
  timers::DutyLoop &m_Control;
  http::Client m_Http;
  /// Entity tag of the last host list. Used on the endpoints duty only. A full
  /// list is about 150 bytes for each endpoint, too much to read twice a
  /// second.
  std::string m_HostListTag;
};

} // namespace sff::controller
