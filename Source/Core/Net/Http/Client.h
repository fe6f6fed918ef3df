#pragma once

#include "Common/Time/Instant.h"
#include "Net/Http/Message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace sff::http {

/// Stage at which an HTTP exchange failed. Only the first two stages prove that
/// the endpoint cannot have received the request.
enum class FailureStage {
  Connect, ///< No connection was established; no byte was written.
  NotSent, ///< Connected, but ended before the first byte was written.
  Write,   ///< Part of the request may have been sent.
  Read,    ///< The request was sent; the response is missing or incomplete.
};

struct TransportFailure {
  FailureStage m_Stage = FailureStage::Connect;
  bool m_TimedOut = false;
  std::string m_Detail;

  /// Returns true when no byte of the request can have reached the endpoint.
  bool isKnownNotSent() const {
    return m_Stage == FailureStage::Connect || m_Stage == FailureStage::NotSent;
  }
};

using SendResult = std::variant<Response, TransportFailure>;

/// Cancels a call from outside its coroutine.
/// Thread safety: use from the client's executor only.
class CallCanceller {
public:
  /// Closes the connection of the call in progress, if any. A call that starts
  /// later fails before it sends any data.
  void cancel();
  bool cancelled() const { return m_Cancelled; }

private:
  friend class Client;
  std::function<void()> m_Close;
  bool m_Cancelled = false;
};

/// Response header in which the endpoint echoes the id of the request, and the
/// value expected there.
struct ExpectedEcho {
  std::string m_Header;
  std::string m_Value;
};

struct ClientOptions {
  milliseconds m_ConnectTimeout{1000};
  milliseconds m_WriteTimeout{5000};
  /// Longest wait for the response header, and for each further part of the
  /// body.
  milliseconds m_ReadTimeout{10000};
  std::uint64_t m_MaxBodyBytes = 16 * 1024 * 1024;
  /// Connections that have been idle for longer are closed instead of reused,
  /// because a middlebox on the path may have dropped their state.
  milliseconds m_MaxIdleTime{5000};
  /// Forces a new connection, for requests that must not be retried.
  bool m_ForceNewConnection = false;
  /// Responses that name another request are skipped, because they are late
  /// responses to an earlier request.
  std::optional<ExpectedEcho> m_ExpectedEcho = std::nullopt;
  std::shared_ptr<CallCanceller> m_Canceller = nullptr;
  /// Asked once a connection is established. If it returns false, the call
  /// fails before it sends any data.
  std::function<bool()> m_MaySend = nullptr;
};

/// A response whose body is read incrementally.
/// Thread safety: use from the client's executor only.
class ResponseStream {
public:
  virtual ~ResponseStream() = default;
  /// Returns status and headers; the body is empty.
  virtual const Response &head() const = 0;
  /// Returns the next part of the body, or an empty string at the regular end
  /// of the response, or a failure when the response was truncated or timed
  /// out.
  virtual boost::asio::awaitable<std::variant<std::string, TransportFailure>>
  read() = 0;
  /// Closes the connection, which signals the endpoint to stop.
  virtual void close() = 0;
};

using OpenResult =
    std::variant<std::shared_ptr<ResponseStream>, TransportFailure>;

class ConnectionPool;

/// HTTP/1.1 client with a pool of keep-alive connections per address.
/// Thread safety: all calls from the given executor, which must not run
/// handlers concurrently.
class Client {
public:
  explicit Client(boost::asio::any_io_executor Executor);
  ~Client();

  /// Sends a request and reads the complete response. Never retries. Fails if
  /// the body exceeds m_MaxBodyBytes or takes longer than four times the read
  /// timeout.
  boost::asio::awaitable<SendResult> send(Address Remote, Request Message,
                                          ClientOptions Options = {});

  /// Sends a request and returns once the response header has arrived.
  boost::asio::awaitable<OpenResult> open(Address Remote, Request Message,
                                          ClientOptions Options = {});

  /// Opens a connection and keeps it in the pool for the next call. Returns the
  /// failure when no connection is established within \p Timeout, or when it is
  /// closed at once, as by a process that terminates.
  boost::asio::awaitable<std::optional<TransportFailure>>
  connect(Address Remote, milliseconds Timeout);

  /// Returns whether \p Remote keeps a connection open that was established
  /// before \p Before and has no data to read. A process that has ended keeps
  /// none.
  bool hasOpenConnection(const Address &Remote, Instant Before);
  /// Drops all pooled connections to \p Remote, for example after one of them
  /// became unresponsive.
  void dropIdle(const Address &Remote);
  /// Closes all pooled connections that have been idle for at least \p MaxIdle.
  void closeIdle(milliseconds MaxIdle);

private:
  std::shared_ptr<ConnectionPool> m_Pool;
};

} // namespace sff::http
