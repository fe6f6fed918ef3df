#pragma once

#include "Fakes.h"
#include "PortBlock.h"

#include "Net/Http/Client.h"
#include "Router/Router.h"

#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>

#include <future>

namespace sff::router::testing {

// No process listens on the discard port.
inline constexpr const char *UnusedAddress = "127.0.0.1:9";

/// Fixture with a fake relay, a fake controller, two engines that hold slots of
/// the entry "m", and a plain service behind the entries "svc", whose calls
/// must not be repeated, and "board".
class RouterTest : public ::testing::Test {
protected:
  RouterTest();
  ~RouterTest() override;

  /// Starts a router with additional settings and waits until it is ready.
  std::unique_ptr<Router> startRouter(int Number = 0,
                                      nlohmann::json Extra = {});
  settings::Settings settingsOf(int Number, const nlohmann::json &Extra) const;
  static log::ProcessIdentity identityOf(int Number);
  void publish(const std::string &Name, catalogue::EntrySpec Spec);
  messages::EndpointInfo infoOf(const std::string &Name,
                                const FakeEndpoint &Endpoint) const;

  std::string addressAt(int Index) const;
  http::Address routerAt(int Number) const;
  http::SendResult send(http::Request Message, int Router = 0);
  std::future<http::SendResult> sendLater(http::Request Message,
                                          int Router = 0);
  /// Sends a request and expects a response.
  http::Response get(http::Request Message, int Router = 0);
  static http::Request completion(const std::string &Prompt,
                                  bool Stream = false);
  static http::Request call(const std::string &Key, const std::string &Body);
  static nlohmann::json problemOf(const http::Response &Answer);
  /// Waits for a condition, at most WaitTimeout.
  static bool eventually(const std::function<bool()> &Condition);

  PortBlock m_Ports;
  FakeRelay m_Relay;
  FakeController m_Controller;
  FakeEndpoint m_EngineA;
  FakeEndpoint m_EngineB;
  FakeEndpoint m_Service;
  timers::EventLoop m_Loop{"test-client", 256};
  http::Client m_Client;
  std::map<std::string, Offset> m_Versions;
};

} // namespace sff::router::testing
