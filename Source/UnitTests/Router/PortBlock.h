#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace sff::router::testing {

/// Ten consecutive free ports of 127.0.0.1. The last one stays bound as a lock
/// against tests that run in parallel. All ports are checked, because other
/// programs may occupy them as well.
class PortBlock {
public:
  /// Throws std::runtime_error if no block is free.
  PortBlock();

  /// Returns port \p Index of the block, 0 to 8.
  int at(int Index) const { return m_First + Index; }

private:
  bool tryLock(int First);

  boost::asio::io_context m_Context;
  boost::asio::ip::tcp::acceptor m_Lock{m_Context};
  int m_First = 0;
};

} // namespace sff::router::testing
