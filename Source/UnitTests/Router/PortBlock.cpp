#include "PortBlock.h"

#include <stdexcept>

#include <unistd.h>

namespace sff::router::testing {

namespace {

using boost::asio::ip::tcp;

/// Below the ports that the kernel gives to outgoing connections, which could
/// take a port between its check and its use, and beside those of the process
/// tests.
constexpr int FirstPort = 31000;
constexpr int PortsPerBlock = 10;
constexpr int Blocks = 99;
constexpr int LockIndex = PortsPerBlock - 1;

bool bindTo(tcp::acceptor &Acceptor, int Port, bool Reuse) {
  boost::system::error_code Error;
  const tcp::endpoint Where(boost::asio::ip::address_v4::loopback(),
                            static_cast<std::uint16_t>(Port));
  Acceptor.open(Where.protocol(), Error);
  // Connections of an earlier test may still linger on the port.
  Acceptor.set_option(tcp::acceptor::reuse_address(Reuse), Error);
  Acceptor.bind(Where, Error);
  if (!Error)
    Acceptor.listen(tcp::acceptor::max_listen_connections, Error);
  return !Error;
}

} // namespace

PortBlock::PortBlock() {
  // Start at a block derived from the process id, so that parallel tests try
  // different blocks first.
  for (int Try = 0; Try < Blocks; ++Try)
    if (tryLock(FirstPort + (getpid() + Try) % Blocks * PortsPerBlock))
      return;
  throw std::runtime_error("no free block of ports");
}

bool PortBlock::tryLock(int First) {
  tcp::acceptor Lock(m_Context);
  if (!bindTo(Lock, First + LockIndex, false))
    return false;
  for (int Index = 0; Index < LockIndex; ++Index) {
    tcp::acceptor Probe(m_Context);
    if (!bindTo(Probe, First + Index, true))
      return false;
  }
  m_Lock = std::move(Lock);
  m_First = First;
  return true;
}

} // namespace sff::router::testing
