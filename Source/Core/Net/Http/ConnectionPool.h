#pragma once

#include "Net/Http/Client.h"
#include "Net/Http/Connection.h"

#include <map>
#include <memory>
#include <variant>
#include <vector>

namespace sff::http {

TransportFailure makeFailure(FailureStage Stage,
                             boost::system::error_code Error);

/// The connections of a client to all addresses.
/// Thread safety: use from the client's executor only.
class ConnectionPool {
public:
  explicit ConnectionPool(boost::asio::any_io_executor Executor)
      : m_Executor(std::move(Executor)) {}

  using AcquireResult =
      std::variant<std::shared_ptr<Connection>, TransportFailure>;

  /// Returns an idle connection to \p Remote, or else establishes one.
  boost::asio::awaitable<AcquireResult> acquire(Address Remote,
                                                ClientOptions Options);
  /// Keeps a connection for later calls.
  /// Precondition: no call uses it any more.
  void release(const Address &Remote,
               std::shared_ptr<Connection> ActiveConnection);
  /// As Client::hasOpenConnection().
  bool hasOpenConnection(const Address &Remote, Instant Before) const;
  /// As Client::dropIdle().
  void dropIdle(const Address &Remote) { m_Idle.erase(Remote); }
  /// As Client::closeIdle().
  void closeIdle(milliseconds MaxIdle);

private:
  static constexpr std::size_t MaxIdlePerAddress = 32;

  std::shared_ptr<Connection> popIdle(const Address &Remote,
                                      milliseconds MaxIdle);

  boost::asio::any_io_executor m_Executor;
  std::map<Address, std::vector<std::shared_ptr<Connection>>> m_Idle;
  /// The connections in use and the idle ones.
  std::map<Address, std::vector<std::weak_ptr<Connection>>> m_All;
};

} // namespace sff::http
