#pragma once

#include "Common/Codec/Codec.h"
#include "Common/Time/Instant.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sff::peer {

using codec::Bytes;
using codec::ByteView;

/// Sends the reply to one request. May be called once, from any thread. If it
/// is destroyed unused, no reply is sent and the request times out at the peer.
using Reply = std::function<void(Bytes)>;

/// Receives requests on an nng REP socket.
class RequestServer {
public:
  /// Called on an nng thread; must pass the work to another thread and return.
  using Handler = std::function<void(Bytes, Reply)>;

  /// Listens on \p Address ("10.0.0.1:7000") and handles up to
  /// \p MaxConcurrentRequests requests concurrently. Throws std::runtime_error
  /// when the address cannot be bound.
  RequestServer(const std::string &Address, std::size_t MaxConcurrentRequests,
                Handler RequestHandler);
  ~RequestServer();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// Sends requests to one peer over an nng REQ socket.
/// Thread safety: send() from any thread.
class RequestClient {
public:
  /// Receives the reply, or nullopt on timeout or connection failure. Called on
  /// an nng thread; must pass the work to another thread and return.
  using Callback = std::function<void(std::optional<Bytes>)>;

  /// Connects in the background and reconnects automatically.
  explicit RequestClient(const std::string &Address);
  /// Cancels pending requests and waits until their callbacks have returned.
  /// Precondition: not called from a callback.
  ~RequestClient();

  /// Sends one request. After a reconnect, a request may reach the peer twice,
  /// so peers must handle requests idempotently.
  void send(Bytes Message, milliseconds Timeout, Callback Done);

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace sff::peer
