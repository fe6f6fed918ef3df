#pragma once

#include "Common/Time/Instant.h"
#include "Net/Http/Message.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace sff::http {

/// Bounds on what one caller may send or hold.
struct ServerLimits {
  std::uint32_t m_HeaderBytes = 16 * 1024;
  std::uint64_t m_BodyBytes = 4 * 1024 * 1024;
  milliseconds m_IdleTimeout{60000}; ///< Between requests of a connection.
  milliseconds m_ReadTimeout{10000}; ///< From header to whole request.
  /// From the first byte to the whole header; m_ReadTimeout where not set.
  std::optional<milliseconds> m_HeaderTimeout = {};
  milliseconds m_WriteTimeout{10000}; ///< For one write of an answer.
  std::size_t m_Connections = 4096;
};

/// The answering side of one request. Exactly one of respond() or
/// beginStream() is called. All methods return false when the caller has gone.
/// Thread safety: use from the server's io_context only.
class Exchange {
public:
  virtual ~Exchange() = default;

  /// Sends a whole answer.
  virtual boost::asio::awaitable<bool> respond(Response Answer) = 0;
  /// Sends status and headers of an answer whose body follows in pieces; the
  /// body of \p Head is ignored. Every answer without a Content-Length is
  /// chunked.
  virtual boost::asio::awaitable<bool> beginStream(Response Head) = 0;
  /// Precondition: beginStream() returned true.
  virtual boost::asio::awaitable<bool> writeChunk(std::string_view Data) = 0;
  /// Ends a chunked answer, so that the caller knows that it is whole.
  virtual boost::asio::awaitable<bool> endStream() = 0;
  /// Closes the connection without ending the answer, so that the caller can
  /// tell a cut answer from a whole one.
  virtual void abort() = 0;
  /// True when the caller has closed the connection.
  virtual bool callerGone() = 0;
  /// Calls \p OnGone once when the caller closes the connection before the
  /// answer has ended. A caller that sends its next request early is not
  /// watched any further.
  virtual void watchCaller(std::function<void()> OnGone) = 0;
  /// True once a status line has been sent.
  virtual bool started() const = 0;
  /// Number of the connection, ascending in the order of acceptance.
  virtual std::uint64_t connectionNumber() const = 0;
};

using Handler =
    std::function<boost::asio::awaitable<void>(Request, Exchange &)>;

/// HTTP/1.1 server. Malformed, oversized and slow requests are answered with a
/// problem document; a handler that throws or answers nothing causes a 500.
/// Thread safety: methods may be called from any thread unless noted.
class Server {
public:
  /// Precondition: \p Context outlives the server.
  Server(boost::asio::io_context &Context, ServerLimits Limits, Handler Handle);
  ~Server();

  /// Binds and listens. Throws boost::system::system_error when the address
  /// cannot be bound. Port 0 picks a free port.
  void listen(const Address &Local);
  std::uint16_t port() const;

  /// Replaces the limits, for connections and requests that begin later.
  /// Call from the server's io_context only.
  void setLimits(const ServerLimits &Limits);
  /// From now on every answer asks the caller to close its connection; new
  /// connections are still accepted.
  void beginDrain();
  /// Closes the listening socket and asks callers to close idle connections;
  /// requests that run are not cut off.
  void stopAccepting();
  /// Requests whose answer has not been sent whole.
  std::size_t activeRequests() const;
  /// Open connections of callers.
  std::size_t connections() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace sff::http
