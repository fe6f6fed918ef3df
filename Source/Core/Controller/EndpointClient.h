#pragma once

#include "Core/Control/OwnedEndpoint.h"
#include "Net/Http/Client.h"
#include "Net/Timers/EventLoop.h"

#include <functional>
#include <optional>

namespace sff::controller {

/// Sends control calls to endpoints and reads the platform's host list. Runs on
/// the endpoint loop and calls the callbacks on the control thread.
/// Thread safety: all calls on the control thread.
class EndpointClient {
public:
  /// Precondition: both loops outlive this object.
  EndpointClient(timers::EventLoop &EndpointLoop,
                 timers::EventLoop &ControlLoop);

  /// Sends an order. After the result Unknown the same order may be sent again.
  void sendOrder(const std::string &Address, control::OrderRequest Order,
                 std::function<void(control::OrderResult)> Done);

  /// Reads the inventory. Passes nothing when the endpoint does not respond.
  void
  readInventory(const std::string &Address,
                std::function<void(std::optional<control::Inventory>)> Done);

  /// Reads the host list. Passes nothing when it has not changed since the last
  /// read or when the platform does not respond.
  void readHosts(
      const std::string &Address,
      std::function<void(std::optional<std::vector<messages::EndpointInfo>>)>
          Done);

private:
  enum class Caching { Off, EntityTag };

  template <typename T>
  void get(const std::string &Address, std::string Target, Caching Mode,
           std::function<void(std::optional<T>)> Done);

  timers::EventLoop &m_EndpointLoop;
  timers::EventLoop &m_ControlLoop;
  http::Client m_Http;
  /// Entity tag of the last host list, for conditional reads. A full list has
  /// about 150 bytes per endpoint, too much to transfer twice a second.
  /// Accessed only on the endpoint loop's thread.
  std::string m_HostListTag;
};

} // namespace sff::controller
