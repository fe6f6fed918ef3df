#include "Net/Http/ServerSession.h"

#include "Common/Logging/Log.h"
#include "Net/Timers/AsyncCondition.h"

#include <algorithm>
#include <iterator>

namespace sff::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::steady_clock;

namespace {

using RequestHead = bhttp::request_header<>;

/// Large enough for the complete header of a typical request, so that one read
/// receives it.
constexpr std::size_t InitialReadBytes = 2048;
/// Most bytes of a body that are received at once.
constexpr std::size_t BodyPartBytes = 8 * 1024;
/// Fewest bytes of a chunked body that are given to the parser: those of the
/// shortest one. Beast takes an empty body that comes in smaller pieces for an
/// error of its own, which ends the process unless assertions are turned off.
constexpr std::size_t MinChunkBytes = 5;
/// Most bytes that are received and not yet parsed, beside a header. Bounds
/// what the parser waits for, such as the end of a chunk header or of a
/// trailer.
constexpr std::size_t MaxUnparsedBytes = 128 * 1024;
/// A buffer that has grown beyond this is released between requests.
constexpr std::size_t MaxIdleBufferBytes = 4 * 1024;
/// Most header fields of a request while memory is limited. Each field takes
/// many times its size in memory.
constexpr std::ptrdiff_t MaxHeaderFields = 256;
/// Memory of one field, in the parser and in the request together.
constexpr std::size_t FieldBytes = 192;
/// Memory of a request in progress beside its head and body.
constexpr std::size_t BaseRequestBytes = 8 * 1024;
/// A body of at most this size is read although its request will be rejected,
/// so that the client can use the connection again.
constexpr std::uint64_t SmallBodyBytes = 8 * 1024;
/// Slowest rate at which a body may arrive after the read timeout. A link of
/// 10 Mbit/s that 70 clients share is faster.
constexpr std::size_t MinBodyBytesPerSecond = 16 * 1024;
/// A request that does not get memory within this time is rejected.
constexpr milliseconds MaxMemoryWait{2000};
constexpr milliseconds MemoryPollInterval{50};
/// Bounds what is received after a rejection.
constexpr std::size_t MaxDiscardedBytes = 256 * 1024;
constexpr milliseconds DiscardTime{500};

Request convertHead(const RequestHead &Message) {
  Request Result;
  Result.m_Method = std::string(Message.method_string());
  Result.m_Target = std::string(Message.target());
  for (const auto &Field : Message)
    Result.m_Headers.add(std::string_view(Field.name_string().data(),
                                          Field.name_string().size()),
                         std::string(Field.value()));
  return Result;
}

} // namespace

ServerSession::ServerSession(tcp::socket Socket,
                             std::shared_ptr<ServerState> State)
    : m_Stream(std::move(Socket)), m_State(std::move(State)),
      m_ConnectionCounter(m_State->m_OpenConnections),
      m_ConnectionNumber(++m_State->m_Accepted),
      m_ReadTimer(m_Stream.get_executor()),
      m_DisconnectTimer(m_Stream.get_executor()),
      m_Memory(m_State->memory(), [this] {
        m_IsEvicted = true;
        m_State->m_Guards.report(RejectionCause::Stalled);
        if (m_IsWriting)
          close();
        else
          m_Stream.cancel();
      }) {
  m_Memory.awaitClient(true, steady_clock::now());
}

asio::awaitable<void> ServerSession::run() {
  while (!m_State->m_Stopping && m_Stream.socket().is_open())
    if (!co_await serveRequest())
      break;
  error_code Ignored;
  m_Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
  if (m_DiscardsInput && hasMemoryLimit())
    co_await discardInput();
}

void ServerSession::closeIfIdle() {
  error_code Ignored;
  if (!m_Idle || m_Stream.socket().available(Ignored) > 0)
    return;
  m_Stream.socket().close(Ignored);
}

std::optional<Duration> ServerSession::stallTime(Instant Now) const {
  if (!m_Stream.socket().is_open())
    return std::nullopt;
  return m_Memory.stallTime(Now);
}

void ServerSession::close() {
  error_code Ignored;
  m_Stream.socket().close(Ignored);
}

asio::awaitable<bool> ServerSession::rejectRequest(int Status,
                                                   std::string_view Title,
                                                   std::string_view Detail) {
  m_KeepAlive = false;
  m_DiscardsInput = true;
  // GCC 12 rejects initializer lists within a co_await expression.
  nlohmann::json Extra = {{"outcome", "not_run"}, {"reason", "bad_request"}};
  co_await respond(makeProblem(Status, Title, Detail, std::move(Extra)));
  co_return false;
}

asio::awaitable<bool> ServerSession::rejectForMemory() {
  m_KeepAlive = false;
  if (!m_IsEvicted)
    m_State->m_Guards.report(RejectionCause::Memory);
  // What has been read is not needed for the response.
  m_Memory.resize(0);
  nlohmann::json Extra = {{"outcome", "not_run"}, {"reason", "memory"}};
  Response Answer =
      makeProblem(503, "Service Unavailable",
                  "this host has no memory for the request", std::move(Extra));
  Answer.m_Headers.set("Retry-After", "1");
  co_await respond(std::move(Answer));
  co_return false;
}

asio::awaitable<bool> ServerSession::rejectReadError(error_code Error) {
  const ServerGuards &Guards = m_State->m_Guards;
  if (m_LacksMemory || m_IsEvicted)
    co_return co_await rejectForMemory();
  if (Error == bhttp::error::body_limit) {
    Guards.report(RejectionCause::BodyLimit);
    co_return co_await rejectRequest(413, "Content Too Large",
                                     "the body exceeds the limit of this host");
  }
  if (Error == bhttp::error::header_limit ||
      Error == bhttp::error::buffer_overflow) {
    Guards.report(RejectionCause::HeaderFields);
    co_return co_await rejectRequest(
        431, "Request Header Fields Too Large",
        "the header exceeds the limit of this host");
  }
  if (Error == beast::error::timeout) {
    Guards.report(RejectionCause::SlowRequest);
    co_return co_await rejectRequest(408, "Request Timeout",
                                     "the request did not arrive in time");
  }
  // Beast reports all HTTP protocol violations in its own error category.
  if (Error.category() == make_error_code(bhttp::error::bad_method).category())
    co_return co_await rejectRequest(400, "Bad Request",
                                     "the request is not valid HTTP/1.1");
  co_return false;
}

asio::awaitable<bool> ServerSession::rejectFraming(FramingFault Fault) {
  log::info(log::Category::Http, "http.framing_rejected",
            {{"detail", describe(Fault)}});
  const bool IsUnsupported = Fault == FramingFault::UnsupportedCoding;
  co_return co_await rejectRequest(
      IsUnsupported ? 501 : 400,
      IsUnsupported ? "Not Implemented" : "Bad Request", describe(Fault));
}

asio::awaitable<bool> ServerSession::waitForRequest() {
  if (m_Buffer.size() > 0)
    co_return true;
  m_Idle = true;
  error_code Error;
  m_Stream.expires_after(m_State->m_Limits.m_IdleTimeout);
  const std::size_t Read = co_await m_Stream.async_read_some(
      m_Buffer.prepare(InitialReadBytes), redirectTo(Error));
  m_Idle = false;
  m_Buffer.commit(Read);
  co_return !Error;
}

void ServerSession::startReadTimer(Duration Limit) {
  m_ReadTimer.expires_after(Limit);
  m_ReadTimer.async_wait([Self = shared_from_this(),
                          Request = m_RequestSequence](error_code Error) {
    if (Error || Request != Self->m_RequestSequence)
      return;
    Self->m_ReadTimedOut = true;
    Self->m_Stream.cancel();
  });
}

void ServerSession::extendReadTime(std::size_t Received) {
  const std::chrono::seconds Added(Received / MinBodyBytesPerSecond);
  const Instant Until = m_ReadBeganAt + m_State->m_Limits.m_ReadTimeout + Added;
  if (!m_ReadTimedOut && Until > m_ReadTimer.expiry())
    startReadTimer(Until - steady_clock::now());
}

asio::awaitable<error_code> ServerSession::readHead(RequestParser &Parser) {
  const ServerLimits &Limits = m_State->m_Limits;
  m_ReadTimedOut = false;
  m_Stream.expires_never();
  startReadTimer(Limits.m_HeaderTimeout.value_or(Limits.m_ReadTimeout));
  error_code Error;
  if (hasMemoryLimit())
    Error = co_await readWithinMemory(Parser, InitialReadBytes,
                                      &RequestParser::is_header_done);
  else
    co_await bhttp::async_read_header(m_Stream, m_Buffer, Parser,
                                      redirectTo(Error));
  m_ReadTimer.cancel();
  co_return m_ReadTimedOut ? beast::error::timeout : Error;
}

asio::awaitable<error_code> ServerSession::readBody(RequestParser &Parser) {
  error_code Error;
  if (Parser.is_done())
    co_return Error;
  m_ReadBeganAt = steady_clock::now();
  startReadTimer(m_State->m_Limits.m_ReadTimeout);
  if (hasMemoryLimit()) {
    Parser.eager(true);
    Error = co_await readWithinMemory(Parser, BodyPartBytes,
                                      &RequestParser::is_done);
  } else {
    co_await bhttp::async_read(m_Stream, m_Buffer, Parser, redirectTo(Error));
  }
  m_ReadTimer.cancel();
  co_return m_ReadTimedOut ? beast::error::timeout : Error;
}

asio::awaitable<error_code>
ServerSession::readWithinMemory(RequestParser &Parser, std::size_t PartBytes,
                                bool (RequestParser::*IsComplete)() const) {
  bool NeedsMore = m_Buffer.size() == 0;
  while (!(Parser.*IsComplete)()) {
    error_code Error;
    if (NeedsMore || lacksChunkEnd(Parser))
      Error = co_await receive(Parser, PartBytes);
    if (Error)
      co_return Error;
    if (lacksChunkEnd(Parser))
      continue;
    m_Buffer.consume(Parser.put(m_Buffer.data(), Error));
    if (Error && Error != bhttp::error::need_more)
      co_return Error;
    NeedsMore = Error || m_Buffer.size() == 0;
  }
  co_return error_code();
}

bool ServerSession::lacksChunkEnd(const RequestParser &Parser) const {
  return Parser.is_header_done() && Parser.chunked() &&
         m_Buffer.size() < MinChunkBytes;
}

asio::awaitable<error_code> ServerSession::receive(const RequestParser &Parser,
                                                   std::size_t PartBytes) {
  const std::size_t Room = m_Buffer.max_size() - m_Buffer.size();
  if (Room == 0)
    co_return bhttp::error::buffer_overflow;
  const std::size_t Size = std::min(Room, PartBytes);
  if (!co_await awaitMemory(heldBytes(Parser) + Size)) {
    m_LacksMemory = true;
    co_return asio::error::operation_aborted;
  }
  error_code Error;
  const std::size_t Received = co_await m_Stream.async_read_some(
      m_Buffer.prepare(Size), redirectTo(Error));
  m_Buffer.commit(Received);
  m_Memory.onProgress(Received, steady_clock::now());
  if (Parser.is_header_done())
    extendReadTime(Parser.get().body().size());
  if (Error == asio::error::eof)
    co_return Parser.got_some() ? bhttp::error::partial_message
                                : bhttp::error::end_of_stream;
  co_return Error;
}

asio::awaitable<bool> ServerSession::awaitMemory(std::size_t Bytes) {
  if (m_Memory.tryResize(Bytes))
    co_return true;
  const Instant End = steady_clock::now() + MaxMemoryWait;
  // It is not the client that holds the request up.
  m_Memory.awaitClient(false, steady_clock::now());
  bool IsGranted = false;
  while (!IsGranted && !m_ReadTimedOut && !m_State->m_Stopping &&
         steady_clock::now() < End) {
    m_State->memory().evictStalled(steady_clock::now());
    co_await timers::sleepFor(MemoryPollInterval);
    IsGranted = m_Memory.tryResize(Bytes);
  }
  m_Memory.awaitClient(true, steady_clock::now());
  co_return IsGranted;
}

std::size_t ServerSession::heldBytes(const RequestParser &Parser) const {
  if (!Parser.is_header_done())
    return m_Buffer.capacity();
  const std::string &Body = Parser.get().body();
  // A body without a declared length may be copied to twice its size when it
  // grows.
  const std::size_t BodyBytes =
      Parser.content_length() ? Body.size() : 2 * Body.size();
  return m_HeadBytes + m_Buffer.capacity() + BodyBytes;
}

bool ServerSession::awaitsContinue(const Request &Incoming) const {
  return m_Version == HttpVersion::Http11 && m_Buffer.size() == 0 &&
         beast::iequals(Incoming.m_Headers.view("Expect"), "100-continue");
}

asio::awaitable<void> ServerSession::writeContinue() {
  constexpr std::string_view Interim = "HTTP/1.1 100 Continue\r\n\r\n";
  error_code Ignored;
  m_Stream.expires_after(m_State->m_Limits.m_WriteTimeout);
  co_await asio::async_write(m_Stream, asio::buffer(Interim),
                             redirectTo(Ignored));
  m_Stream.expires_never();
}

asio::awaitable<bool> ServerSession::serveRequest() {
  releaseBuffer();
  if (!co_await waitForRequest())
    co_return false;
  ScopedCounter Active(m_State->m_Active);
  m_Started = false;
  m_Finished = false;
  m_IsHeadOnly = false;
  m_Memory.awaitClient(false, steady_clock::now());
  m_Memory.awaitClient(true, steady_clock::now());
  RequestParser Parser;
  Parser.header_limit(m_State->m_Limits.m_MaxHeaderBytes);
  Parser.body_limit(m_State->m_Limits.m_MaxBodyBytes);
  m_Buffer.max_size(m_State->m_Limits.m_MaxHeaderBytes + MaxUnparsedBytes);
  if (const error_code Error = co_await readHead(Parser))
    co_return co_await rejectReadError(Error);
  const auto Fields = std::distance(Parser.get().begin(), Parser.get().end());
  if (hasMemoryLimit() && Fields > MaxHeaderFields) {
    const error_code TooMany = bhttp::error::header_limit;
    co_return co_await rejectReadError(TooMany);
  }
  m_HeadBytes =
      BaseRequestBytes + static_cast<std::size_t>(Fields) * FieldBytes;
  if (!co_await awaitMemory(heldBytes(Parser)))
    co_return co_await rejectForMemory();
  m_Version = versionOf(Parser.get().version());
  // Callers of HTTP/1.0 expect a close unless they are told otherwise.
  m_KeepAlive = m_Version != HttpVersion::Http10 && Parser.get().keep_alive();
  Request Incoming = convertHead(Parser.get());
  m_IsHeadOnly = Incoming.m_Method == "HEAD";
  const Framing Expected = requestFraming(Incoming.m_Headers, m_Version);
  if (const auto *Fault = std::get_if<FramingFault>(&Expected))
    co_return co_await rejectFraming(*Fault);
  if (isRejectedByHead(Parser, Incoming))
    co_return co_await serveWithoutBody(std::move(Incoming));
  co_return co_await serveWithBody(Parser, std::move(Incoming));
}

asio::awaitable<bool> ServerSession::serveWithBody(RequestParser &Parser,
                                                   Request Incoming) {
  if (awaitsContinue(Incoming) && !Parser.is_done())
    co_await writeContinue();
  if (const error_code Error = co_await readBody(Parser))
    co_return co_await rejectReadError(Error);
  Incoming.m_Body = std::move(Parser.get().body());
  m_RequestBytes = m_HeadBytes + Incoming.m_Body.size();
  m_Memory.resize(m_RequestBytes);
  m_Memory.awaitClient(false, steady_clock::now());
  ++m_RequestSequence;
  co_await handleRequest(std::move(Incoming));
  endRequest();
  m_RequestBytes = 0;
  m_HasServed = true;
  co_return m_Finished &&shouldKeepAlive();
}

void ServerSession::endRequest() {
  ++m_RequestSequence;
  m_OnDisconnect = nullptr;
  m_DisconnectTimer.cancel();
}

asio::awaitable<bool> ServerSession::serveWithoutBody(Request Incoming) {
  m_KeepAlive = false;
  m_DiscardsInput = true;
  Incoming.m_BodyUnread = true;
  m_RequestBytes = m_HeadBytes;
  m_Memory.awaitClient(false, steady_clock::now());
  ++m_RequestSequence;
  co_await handleRequest(std::move(Incoming));
  endRequest();
  co_return false;
}

bool ServerSession::isRejectedByHead(const RequestParser &Parser,
                                     const Request &Incoming) const {
  const auto &Check = m_State->m_Guards.m_IsRejectedByHead;
  if (!Check || Parser.is_done())
    return false;
  const auto Length = Parser.content_length();
  const bool IsSmall = Length && *Length <= SmallBodyBytes;
  if (IsSmall && !awaitsContinue(Incoming))
    return false;
  return Check(Incoming);
}

asio::awaitable<void> ServerSession::discardInput() {
  m_Buffer.clear();
  m_Buffer.shrink_to_fit();
  m_RequestBytes = 0;
  m_Memory.resize(InitialReadBytes);
  m_Memory.awaitClient(true, steady_clock::now());
  error_code Error;
  m_Stream.expires_after(DiscardTime);
  for (std::size_t Discarded = 0; !Error && Discarded < MaxDiscardedBytes;)
    Discarded += co_await m_Stream.async_read_some(
        m_Buffer.prepare(InitialReadBytes), redirectTo(Error));
}

asio::awaitable<void> ServerSession::handleRequest(Request Incoming) {
  bool Failed = false;
  try {
    co_await m_State->m_RequestHandler(std::move(Incoming), *this);
  } catch (const std::exception &Error) {
    log::error(log::Category::Http, "http.handler_failed",
               {{"detail", Error.what()}});
    Failed = true;
  }
  if (!m_Started)
    co_await respond(makeProblem(500, "Internal Server Error",
                                 Failed ? "the handler failed"
                                        : "the handler gave no answer"));
  else if (!m_Finished)
    abort();
}

void ServerSession::releaseBuffer() {
  if (m_Buffer.size() == 0 && m_Buffer.capacity() > MaxIdleBufferBytes)
    m_Buffer.shrink_to_fit();
  m_HeadBytes = 0;
  m_Memory.resize(m_Buffer.size());
  m_Memory.awaitClient(true, steady_clock::now());
}

} // namespace sff::http
