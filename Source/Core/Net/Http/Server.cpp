#include "Net/Http/Server.h"

#include "Common/Logging/Log.h"
#include "Net/Http/Framing.h"
#include "Net/Timers/AsyncCondition.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <list>
#include <mutex>

namespace sff::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

auto redirectTo(error_code &Error) {
  return asio::redirect_error(asio::use_awaitable, Error);
}

/// Large enough for the complete header of a typical request, so that one read
/// receives it.
constexpr std::size_t InitialReadBytes = 2048;

/// Most bytes that are received and not yet parsed, beside a header. Bounds
/// what the parser waits for, such as the end of a chunk header or of a
/// trailer.
constexpr std::size_t MaxUnparsedBytes = 128 * 1024;
/// Delay after a failed accept. While the process has no free descriptor, the
/// connection stays in the queue and the next accept would fail at once.
constexpr milliseconds AcceptRetryDelay{20};

using RequestParser = bhttp::request_parser<bhttp::string_body>;
using RequestHead = bhttp::request_header<>;

struct ServerState {
  ServerLimits m_Limits;
  Handler m_RequestHandler;
  std::atomic<bool> m_Stopping{false};
  std::atomic<bool> m_Draining{false};
  std::atomic<std::size_t> m_OpenConnections{0};
  std::atomic<std::size_t> m_Active{0};
  std::atomic<std::uint64_t> m_Accepted{0};
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

template <typename Body>
void copyStatusAndHeaders(const Response &From, bhttp::response<Body> &To) {
  To.version(11);
  To.result(static_cast<unsigned>(From.m_Status));
  for (const Header &Item : From.m_Headers.items())
    To.insert(Item.m_Name, Item.m_Value);
}

/// One client connection. Its coroutines hold a shared pointer to it until they
/// finish.
class Session : public std::enable_shared_from_this<Session>, public Exchange {
public:
  Session(tcp::socket Socket, std::shared_ptr<ServerState> State)
      : m_Stream(std::move(Socket)), m_State(std::move(State)),
        m_ConnectionCounter(m_State->m_OpenConnections),
        m_ConnectionNumber(++m_State->m_Accepted),
        m_ReadTimer(m_Stream.get_executor()) {}

  asio::awaitable<void> run() {
    while (!m_State->m_Stopping && m_Stream.socket().is_open())
      if (!co_await serveRequest())
        break;
    error_code Ignored;
    m_Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
  }

  /// Closes the connection if no request is in progress on it and none has
  /// arrived.
  void closeIfIdle() {
    error_code Ignored;
    if (!m_Idle || m_Stream.socket().available(Ignored) > 0)
      return;
    m_Stream.socket().close(Ignored);
  }

  asio::awaitable<bool> respond(Response HttpResponse) override {
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
    error_code Error;
    m_Stream.expires_after(m_State->m_Limits.m_WriteTimeout);
    co_await bhttp::async_write(m_Stream, Message, redirectTo(Error));
    m_Finished = !Error;
    co_return !Error;
  }

  asio::awaitable<bool> beginStream(Response ResponseHead) override {
    const bool HasLength =
        !ResponseHead.m_Headers.view("Content-Length").empty();
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
    error_code Error;
    m_Stream.expires_after(m_State->m_Limits.m_WriteTimeout);
    co_await bhttp::async_write_header(m_Stream, Serializer, redirectTo(Error));
    co_return !Error;
  }

  asio::awaitable<bool> writeChunk(std::string_view Data) override {
    if (Data.empty() || m_IsHeadOnly)
      co_return true;
    error_code Error;
    m_Stream.expires_after(m_State->m_Limits.m_WriteTimeout);
    if (m_Chunked)
      co_await asio::async_write(
          m_Stream, bhttp::make_chunk(asio::buffer(Data.data(), Data.size())),
          redirectTo(Error));
    else
      co_await asio::async_write(
          m_Stream, asio::buffer(Data.data(), Data.size()), redirectTo(Error));
    co_return !Error;
  }

  asio::awaitable<bool> endStream() override {
    error_code Error;
    if (m_Chunked) {
      m_Stream.expires_after(m_State->m_Limits.m_WriteTimeout);
      co_await asio::async_write(m_Stream, bhttp::make_chunk_last(),
                                 redirectTo(Error));
    }
    if (m_EndsWithConnection)
      resetOnClose(false);
    m_Finished = !Error;
    co_return !Error;
  }

  void abort() override {
    error_code Ignored;
    m_Stream.socket().close(Ignored);
  }

  bool isCallerDisconnected() override {
    if (!m_Stream.socket().is_open())
      return true;
    char Byte = 0;
    error_code Error;
    m_Stream.socket().non_blocking(true, Error);
    m_Stream.socket().receive(asio::buffer(&Byte, 1), tcp::socket::message_peek,
                              Error);
    return Error && Error != asio::error::would_block;
  }

  void onCallerDisconnect(std::function<void()> OnDisconnect) override {
    m_OnDisconnect = std::move(OnDisconnect);
    m_Stream.socket().async_wait(
        tcp::socket::wait_read,
        [Self = shared_from_this(),
         Request = m_RequestSequence](error_code Error) {
          if (Error || Request != Self->m_RequestSequence ||
              !Self->m_OnDisconnect)
            return;
          auto NotifyDisconnect = std::exchange(Self->m_OnDisconnect, nullptr);
          if (Self->isCallerDisconnected())
            NotifyDisconnect();
        });
  }

  bool started() const override { return m_Started; }

  std::uint64_t connectionNumber() const override { return m_ConnectionNumber; }

private:
  bool shouldKeepAlive() const {
    return m_KeepAlive && !m_State->m_Stopping && !m_State->m_Draining;
  }

  /// Responds to a HEAD request, whose response has no body.
  asio::awaitable<bool> respondWithHead(Response HttpResponse) {
    bhttp::response<bhttp::empty_body> Message;
    copyStatusAndHeaders(HttpResponse, Message);
    if (!HttpResponse.m_Body.empty())
      Message.content_length(HttpResponse.m_Body.size());
    Message.keep_alive(shouldKeepAlive());
    m_Started = true;
    bhttp::response_serializer<bhttp::empty_body> Serializer(Message);
    error_code Error;
    m_Stream.expires_after(m_State->m_Limits.m_WriteTimeout);
    co_await bhttp::async_write_header(m_Stream, Serializer, redirectTo(Error));
    m_Finished = !Error;
    co_return !Error;
  }

  asio::awaitable<bool> respondUnframed(Response HttpResponse) {
    const std::string Body = std::exchange(HttpResponse.m_Body, {});
    const bool Begun = co_await beginStream(std::move(HttpResponse));
    if (!Begun)
      co_return false;
    const bool Written = co_await writeChunk(Body);
    if (!Written)
      co_return false;
    co_return co_await endStream();
  }

  /// While a body that ends with the connection is being sent, every close is a
  /// reset, also the one by the kernel when the process ends: an orderly close
  /// would mark the body as complete.
  void resetOnClose(bool Enabled) {
    error_code Ignored;
    m_Stream.socket().set_option(asio::socket_base::linger(Enabled, 0),
                                 Ignored);
  }

  asio::awaitable<bool> rejectRequest(int Status, std::string_view Title,
                                      std::string_view Detail) {
    m_KeepAlive = false;
    // GCC 12 rejects initializer lists within a co_await expression.
    nlohmann::json Extra = {{"outcome", "not_run"}, {"reason", "bad_request"}};
    co_await respond(makeProblem(Status, Title, Detail, std::move(Extra)));
    co_return false;
  }

  asio::awaitable<bool> rejectReadError(error_code Error) {
    if (Error == bhttp::error::body_limit)
      co_return co_await rejectRequest(
          413, "Content Too Large", "the body exceeds the limit of this host");
    if (Error == bhttp::error::header_limit ||
        Error == bhttp::error::buffer_overflow)
      co_return co_await rejectRequest(
          431, "Request Header Fields Too Large",
          "the header exceeds the limit of this host");
    if (Error == beast::error::timeout)
      co_return co_await rejectRequest(408, "Request Timeout",
                                       "the request did not arrive in time");
    // Beast reports all HTTP protocol violations in its own error category.
    if (Error.category() ==
        make_error_code(bhttp::error::bad_method).category())
      co_return co_await rejectRequest(400, "Bad Request",
                                       "the request is not valid HTTP/1.1");
    co_return false;
  }

  /// Waits for the first byte, to distinguish an idle connection from a slow
  /// request. Returns false on timeout or disconnect.
  asio::awaitable<bool> waitForRequest() {
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

  /// Cancels reading the request after \p Limit. The timeout of the stream
  /// itself would close the socket, and the caller would get no response.
  void startReadTimer(milliseconds Limit) {
    m_ReadTimer.expires_after(Limit);
    m_ReadTimer.async_wait([Self = shared_from_this(),
                            Request = m_RequestSequence](error_code Error) {
      if (Error || Request != Self->m_RequestSequence)
        return;
      Self->m_ReadTimedOut = true;
      Self->m_Stream.cancel();
    });
  }

  asio::awaitable<error_code> readHead(RequestParser &Parser) {
    const ServerLimits &Limits = m_State->m_Limits;
    m_ReadTimedOut = false;
    m_Stream.expires_never();
    startReadTimer(Limits.m_HeaderTimeout.value_or(Limits.m_ReadTimeout));
    error_code Error;
    co_await bhttp::async_read_header(m_Stream, m_Buffer, Parser,
                                      redirectTo(Error));
    m_ReadTimer.cancel();
    co_return m_ReadTimedOut ? beast::error::timeout : Error;
  }

  asio::awaitable<error_code> readBody(RequestParser &Parser) {
    error_code Error;
    if (Parser.is_done())
      co_return Error;
    startReadTimer(m_State->m_Limits.m_ReadTimeout);
    co_await bhttp::async_read(m_Stream, m_Buffer, Parser, redirectTo(Error));
    m_ReadTimer.cancel();
    co_return m_ReadTimedOut ? beast::error::timeout : Error;
  }

  /// Whether the caller holds the body back until the server asks for it.
  bool awaitsContinue(const Request &Incoming) const {
    return m_Version == HttpVersion::Http11 && m_Buffer.size() == 0 &&
           beast::iequals(Incoming.m_Headers.view("Expect"), "100-continue");
  }

  /// A failure shows when the body is read.
  asio::awaitable<void> writeContinue() {
    constexpr std::string_view Interim = "HTTP/1.1 100 Continue\r\n\r\n";
    error_code Ignored;
    m_Stream.expires_after(m_State->m_Limits.m_WriteTimeout);
    co_await asio::async_write(m_Stream, asio::buffer(Interim),
                               redirectTo(Ignored));
    m_Stream.expires_never();
  }

  /// Rejects a request whose body cannot be read. The bytes after its head may
  /// belong to it, so they are not read as another request.
  asio::awaitable<bool> rejectFraming(FramingFault Fault) {
    log::info(log::Category::Http, "http.framing_rejected",
              {{"detail", describe(Fault)}});
    const bool IsUnsupported = Fault == FramingFault::UnsupportedCoding;
    co_return co_await rejectRequest(
        IsUnsupported ? 501 : 400,
        IsUnsupported ? "Not Implemented" : "Bad Request", describe(Fault));
  }

  asio::awaitable<bool> serveRequest() {
    if (!co_await waitForRequest())
      co_return false;
    ScopedCounter Active(m_State->m_Active);
    m_Started = false;
    m_Finished = false;
    m_IsHeadOnly = false;
    RequestParser Parser;
    Parser.header_limit(m_State->m_Limits.m_MaxHeaderBytes);
    Parser.body_limit(m_State->m_Limits.m_MaxBodyBytes);
    m_Buffer.max_size(m_State->m_Limits.m_MaxHeaderBytes + MaxUnparsedBytes);
    if (const error_code Error = co_await readHead(Parser))
      co_return co_await rejectReadError(Error);
    m_Version = versionOf(Parser.get());
    // Callers of HTTP/1.0 expect a close unless they are told otherwise.
    m_KeepAlive = m_Version != HttpVersion::Http10 && Parser.get().keep_alive();
    Request Incoming = convertHead(Parser.get());
    m_IsHeadOnly = Incoming.m_Method == "HEAD";
    const Framing Expected = requestFraming(Incoming.m_Headers, m_Version);
    if (const auto *Fault = std::get_if<FramingFault>(&Expected))
      co_return co_await rejectFraming(*Fault);
    if (awaitsContinue(Incoming) && !Parser.is_done())
      co_await writeContinue();
    if (const error_code Error = co_await readBody(Parser))
      co_return co_await rejectReadError(Error);
    Incoming.m_Body = std::move(Parser.get().body());
    ++m_RequestSequence;
    co_await handleRequest(std::move(Incoming));
    ++m_RequestSequence;
    m_OnDisconnect = nullptr;
    co_return m_Finished &&shouldKeepAlive();
  }

  static HttpVersion versionOf(const RequestHead &Message) {
    constexpr unsigned BeastHttp10 = 10;
    return Message.version() == BeastHttp10 ? HttpVersion::Http10
                                            : HttpVersion::Http11;
  }

  static Request convertHead(const RequestHead &Message) {
    Request Result;
    Result.m_Method = std::string(Message.method_string());
    Result.m_Target = std::string(Message.target());
    for (const auto &Item : Message)
      Result.m_Headers.add(std::string_view(Item.name_string().data(),
                                            Item.name_string().size()),
                           std::string(Item.value()));
    return Result;
  }

  asio::awaitable<void> handleRequest(Request Incoming) {
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

  beast::tcp_stream m_Stream;
  std::shared_ptr<ServerState> m_State;
  ScopedCounter m_ConnectionCounter;
  std::uint64_t m_ConnectionNumber;
  asio::steady_timer m_ReadTimer;
  beast::flat_buffer m_Buffer;
  std::function<void()> m_OnDisconnect;
  /// Incremented before and after each request is handled, so that callbacks of
  /// the read timer and of the disconnect wait detect that they are stale.
  std::uint64_t m_RequestSequence = 0;
  HttpVersion m_Version = HttpVersion::Http11; ///< Of the request.
  bool m_KeepAlive = true;
  bool m_IsHeadOnly = false; ///< The response has no body.
  bool m_Chunked = true;
  bool m_EndsWithConnection = false;
  bool m_Started = false;
  bool m_Finished = false;
  bool m_Idle = false;
  bool m_ReadTimedOut = false;
};

} // namespace

class Server::Impl : public std::enable_shared_from_this<Server::Impl> {
public:
  Impl(asio::io_context &Context, ServerLimits Limits, Handler RequestHandler)
      : m_Context(Context), m_Acceptor(Context),
        m_State(std::make_shared<ServerState>()) {
    m_State->m_Limits = Limits;
    m_State->m_RequestHandler = std::move(RequestHandler);
  }

  void listen(const Address &Local) {
    const tcp::endpoint LocalEndpoint(asio::ip::make_address(Local.m_Host),
                                      Local.m_Port);
    m_Acceptor.open(LocalEndpoint.protocol());
    m_Acceptor.set_option(asio::socket_base::reuse_address(true));
    m_Acceptor.bind(LocalEndpoint);
    m_Acceptor.listen();
    m_Port = m_Acceptor.local_endpoint().port();
    asio::co_spawn(m_Context, acceptLoop(shared_from_this()), asio::detached);
  }

  void stopAccepting() {
    m_State->m_Stopping = true;
    asio::post(m_Context, [Self = shared_from_this()] {
      error_code Ignored;
      Self->m_Acceptor.close(Ignored);
      for (const auto &Weak : Self->m_Sessions)
        if (auto LiveSession = Weak.lock())
          LiveSession->closeIfIdle();
    });
  }

  std::uint16_t port() const { return m_Port; }
  std::size_t activeRequests() const { return m_State->m_Active; }
  std::size_t connections() const { return m_State->m_OpenConnections; }
  void setLimits(const ServerLimits &Limits) { m_State->m_Limits = Limits; }
  void beginDrain() { m_State->m_Draining = true; }

private:
  static asio::awaitable<void> acceptLoop(std::shared_ptr<Impl> Self) {
    while (!Self->m_State->m_Stopping) {
      error_code Error;
      tcp::socket Socket =
          co_await Self->m_Acceptor.async_accept(redirectTo(Error));
      if (Error == asio::error::operation_aborted)
        break;
      if (Error) {
        Self->logAcceptFailure(Error);
        co_await timers::sleepFor(AcceptRetryDelay);
        continue;
      }
      Self->m_LastAcceptFailed = false;
      if (Self->isAtConnectionLimit())
        continue;
      Self->startSession(std::move(Socket));
    }
  }

  /// Logs the first of several failures in a row.
  void logAcceptFailure(const error_code &Error) {
    if (!std::exchange(m_LastAcceptFailed, true))
      log::warning(log::Category::Http, "http.accept_failed",
                   {{"detail", Error.message()},
                    {"connections", m_State->m_OpenConnections.load()}});
  }

  bool isAtConnectionLimit() const {
    return m_State->m_OpenConnections >= m_State->m_Limits.m_MaxConnections;
  }

  void startSession(tcp::socket Socket) {
    error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    auto LiveSession = std::make_shared<Session>(std::move(Socket), m_State);
    m_Sessions.remove_if([](const auto &Weak) { return Weak.expired(); });
    m_Sessions.push_back(LiveSession);
    asio::co_spawn(
        m_Context, [LiveSession]() { return LiveSession->run(); },
        asio::detached);
  }

  asio::io_context &m_Context;
  tcp::acceptor m_Acceptor;
  std::shared_ptr<ServerState> m_State;
  std::list<std::weak_ptr<Session>> m_Sessions;
  std::uint16_t m_Port = 0;
  bool m_LastAcceptFailed = false;
};

Server::Server(asio::io_context &Context, ServerLimits Limits,
               Handler RequestHandler)
    : m_Impl(
          std::make_shared<Impl>(Context, Limits, std::move(RequestHandler))) {}
Server::~Server() { m_Impl->stopAccepting(); }
void Server::listen(const Address &Local) { m_Impl->listen(Local); }
std::uint16_t Server::port() const { return m_Impl->port(); }
void Server::setLimits(const ServerLimits &Limits) {
  m_Impl->setLimits(Limits);
}
void Server::beginDrain() { m_Impl->beginDrain(); }
std::size_t Server::connections() const { return m_Impl->connections(); }
void Server::stopAccepting() { m_Impl->stopAccepting(); }

asio::awaitable<void> Server::drain(Instant Deadline) {
  constexpr milliseconds PollInterval{50};
  stopAccepting();
  // Idle connections are closed by a posted handler, and a request that arrives
  // before it runs is served. So no active request is not enough.
  while (std::chrono::steady_clock::now() < Deadline && connections() > 0)
    co_await timers::sleepFor(PollInterval);
}
std::size_t Server::activeRequests() const { return m_Impl->activeRequests(); }

} // namespace sff::http
