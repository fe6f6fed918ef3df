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

/// Sends the reply to one request. May be called once, from any thread; an
/// unused reply is dropped and the requester times out.
using Reply = std::function<void(Bytes)>;

/// Receives requests on an nng REP socket.
class RequestServer {
public:
  /// Called on a thread of nng; it must hand the work to a duty and return.
  using Handler = std::function<void(Bytes, Reply)>;

  /// Listens on \p Address ("10.0.0.1:7000"). Throws std::runtime_error when
  /// the address cannot be bound. \p Parallel requests may be open at once.
  RequestServer(const std::string &Address, std::size_t Parallel,
                Handler Handle);
  ~RequestServer();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// Sends requests to one peer over an nng REQ socket.
/// Thread safety: send() from any thread.
class RequestClient {
public:
  /// Receives the reply, or nothing on time-out or connection failure. Called
  /// on a thread of nng; it must hand the work to a duty and return.
  using Callback = std::function<void(std::optional<Bytes>)>;

  /// Connects in the background and reconnects by itself.
  explicit RequestClient(const std::string &Address);
  /// Aborts open requests and waits until their callbacks have returned.
  /// Precondition: not called from a callback.
  ~RequestClient();

  /// Sends one request. A request may reach the peer twice after a reconnect,
  /// so peers treat requests as idempotent.
  void send(Bytes Message, milliseconds Timeout, Callback Done);

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace sff::peer
