#include "Net/Http/ServerSession.h"

#include <algorithm>
#include <poll.h>
#include <utility>

namespace sff::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::steady_clock;

namespace {

/// Slowest rate at which a client may read an answer after the write timeout.
/// A link of 10 Mbit/s that 70 clients share is faster.
constexpr std::size_t MinAnswerBytesPerSecond = 16 * 1024;
/// Bounds how late a close behind the next request is noticed.
constexpr milliseconds DisconnectPollInterval{200};

template <typename Body>
void copyStatusAndHeaders(const Response &From, bhttp::response<Body> &To) {
  To.version(11);
  To.result(static_cast<unsigned>(From.m_Status));
  for (const Header &Field : From.m_Headers.items())
    To.insert(Field.m_Name, Field.m_Value);
}

} // namespace

void ServerSession::limitWrite(Instant BeganAt, std::size_t Sent) {
  std::chrono::seconds Added{0};
  if (hasMemoryLimit())
    Added = std::chrono::seconds(Sent / MinAnswerBytesPerSecond);
  m_Stream.expires_at(BeganAt + m_State->m_Limits.m_WriteTimeout + Added);
}

void ServerSession::beginWrite(std::size_t Bytes) {
  const Instant Now = steady_clock::now();
  m_IsWriting = true;
  if (!m_Memory.tryResize(m_RequestBytes + Bytes)) {
    m_State->memory().evictStalled(Now);
    // The memory of the answer is occupied already.
    m_Memory.resize(m_RequestBytes + Bytes);
  }
  m_Memory.awaitClient(true, Now);
}

bool ServerSession::endWrite(const error_code &Error) {
  m_IsWriting = false;
  m_Memory.resize(m_RequestBytes);
  m_Memory.awaitClient(false, steady_clock::now());
  if (Error == beast::error::timeout)
    m_State->m_Guards.report(RejectionCause::SlowReader);
  return !Error;
}

template <typename Buffers>
asio::awaitable<bool> ServerSession::writeAll(Buffers Data) {
  beast::buffers_suffix<Buffers> Rest(Data);
  const Instant BeganAt = steady_clock::now();
  beginWrite(beast::buffer_bytes(Rest));
  error_code Error;
  std::size_t Sent = 0;
  while (!Error && beast::buffer_bytes(Rest) > 0) {
    limitWrite(BeganAt, Sent);
    const std::size_t Written =
        co_await m_Stream.async_write_some(Rest, redirectTo(Error));
    Rest.consume(Written);
    Sent += Written;
    m_Memory.onProgress(Written, steady_clock::now());
  }
  co_return endWrite(Error);
}

template <typename Serializer>
asio::awaitable<bool> ServerSession::writeMessage(Serializer &Message,
                                                  std::size_t BodyBytes) {
  const Instant BeganAt = steady_clock::now();
  beginWrite(BodyBytes);
  error_code Error;
  std::size_t Sent = 0;
  while (!Error && !Message.is_done()) {
    limitWrite(BeganAt, Sent);
    const std::size_t Written =
        co_await bhttp::async_write_some(m_Stream, Message, redirectTo(Error));
    Sent += Written;
    m_Memory.onProgress(Written, steady_clock::now());
  }
  co_return endWrite(Error);
}

template <typename Serializer>
asio::awaitable<bool> ServerSession::writeHead(Serializer &Message) {
  beginWrite(0);
  limitWrite(steady_clock::now(), 0);
  error_code Error;
  co_await bhttp::async_write_header(m_Stream, Message, redirectTo(Error));
  co_return endWrite(Error);
}

asio::awaitable<bool> ServerSession::respond(Response HttpResponse) {
  if (m_IsHeadOnly)
    co_return co_await respondWithHead(std::move(HttpResponse));
  if (HttpResponse.m_EndsWithConnection)
    co_return co_await respondUnframed(std::move(HttpResponse));
  bhttp::response<bhttp::string_body> Message;
  copyStatusAndHeaders(HttpResponse, Message);
  Message.body() = std::move(HttpResponse.m_Body);
  Message.keep_alive(shouldKeepAlive());
  Message.prepare_payload();
  m_Started = true;
  bhttp::response_serializer<bhttp::string_body> Serializer(Message);
  m_Finished = co_await writeMessage(Serializer, Message.body().size());
  co_return m_Finished;
}

asio::awaitable<bool> ServerSession::beginStream(Response ResponseHead) {
  const bool HasLength = !ResponseHead.m_Headers.view("Content-Length").empty();
  // HTTP/1.0 has no chunks.
  m_EndsWithConnection =
      !m_IsHeadOnly && (ResponseHead.m_EndsWithConnection ||
                        (m_Version == HttpVersion::Http10 && !HasLength));
  if (m_EndsWithConnection) {
    m_KeepAlive = false;
    ResponseHead.m_Headers.erase("Content-Length");
    resetOnClose(true);
  }
  bhttp::response<bhttp::empty_body> Message;
  copyStatusAndHeaders(ResponseHead, Message);
  Message.keep_alive(shouldKeepAlive());
  m_Chunked = !m_IsHeadOnly && !m_EndsWithConnection && !HasLength;
  // chunked(false) would also remove the Content-Length header.
  if (m_Chunked)
    Message.chunked(true);
  m_Started = true;
  bhttp::response_serializer<bhttp::empty_body> Serializer(Message);
  co_return co_await writeHead(Serializer);
}

asio::awaitable<bool> ServerSession::writeChunk(std::string_view Data) {
  if (Data.empty() || m_IsHeadOnly)
    co_return true;
  const auto Buffer = asio::buffer(Data.data(), Data.size());
  if (m_Chunked)
    co_return co_await writeAll(bhttp::make_chunk(Buffer));
  co_return co_await writeAll(Buffer);
}

asio::awaitable<bool> ServerSession::endStream() {
  bool Written = true;
  if (m_Chunked)
    Written = co_await writeAll(bhttp::make_chunk_last());
  if (m_EndsWithConnection)
    resetOnClose(false);
  m_Finished = Written;
  co_return Written;
}

bool ServerSession::isCallerDisconnected() {
  if (!m_Stream.socket().is_open())
    return true;
  // A read would find the bytes that were sent before the close.
  pollfd Events{};
  Events.fd = m_Stream.socket().native_handle();
  Events.events = POLLRDHUP;
  return poll(&Events, 1, 0) > 0;
}

void ServerSession::onCallerDisconnect(std::function<void()> OnDisconnect) {
  m_OnDisconnect = std::move(OnDisconnect);
  m_Stream.socket().async_wait(tcp::socket::wait_read,
                               [Self = shared_from_this(),
                                Request = m_RequestSequence](error_code Error) {
                                 if (!Error)
                                   Self->checkDisconnect(Request);
                               });
}

void ServerSession::checkDisconnect(std::uint64_t Request) {
  if (Request != m_RequestSequence || !m_OnDisconnect)
    return;
  if (isCallerDisconnected()) {
    std::exchange(m_OnDisconnect, nullptr)();
    return;
  }
  // The caller has sent its next request, which is read after the answer to
  // this one; until then the socket stays readable.
  m_DisconnectTimer.expires_after(DisconnectPollInterval);
  m_DisconnectTimer.async_wait(
      [Self = shared_from_this(), Request](error_code Error) {
        if (!Error)
          Self->checkDisconnect(Request);
      });
}

asio::awaitable<bool> ServerSession::respondWithHead(Response HttpResponse) {
  bhttp::response<bhttp::empty_body> Message;
  copyStatusAndHeaders(HttpResponse, Message);
  if (!HttpResponse.m_Body.empty())
    Message.content_length(HttpResponse.m_Body.size());
  Message.keep_alive(shouldKeepAlive());
  m_Started = true;
  bhttp::response_serializer<bhttp::empty_body> Serializer(Message);
  m_Finished = co_await writeHead(Serializer);
  co_return m_Finished;
}

asio::awaitable<bool> ServerSession::respondUnframed(Response HttpResponse) {
  const std::string Body = std::exchange(HttpResponse.m_Body, {});
  const bool Begun = co_await beginStream(std::move(HttpResponse));
  if (!Begun)
    co_return false;
  const bool Written = co_await writeChunk(Body);
  if (!Written)
    co_return false;
  co_return co_await endStream();
}

void ServerSession::resetOnClose(bool Enabled) {
  error_code Ignored;
  m_Stream.socket().set_option(asio::socket_base::linger(Enabled, 0), Ignored);
}

} // namespace sff::http
