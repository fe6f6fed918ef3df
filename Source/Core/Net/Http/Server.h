#pragma once

#include "Common/Time/Instant.h"
#include "Net/Http/Message.h"
#include "Net/Http/ServerGuards.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace sff::http {

/// Limits on the requests and connections of callers.
struct ServerLimits {
  std::uint32_t m_MaxHeaderBytes = 16 * 1024;
  std::uint64_t m_MaxBodyBytes = 4 * 1024 * 1024;
  milliseconds m_IdleTimeout{60000}; ///< Between requests on a connection.
  milliseconds m_ReadTimeout{10000}; ///< From header to complete request.
  /// From first byte to complete header; m_ReadTimeout applies if not set.
  std::optional<milliseconds> m_HeaderTimeout = {};
  milliseconds m_WriteTimeout{10000}; ///< For each write of a response.
  std::size_t m_MaxConnections = 4096;
};

/// Interface to respond to one request. The handler calls exactly one of
/// respond() and beginStream(). The methods that write return false when the
/// caller has disconnected.
/// Thread safety: use from the server's io_context only.
class Exchange {
public:
  virtual ~Exchange() = default;

  /// Sends a complete response. Its body ends with the connection if
  /// m_EndsWithConnection is set.
  virtual boost::asio::awaitable<bool> respond(Response HttpResponse) = 0;
  /// Sends status and headers of a response whose body follows with
  /// writeChunk(). The body of \p ResponseHead is ignored. It ends with the
  /// connection if m_EndsWithConnection is set. Otherwise uses chunked transfer
  /// encoding unless there is a Content-Length header.
  virtual boost::asio::awaitable<bool> beginStream(Response ResponseHead) = 0;
  /// Sends a part of the body. Precondition: beginStream() returned true.
  virtual boost::asio::awaitable<bool> writeChunk(std::string_view Data) = 0;
  /// Ends the response. A chunked response gets its last chunk, by which the
  /// caller recognizes that the response is complete; one that ends with the
  /// connection gets an orderly close.
  virtual boost::asio::awaitable<bool> endStream() = 0;
  /// Closes the connection without ending the response, so that the caller can
  /// distinguish a truncated response from a complete one. Resets it if the
  /// body ends with the connection.
  virtual void abort() = 0;
  /// Returns true when the caller has closed the connection.
  virtual bool isCallerDisconnected() = 0;
  /// Calls \p OnDisconnect once if the caller closes the connection before the
  /// response has ended. If the caller sends its next request before that, a
  /// disconnect is detected some tenths of a second later.
  virtual void onCallerDisconnect(std::function<void()> OnDisconnect) = 0;
  /// Returns true once sending of the status line has begun.
  virtual bool started() const = 0;
  /// Returns the sequence number of the connection, in order of acceptance.
  virtual std::uint64_t connectionNumber() const = 0;
};

using Handler =
    std::function<boost::asio::awaitable<void>(Request, Exchange &)>;

/// HTTP/1.1 server. Responds to malformed, oversized and slow requests with a
/// problem document, and with status 500 if a handler throws or sends no
/// response.
/// Thread safety: methods may be called from any thread unless noted.
class Server {
public:
  /// Precondition: \p Context must outlive the server.
  Server(boost::asio::io_context &Context, ServerLimits Limits,
         Handler RequestHandler);
  ~Server();

  /// Binds and listens. Throws boost::system::system_error when the address
  /// cannot be bound. Port 0 selects a free port.
  void listen(const Address &Local);
  std::uint16_t port() const;

  /// Replaces the limits for connections and requests that start later.
  /// Call from the server's io_context only.
  void setLimits(const ServerLimits &Limits);
  /// Sets how this server protects its process. Call before listen().
  void setGuards(ServerGuards Guards);
  /// Makes every further response ask the caller to close its connection. New
  /// connections are still accepted.
  void beginDrain();
  /// Closes the listening socket and all idle connections. Requests in progress
  /// are completed.
  void stopAccepting();
  /// Calls stopAccepting() and waits until all connections are closed, or until
  /// \p Deadline. Call from the server's io_context only.
  /// Precondition: the server outlives the call.
  boost::asio::awaitable<void> drain(Instant Deadline);
  /// Returns the number of requests whose response is not completely sent.
  std::size_t activeRequests() const;
  /// Returns the number of open connections.
  std::size_t connections() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace sff::http
