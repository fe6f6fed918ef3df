#include "Net/Http/ConnectionPool.h"

#include "Net/Http/RedirectTo.h"

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>

namespace sff::http {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

TransportFailure makeFailure(FailureStage Stage, error_code Error) {
  return {Stage, Error == boost::beast::error::timeout, Error.message()};
}

asio::awaitable<ConnectionPool::AcquireResult>
ConnectionPool::acquire(Address Remote, ClientOptions Options) {
  if (!Options.m_ForceNewConnection)
    if (auto PooledConnection = popIdle(Remote, Options.m_MaxIdleTime))
      co_return PooledConnection;
  auto NewConnection = std::make_shared<Connection>(m_Executor);
  error_code Error;
  NewConnection->m_Stream.expires_after(Options.m_ConnectTimeout);
  const tcp::endpoint RemoteEndpoint(
      asio::ip::make_address(Remote.m_Host, Error), Remote.m_Port);
  if (!Error)
    co_await NewConnection->m_Stream.async_connect(RemoteEndpoint,
                                                   redirectTo(Error));
  if (Error)
    co_return makeFailure(FailureStage::Connect, Error);
  NewConnection->m_OpenedAt = std::chrono::steady_clock::now();
  NewConnection->configure();
  auto &All = m_All[Remote];
  std::erase_if(All, [](const auto &Weak) { return Weak.expired(); });
  All.push_back(NewConnection);
  co_return NewConnection;
}

void ConnectionPool::release(const Address &Remote,
                             std::shared_ptr<Connection> ActiveConnection) {
  ActiveConnection->m_Reused = true;
  ++ActiveConnection->m_CompletedCalls;
  ActiveConnection->m_IdleSince = std::chrono::steady_clock::now();
  auto &Pool = m_Idle[Remote];
  if (Pool.size() < MaxIdlePerAddress)
    Pool.push_back(std::move(ActiveConnection));
}

bool ConnectionPool::hasOpenConnection(const Address &Remote,
                                       Instant Before) const {
  const auto Found = m_All.find(Remote);
  return Found != m_All.end() &&
         std::ranges::any_of(Found->second, [Before](const auto &Weak) {
           const auto Open = Weak.lock();
           return Open && Open->m_OpenedAt < Before && Open->isUsable();
         });
}

void ConnectionPool::closeIdle(milliseconds MaxIdle) {
  const Instant Now = std::chrono::steady_clock::now();
  for (auto &[Remote, Pool] : m_Idle)
    std::erase_if(Pool, [&](const auto &Idle) {
      return Now - Idle->m_IdleSince >= std::min(MaxIdle, Idle->m_KeepAlive);
    });
  std::erase_if(m_Idle, [](const auto &Entry) { return Entry.second.empty(); });
  std::erase_if(m_All, [](const auto &Entry) {
    return std::ranges::all_of(Entry.second,
                               [](const auto &Weak) { return Weak.expired(); });
  });
}

std::shared_ptr<Connection> ConnectionPool::popIdle(const Address &Remote,
                                                    milliseconds MaxIdle) {
  auto &Pool = m_Idle[Remote];
  const Instant Now = std::chrono::steady_clock::now();
  while (!Pool.empty()) {
    auto Candidate = std::move(Pool.back());
    Pool.pop_back();
    const auto IdleLimit = std::min(MaxIdle, Candidate->m_KeepAlive);
    if (Now - Candidate->m_IdleSince < IdleLimit && Candidate->isUsable())
      return Candidate;
  }
  return nullptr;
}

} // namespace sff::http
