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

/// How far an exchange got before it failed. Only the first two stages prove
/// that the endpoint cannot have seen the request.
enum class FailureStage {
  Connect, ///< No connection; no byte was written.
  NotSent, ///< Connected, but given up before the first byte was written.
  Write,   ///< Some bytes may have left.
  Read,    ///< The request left; the answer did not arrive whole.
};

struct TransportFailure {
  FailureStage m_Stage = FailureStage::Connect;
  bool m_TimedOut = false;
  std::string m_Detail;

  /// True when no byte of the request can have reached the endpoint.
  bool provesNotSent() const {
    return m_Stage == FailureStage::Connect || m_Stage == FailureStage::NotSent;
  }
};

using SendResult = std::variant<Response, TransportFailure>;

/// Ends a call from outside its coroutine.
/// Thread safety: use from the client's executor only.
class CallCanceller {
public:
  /// Closes the connection of the call that runs, if there is one; a call
  /// that begins later fails before it sends anything.
  void cancel();
  bool cancelled() const { return m_Cancelled; }

private:
  friend class Client;
  std::function<void()> m_Close;
  bool m_Cancelled = false;
};

/// Header by which the endpoint names the request that an answer belongs to.
struct EchoCheck {
  std::string m_Header;
  std::string m_Value;
};

struct ClientOptions {
  milliseconds m_ConnectTimeout{1000};
  milliseconds m_WriteTimeout{5000};
  /// Longest silence while waiting for the head or for more of the body.
  milliseconds m_ReadTimeout{10000};
  std::uint64_t m_BodyBytes = 16 * 1024 * 1024;
  /// Idle connections older than this are closed rather than reused, because
  /// a device on the path may have dropped their state.
  milliseconds m_MaxIdle{5000};
  /// Forces a new connection, for requests that may not be repeated.
  bool m_FreshConnection = false;
  /// Answers that name another request are skipped, because they are late
  /// answers to an earlier one.
  std::optional<EchoCheck> m_Echo = std::nullopt;
  std::shared_ptr<CallCanceller> m_Canceller = nullptr;
};

/// The body of an answer that arrives piece by piece.
/// Thread safety: use from the client's executor only.
class ResponseStream {
public:
  virtual ~ResponseStream() = default;
  /// Status and headers; the body is empty.
  virtual const Response &head() const = 0;
  /// Returns the next piece, an empty string at the proper end of the answer,
  /// or a failure when the answer was cut or went silent.
  virtual boost::asio::awaitable<std::variant<std::string, TransportFailure>>
  read() = 0;
  /// Closes the connection, which tells the endpoint to stop.
  virtual void close() = 0;
};

using OpenResult =
    std::variant<std::shared_ptr<ResponseStream>, TransportFailure>;

/// HTTP/1.1 client with a pool of kept-alive connections per address.
/// Thread safety: all calls from the given executor, which must not run
/// handlers concurrently.
class Client {
public:
  explicit Client(boost::asio::any_io_executor Executor);
  ~Client();

  /// Sends a request and reads the whole answer. Never retries.
  boost::asio::awaitable<SendResult> send(Address Remote, Request Message,
                                          ClientOptions Options = {});

  /// Sends a request and returns once the head of the answer has arrived.
  boost::asio::awaitable<OpenResult> open(Address Remote, Request Message,
                                          ClientOptions Options = {});

  /// Drops pooled connections to \p Remote, for example after one went silent.
  void dropIdle(const Address &Remote);
  /// Closes pooled connections that have been idle for \p MaxIdle.
  void closeIdle(milliseconds MaxIdle);

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace sff::http
