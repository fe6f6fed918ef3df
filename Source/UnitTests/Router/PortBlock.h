#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace sff::router::testing {

/// Ten consecutive free ports of 127.0.0.1. The last one stays bound as a
/// lock against tests that run at the same time; outgoing connections of
/// other programs may occupy ports as well, so all are tried.
class PortBlock {
public:
  /// Throws std::runtime_error when no block is free.
  PortBlock();

  /// Port \p Index of the block, 0 to 8.
  int at(int Index) const { return m_First + Index; }

private:
  bool tryLock(int First);

  boost::asio::io_context m_Context;
  boost::asio::ip::tcp::acceptor m_Lock{m_Context};
  int m_First = 0;
};

} // namespace sff::router::testing
