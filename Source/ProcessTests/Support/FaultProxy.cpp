#include "ProcessTests/Support/FaultProxy.h"

#include "StandIns/Support/RateLimiter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <future>

namespace sff::test {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr milliseconds SilencePollPeriod{10};
constexpr std::size_t ForwardBufferBytes = 16 * 1024;
/// More than a listening socket with a backlog of 0 queues, which is one.
constexpr int BacklogFillerCount = 4;

asio::ip::tcp::endpoint toEndpoint(const http::Address &Where) {
  return {asio::ip::make_address(Where.m_Host), Where.m_Port};
}

auto redirectTo(error_code &Error) {
  return asio::redirect_error(asio::use_awaitable, Error);
}

} // namespace

struct FaultProxy::ProxiedConnection {
  ProxiedConnection(Tcp::socket Caller, asio::io_context &Context)
      : m_Caller(std::move(Caller)), m_Server(Context) {}

  void close() {
    error_code Ignored;
    m_Caller.close(Ignored);
    m_Server.close(Ignored);
  }

  Tcp::socket m_Caller;
  Tcp::socket m_Server;
  bool m_Silent = false;
};

FaultProxy::FaultProxy(const http::Address &Local, const http::Address &Remote)
    : m_Local(toEndpoint(Local)), m_Remote(toEndpoint(Remote)) {
  runOnProxyThread([this] { listen(); });
}

FaultProxy::~FaultProxy() { m_Loop.stop(); }

void FaultProxy::runOnProxyThread(std::function<void()> Work) {
  std::promise<void> Done;
  m_Loop.tryPost([&] {
    Work();
    Done.set_value();
  });
  Done.get_future().wait();
}

void FaultProxy::listen() {
  if (!m_Acceptor.is_open())
    m_Acceptor = Tcp::acceptor(m_Loop.context(), m_Local);
  m_Acceptor.listen();
  if (!m_IsAccepting)
    asio::co_spawn(m_Loop.context(), acceptLoop(), asio::detached);
  m_IsAccepting = true;
}

void FaultProxy::fillBacklog() {
  listen();
  m_Acceptor.cancel();
  m_Acceptor.listen(0);
  for (int Count = 0; Count < BacklogFillerCount; ++Count)
    m_BacklogFillers.emplace_back(m_Loop.context())
        .async_connect(m_Local, asio::detached);
}

void FaultProxy::setNewConnections(Mode Next) {
  runOnProxyThread([this, Next] {
    m_NewConnections = Next;
    m_BacklogFillers.clear();
    if (Next == Mode::Refuse)
      m_Acceptor.close();
    else if (Next == Mode::Hang)
      fillBacklog();
    else
      listen();
  });
}

void FaultProxy::setExistingStalled(bool Silent) {
  runOnProxyThread([this, Silent] {
    for (const auto &Weak : m_MaxConnections)
      if (const auto Live = Weak.lock())
        Live->m_Silent = Silent;
  });
}

void FaultProxy::closeExisting() {
  runOnProxyThread([this] {
    for (const auto &Weak : m_MaxConnections)
      if (const auto Live = Weak.lock())
        Live->close();
    m_MaxConnections.clear();
  });
}

asio::awaitable<void> FaultProxy::acceptLoop() {
  while (m_Acceptor.is_open() && m_NewConnections != Mode::Hang) {
    error_code Error;
    Tcp::socket Caller = co_await m_Acceptor.async_accept(redirectTo(Error));
    if (Error == asio::error::operation_aborted)
      continue;
    if (Error)
      break;
    auto Opened = std::make_shared<ProxiedConnection>(std::move(Caller),
                                                      m_Loop.context());
    Opened->m_Silent =
        m_NewConnections == Mode::Silent || m_NewConnections == Mode::Hang;
    m_MaxConnections.remove_if([](const auto &Weak) { return Weak.expired(); });
    m_MaxConnections.push_back(Opened);
    asio::co_spawn(m_Loop.context(), openConnection(Opened), asio::detached);
  }
  m_IsAccepting = false;
}

asio::awaitable<void>
FaultProxy::openConnection(std::shared_ptr<ProxiedConnection> Opened) {
  error_code Error;
  co_await Opened->m_Server.async_connect(m_Remote, redirectTo(Error));
  if (Error) {
    Opened->close();
    co_return;
  }
  asio::co_spawn(
      m_Loop.context(),
      forward(Opened, Opened->m_Caller, Opened->m_Server, m_BytesToServer),
      asio::detached);
  asio::co_spawn(
      m_Loop.context(),
      forward(Opened, Opened->m_Server, Opened->m_Caller, m_BytesToCallers),
      asio::detached);
}

asio::awaitable<void>
FaultProxy::forward(std::shared_ptr<ProxiedConnection> Owner, Tcp::socket &From,
                    Tcp::socket &To, std::atomic<std::uint64_t> &ByteCount) {
  std::array<char, ForwardBufferBytes> Buffer{};
  error_code Error;
  while (!Error) {
    const std::size_t Read =
        co_await From.async_read_some(asio::buffer(Buffer), redirectTo(Error));
    while (Owner->m_Silent && From.is_open())
      co_await standin::sleepFor(SilencePollPeriod);
    if (!Error)
      ByteCount += co_await asio::async_write(
          To, asio::buffer(Buffer.data(), Read), redirectTo(Error));
  }
  Owner->close();
}

} // namespace sff::test
