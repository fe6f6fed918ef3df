#pragma once

#include "Common/Time/Instant.h"
#include "Net/Timers/AsyncCondition.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <memory>

namespace sff::http {

using OutgoingMessage =
    boost::beast::http::request<boost::beast::http::string_body>;

/// How far the request of a call has been written.
enum class WriteState { InProgress, Complete, Failed };

/// A connection of a client to an endpoint, which serves one call at a time.
/// Thread safety: use from the client's executor only.
struct Connection {
  explicit Connection(boost::asio::any_io_executor Executor);

  /// Sets the options of the socket.
  /// Precondition: the connection is established.
  void configure();
  /// Returns whether the connection is open and has no data to read.
  bool isUsable();
  /// Writes a request, keeps \p Self alive until then, and sets m_RequestWrite.
  static boost::asio::awaitable<boost::system::error_code>
  write(std::shared_ptr<Connection> Self,
        std::shared_ptr<OutgoingMessage> Message);
  /// Waits up to \p Timeout for the end of the write, if it is in progress.
  /// Returns the state of the write.
  boost::asio::awaitable<WriteState> waitForWrite(milliseconds Timeout);

  boost::beast::tcp_stream m_Stream;
  boost::beast::flat_buffer m_Buffer;
  Instant m_OpenedAt; ///< When it was established.
  Instant m_IdleSince;
  /// Keep-alive timeout that the endpoint announced.
  milliseconds m_KeepAlive = milliseconds::max();
  bool m_Reused = false;
  /// Number of calls completed on this connection. Lets a late cancellation of
  /// a completed call leave the connection open for the next call.
  std::uint64_t m_CompletedCalls = 0;
  WriteState m_RequestWrite = WriteState::Complete;
  /// The error that isUsable() has met, if any. The kernel reports a reset only
  /// once; a later read sees an orderly end.
  boost::system::error_code m_Fault;

private:
  timers::AsyncCondition m_WriteEnded;
};

} // namespace sff::http
