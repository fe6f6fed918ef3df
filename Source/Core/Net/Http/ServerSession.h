#pragma once

#include "Net/Http/Framing.h"
#include "Net/Http/RedirectTo.h"
#include "Net/Http/Server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <memory>

namespace sff::http {

using RequestParser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

/// State that the connections of a server share.
struct ServerState {
  ServerLimits m_Limits;
  ServerGuards m_Guards;
  Handler m_RequestHandler;
  /// Used if the guards name no memory.
  serving::ClientMemory m_Unlimited{0};
  std::atomic<bool> m_Stopping{false};
  std::atomic<bool> m_Draining{false};
  std::atomic<std::size_t> m_OpenConnections{0};
  std::atomic<std::size_t> m_Active{0};
  std::atomic<std::uint64_t> m_Accepted{0};

  serving::ClientMemory &memory() {
    return m_Guards.m_Memory ? *m_Guards.m_Memory : m_Unlimited;
  }
};

/// Increments a counter for the lifetime of this object.
class ScopedCounter {
public:
  explicit ScopedCounter(std::atomic<std::size_t> &Counter)
      : m_Counter(Counter) {
    ++m_Counter;
  }
  ~ScopedCounter() { --m_Counter; }
  ScopedCounter(const ScopedCounter &) = delete;
  ScopedCounter &operator=(const ScopedCounter &) = delete;

private:
  std::atomic<std::size_t> &m_Counter;
};

/// One client connection. Its coroutines hold a shared pointer to it until they
/// finish.
/// Thread safety: use from the server's io_context only.
class ServerSession : public std::enable_shared_from_this<ServerSession>,
                      public Exchange {
public:
  ServerSession(boost::asio::ip::tcp::socket Socket,
                std::shared_ptr<ServerState> State);

  boost::asio::awaitable<void> run();

  /// Closes the connection if no request is in progress on it and none has
  /// arrived.
  void closeIfIdle();
  /// Returns for how long the client has made too little progress; nothing
  /// while the server has to act or the connection is closed.
  std::optional<Duration> stallTime(Instant Now) const;
  /// Whether a request has been answered on this connection.
  bool hasServed() const { return m_HasServed; }
  /// Closes the connection at once, which discards what has not been sent.
  void close();

  boost::asio::awaitable<bool> respond(Response HttpResponse) override;
  boost::asio::awaitable<bool> beginStream(Response ResponseHead) override;
  boost::asio::awaitable<bool> writeChunk(std::string_view Data) override;
  boost::asio::awaitable<bool> endStream() override;
  void abort() override { close(); }
  bool isCallerDisconnected() override;
  void onCallerDisconnect(std::function<void()> OnDisconnect) override;
  bool started() const override { return m_Started; }
  std::uint64_t connectionNumber() const override { return m_ConnectionNumber; }

private:
  using error_code = boost::system::error_code;

  bool shouldKeepAlive() const {
    return m_KeepAlive && !m_State->m_Stopping && !m_State->m_Draining;
  }

  /// Sends \p Data in as many writes as the client takes it in. Returns false
  /// if it takes too long or the connection ends.
  template <typename Buffers>
  boost::asio::awaitable<bool> writeAll(Buffers Data);
  /// Sends a message whose body has \p BodyBytes in the same way.
  template <typename Serializer>
  boost::asio::awaitable<bool> writeMessage(Serializer &Message,
                                            std::size_t BodyBytes);
  /// Sends the head of a message.
  template <typename Serializer>
  boost::asio::awaitable<bool> writeHead(Serializer &Message);
  /// Limits the time of the next part of a write that began at \p BeganAt and
  /// of which the client has taken \p Sent bytes.
  void limitWrite(Instant BeganAt, std::size_t Sent);
  /// Counts \p Bytes that wait for the client to read them.
  void beginWrite(std::size_t Bytes);
  /// Returns whether the write has succeeded.
  bool endWrite(const error_code &Error);

  /// Responds to a HEAD request, whose response has no body.
  boost::asio::awaitable<bool> respondWithHead(Response HttpResponse);
  boost::asio::awaitable<bool> respondUnframed(Response HttpResponse);

  /// While a body that ends with the connection is being sent, every close is a
  /// reset, also the one by the kernel when the process ends: an orderly close
  /// would mark the body as complete.
  void resetOnClose(bool Enabled);

  boost::asio::awaitable<bool> rejectRequest(int Status, std::string_view Title,
                                             std::string_view Detail);
  boost::asio::awaitable<bool> rejectReadError(error_code Error);
  /// Rejects a request for which there is no memory.
  boost::asio::awaitable<bool> rejectForMemory();
  /// Rejects a request whose body cannot be read. The bytes after its head may
  /// belong to it, so they are not read as another request.
  boost::asio::awaitable<bool> rejectFraming(FramingFault Fault);

  /// Waits for the first byte, to distinguish an idle connection from a slow
  /// request. Returns false on timeout or disconnect.
  boost::asio::awaitable<bool> waitForRequest();
  /// Cancels reading the request after \p Limit. The timeout of the stream
  /// itself would close the socket, and the caller would get no response.
  void startReadTimer(Duration Limit);
  bool hasMemoryLimit() const { return m_State->m_Guards.hasMemoryLimit(); }
  boost::asio::awaitable<error_code> readHead(RequestParser &Parser);
  boost::asio::awaitable<error_code> readBody(RequestParser &Parser);
  /// Reads until \p IsComplete, as far as there is memory.
  boost::asio::awaitable<error_code>
  readWithinMemory(RequestParser &Parser, std::size_t PartBytes,
                   bool (RequestParser::*IsComplete)() const);
  /// Whether too little of a chunked body has been received for the parser.
  bool lacksChunkEnd(const RequestParser &Parser) const;
  /// Receives up to \p PartBytes if there is memory for them.
  boost::asio::awaitable<error_code> receive(const RequestParser &Parser,
                                             std::size_t PartBytes);
  /// Extends the time for a body by what has been received of it.
  void extendReadTime(std::size_t Received);
  /// Resizes the share to \p Bytes, waiting until they fit. Returns false if
  /// that takes too long.
  boost::asio::awaitable<bool> awaitMemory(std::size_t Bytes);
  /// Memory of the request as far as it has been read.
  std::size_t heldBytes(const RequestParser &Parser) const;

  /// Whether the caller holds the body back until the server asks for it.
  bool awaitsContinue(const Request &Incoming) const;
  /// A failure shows when the body is read.
  boost::asio::awaitable<void> writeContinue();
  boost::asio::awaitable<bool> serveRequest();
  /// Reads the body and handles the request.
  boost::asio::awaitable<bool> serveWithBody(RequestParser &Parser,
                                             Request Incoming);
  /// Has a request rejected by the handler without its body.
  boost::asio::awaitable<bool> serveWithoutBody(Request Incoming);
  /// Whether the request is rejected now, by what its head says. Bodies that
  /// are small are read, so that the connection can be used again.
  bool isRejectedByHead(const RequestParser &Parser,
                        const Request &Incoming) const;
  /// Discards a bounded part of what the client still sends, because a close
  /// with unread data may discard the response.
  boost::asio::awaitable<void> discardInput();
  boost::asio::awaitable<void> handleRequest(Request Incoming);
  /// Calls m_OnDisconnect if the caller has closed the connection, and checks
  /// again later if it has only sent more. \p Request is the value of
  /// m_RequestSequence for which it was set.
  void checkDisconnect(std::uint64_t Request);
  /// Ends what was started for the request that was handled.
  void endRequest();
  void releaseBuffer();

  boost::beast::tcp_stream m_Stream;
  std::shared_ptr<ServerState> m_State;
  ScopedCounter m_ConnectionCounter;
  std::uint64_t m_ConnectionNumber;
  boost::asio::steady_timer m_ReadTimer;
  boost::asio::steady_timer m_DisconnectTimer;
  boost::beast::flat_buffer m_Buffer;
  serving::ClientMemory::Share m_Memory;
  std::function<void()> m_OnDisconnect;
  /// Incremented before and after each request is handled, so that callbacks of
  /// the read timer and of the disconnect wait detect that they are stale.
  std::uint64_t m_RequestSequence = 0;
  HttpVersion m_Version = HttpVersion::Http11; ///< Of the request.
  Instant m_ReadBeganAt;       ///< When the body began to be read.
  std::size_t m_HeadBytes = 0; ///< Estimated memory of the head.
  /// Memory of the request that is being handled.
  std::size_t m_RequestBytes = 0;
  bool m_KeepAlive = true;
  bool m_IsHeadOnly = false; ///< The response has no body.
  bool m_Chunked = true;
  bool m_EndsWithConnection = false;
  bool m_Started = false;
  bool m_Finished = false;
  bool m_Idle = false;
  bool m_IsWriting = false;
  bool m_HasServed = false;
  bool m_ReadTimedOut = false;
  bool m_LacksMemory = false; ///< Reading was given up for lack of memory.
  bool m_IsEvicted = false;
  /// The client may still be sending a request that has been rejected.
  bool m_DiscardsInput = false;
};

} // namespace sff::http
