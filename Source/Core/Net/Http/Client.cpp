#include "Net/Http/Client.h"

#include "Net/Http/ConnectionPool.h"
#include "Net/Http/Framing.h"
#include "Net/Http/RedirectTo.h"
#include "Net/Timers/AsyncCondition.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <charconv>

namespace sff::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t ReadBufferBytes = 16 * 1024;

/// The endpoint may respond to a request of at least this size before the
/// request is written completely, so such a request is written concurrently
/// with the wait for the response.
constexpr std::size_t LargeRequestBytes = 16 * 1024;

/// The listener of a process that terminates may accept a connection after the
/// other connections of the process are closed.
constexpr milliseconds ConnectSettleTime{20};

/// Maximum number of late responses to earlier requests that a call skips on
/// its connection.
constexpr int MaxSkippedResponses = 2;
/// Maximum number of interim responses before the final one.
constexpr int MaxInterimResponses = 16;
/// Most bytes of the body of a skipped response.
constexpr std::size_t MaxSkippedBytes = 64 * 1024;
/// Client::send() ends a body that takes longer than this multiple of the read
/// timeout.
constexpr int MaxBodyTimeFactor = 4;

/// Parses `Keep-Alive: timeout=N`. The result is one second shorter than
/// announced, because the endpoint starts its idle timer earlier.
milliseconds parseKeepAliveTimeout(std::string_view Value) {
  constexpr std::string_view Key = "timeout=";
  const auto Start = Value.find(Key);
  if (Start == std::string_view::npos)
    return milliseconds::max();
  const std::string_view Digits = Value.substr(Start + Key.size());
  std::int64_t Seconds = 0;
  const auto [End, Error] =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Seconds);
  if (Error != std::errc() || Seconds > 3600)
    return milliseconds::max();
  return milliseconds(std::max<std::int64_t>(Seconds - 1, 0) * 1000);
}

OutgoingMessage makeMessage(const Address &Remote, Request Message) {
  OutgoingMessage Result;
  Result.version(11);
  Result.method_string(Message.m_Method);
  Result.target(Message.m_Target);
  for (const Header &Item : Message.m_Headers.items())
    Result.insert(Item.m_Name, Item.m_Value);
  if (Result.count(bhttp::field::host) == 0)
    Result.set(bhttp::field::host, Remote.str());
  Result.keep_alive(true);
  Result.body() = std::move(Message.m_Body);
  Result.prepare_payload();
  return Result;
}

/// A response in progress. Keeps the client's pool alive, so that the
/// connection can be returned to it.
class ResponseStreamImpl : public ResponseStream {
public:
  ResponseStreamImpl(std::shared_ptr<ConnectionPool> Pool, Address Remote,
                     std::shared_ptr<Connection> ActiveConnection,
                     std::string RequestMethod, ClientOptions Options)
      : m_Pool(std::move(Pool)), m_Remote(std::move(Remote)),
        m_Connection(std::move(ActiveConnection)),
        m_RequestMethod(std::move(RequestMethod)),
        m_Options(std::move(Options)), m_Reused(m_Connection->m_Reused) {
    startParser();
  }

  ~ResponseStreamImpl() override {
    if (!m_Released)
      close();
  }

  asio::awaitable<std::optional<TransportFailure>> readHeader() {
    for (int ResponseCount = 0; ResponseCount <= MaxSkippedResponses;
         ++ResponseCount) {
      if (auto Failure = co_await readFinalHeader())
        co_return Failure;
      if (matchesRequest())
        co_return std::nullopt;
      const bool Discarded = co_await discardBody();
      if (!Discarded)
        break;
      startParser();
    }
    co_return fail("the answer belongs to another request");
  }

  const Response &head() const override { return m_Head; }

  asio::awaitable<std::variant<std::string, TransportFailure>> read() override {
    std::string Data(ReadBufferBytes, '\0');
    while (!m_Parser->is_done()) {
      auto &Body = m_Parser->get().body();
      Body.data = Data.data();
      Body.size = Data.size();
      error_code Error;
      m_Connection->m_Stream.expires_after(m_Options.m_ReadTimeout);
      co_await bhttp::async_read_some(m_Connection->m_Stream,
                                      m_Connection->m_Buffer, *m_Parser,
                                      redirectTo(Error));
      if (Error == bhttp::error::need_buffer)
        Error = {};
      if (Error) {
        close();
        co_return makeFailure(FailureStage::Read, Error);
      }
      const std::size_t Length = Data.size() - Body.size;
      if (Length > 0) {
        Data.resize(Length);
        co_return Data;
      }
    }
    if (m_Head.m_EndsWithConnection)
      if (auto Failure = co_await checkConnectionEnd())
        co_return std::move(*Failure);
    releaseConnection();
    co_return std::string();
  }

  void close() override {
    if (m_Released)
      return;
    m_Released = true;
    error_code Ignored;
    m_Connection->m_Stream.socket().close(Ignored);
  }

private:
  void startParser() {
    m_Parser.emplace();
    m_Parser->body_limit(boost::none);
    // The fields of such an answer describe a body that is not sent.
    m_Parser->skip(m_RequestMethod == "HEAD");
  }

  /// Fails if the end of the connection, which a read has reported as an
  /// orderly one, is not known to be that of the response. The kernel reports a
  /// reset only once: if the write of the request gets it, the read does not.
  asio::awaitable<std::optional<TransportFailure>> checkConnectionEnd() {
    const WriteState RequestWrite =
        co_await m_Connection->waitForWrite(m_Options.m_ReadTimeout);
    if (m_Connection->m_Fault)
      co_return fail(m_Connection->m_Fault.message());
    if (RequestWrite == WriteState::Complete)
      co_return std::nullopt;
    const bool TimedOut = RequestWrite == WriteState::InProgress;
    co_return fail("the request was not taken before the connection ended",
                   TimedOut);
  }

  /// Closes the connection. Returns the failure of a response that cannot be
  /// used.
  TransportFailure fail(std::string_view Detail, bool TimedOut = false) {
    close();
    return {FailureStage::Read, TimedOut, std::string(Detail)};
  }

  /// Reads the header of a final response and skips interim ones before it.
  asio::awaitable<std::optional<TransportFailure>> readFinalHeader() {
    for (int Interim = 0; Interim <= MaxInterimResponses; ++Interim) {
      if (auto Failure = co_await parseHeader())
        co_return Failure;
      storeHeader();
      if (!isInterim(m_Head.m_Status))
        co_return checkHeader();
      startParser();
    }
    co_return fail("too many interim answers");
  }

  /// Reads until the parser has a complete header. Looks at its lines before
  /// the parser, which joins folded ones.
  asio::awaitable<std::optional<TransportFailure>> parseHeader() {
    beast::flat_buffer &Buffer = m_Connection->m_Buffer;
    m_Connection->m_Stream.expires_after(m_Options.m_ReadTimeout);
    bool NeedsMore = Buffer.size() == 0;
    while (!m_Parser->is_header_done()) {
      error_code Error;
      if (NeedsMore)
        Error = co_await receiveHeader();
      if (Error)
        co_return makeFailure(FailureStage::Read, Error);
      const asio::const_buffer Received = Buffer.cdata();
      if (hasFoldedLine(
              {static_cast<const char *>(Received.data()), Received.size()}))
        co_return fail("a line of the head begins with a blank");
      Buffer.consume(m_Parser->put(Received, Error));
      if (Error && Error != bhttp::error::need_more)
        co_return makeFailure(FailureStage::Read, Error);
      NeedsMore = Error || Buffer.size() == 0;
    }
    co_return std::nullopt;
  }

  /// Receives further bytes of a header.
  asio::awaitable<error_code> receiveHeader() {
    beast::flat_buffer &Buffer = m_Connection->m_Buffer;
    const std::size_t Room = Buffer.max_size() - Buffer.size();
    if (Room == 0)
      co_return bhttp::error::buffer_overflow;
    error_code Error;
    const std::size_t Size = co_await m_Connection->m_Stream.async_read_some(
        Buffer.prepare(std::min(Room, ReadBufferBytes)), redirectTo(Error));
    Buffer.commit(Size);
    if (Error == asio::error::eof)
      co_return m_Parser->got_some() ? bhttp::error::partial_message
                                     : bhttp::error::end_of_stream;
    co_return Error;
  }

  /// Fails if the header is none of an answer, or the bytes behind it cannot be
  /// read as its body.
  std::optional<TransportFailure> checkHeader() {
    std::string_view Fault;
    const Framing Body =
        responseFraming(m_Head.m_Headers, versionOf(m_Parser->get().version()),
                        m_Head.m_Status, m_RequestMethod);
    if (const auto *Unreadable = std::get_if<FramingFault>(&Body))
      Fault = describe(*Unreadable);
    if (switchesProtocols(m_Head.m_Status))
      Fault = "the endpoint switches to another protocol";
    if (!isStatusCode(m_Head.m_Status))
      Fault = "the status is no status code";
    if (Fault.empty())
      return std::nullopt;
    return fail(Fault);
  }

  void storeHeader() {
    m_Head = {};
    m_Head.m_Status = static_cast<int>(m_Parser->get().result_int());
    m_Head.m_EndsWithConnection = m_Parser->need_eof();
    for (const auto &Item : m_Parser->get())
      m_Head.m_Headers.add(std::string_view(Item.name_string().data(),
                                            Item.name_string().size()),
                           std::string(Item.value()));
  }

  /// Checks whether the response belongs to the request of this call. A
  /// response without the echo header is accepted only where no other request
  /// can have caused it: on a new connection. On a reused one, a faulty
  /// endpoint may have written an earlier refusal once more.
  bool matchesRequest() const {
    if (!m_Options.m_ExpectedEcho)
      return true;
    const std::string_view ResponseRequestId =
        m_Head.m_Headers.view(m_Options.m_ExpectedEcho->m_Header);
    if (ResponseRequestId.empty())
      return !m_Reused;
    return ResponseRequestId == m_Options.m_ExpectedEcho->m_Value;
  }

  /// Reads and discards the body. Returns false when the body ends with the
  /// connection, is too long or cannot be read.
  asio::awaitable<bool> discardBody() {
    if (m_Parser->need_eof())
      co_return false;
    std::string Data(ReadBufferBytes, '\0');
    std::size_t Skipped = 0;
    while (!m_Parser->is_done()) {
      m_Parser->get().body().data = Data.data();
      m_Parser->get().body().size = Data.size();
      error_code Error;
      co_await bhttp::async_read_some(m_Connection->m_Stream,
                                      m_Connection->m_Buffer, *m_Parser,
                                      redirectTo(Error));
      if (Error && Error != bhttp::error::need_buffer)
        co_return false;
      Skipped += Data.size() - m_Parser->get().body().size;
      if (Skipped > MaxSkippedBytes)
        co_return false;
    }
    co_return true;
  }

  /// A connection must not be reused if it has ended, if it has received bytes
  /// beyond the response or if the request was not written completely.
  bool isReusable() const {
    return !m_Head.m_EndsWithConnection && m_Parser->get().keep_alive() &&
           m_Connection->m_RequestWrite == WriteState::Complete &&
           m_Connection->m_Buffer.size() == 0;
  }

  void releaseConnection() {
    if (m_Released)
      return;
    if (!isReusable()) {
      close();
      return;
    }
    m_Released = true;
    m_Connection->m_Stream.expires_never();
    m_Connection->m_KeepAlive =
        parseKeepAliveTimeout(m_Head.m_Headers.view("Keep-Alive"));
    m_Pool->release(m_Remote, std::move(m_Connection));
  }

  std::shared_ptr<ConnectionPool> m_Pool;
  Address m_Remote;
  std::shared_ptr<Connection> m_Connection;
  std::string m_RequestMethod;
  ClientOptions m_Options;
  std::optional<bhttp::response_parser<bhttp::buffer_body>> m_Parser;
  Response m_Head;
  bool m_Reused = false;
  bool m_Released = false;
};

} // namespace

Client::Client(asio::any_io_executor Executor)
    : m_Pool(std::make_shared<ConnectionPool>(std::move(Executor))) {}
Client::~Client() = default;

bool Client::hasOpenConnection(const Address &Remote, Instant Before) {
  return m_Pool->hasOpenConnection(Remote, Before);
}
void Client::dropIdle(const Address &Remote) { m_Pool->dropIdle(Remote); }
void Client::closeIdle(milliseconds MaxIdle) { m_Pool->closeIdle(MaxIdle); }

void CallCanceller::cancel() {
  m_Cancelled = true;
  if (auto Close = std::exchange(m_Close, nullptr))
    Close();
}

asio::awaitable<OpenResult> Client::open(Address Remote, Request Outgoing,
                                         ClientOptions Options) {
  auto Pool = m_Pool;
  const auto Canceller = Options.m_Canceller;
  ConnectionPool::AcquireResult ConnectionResult =
      co_await Pool->acquire(Remote, Options);
  if (auto *Failure = std::get_if<TransportFailure>(&ConnectionResult))
    co_return std::move(*Failure);
  if (Canceller && Canceller->cancelled())
    co_return TransportFailure{FailureStage::NotSent, false, "cancelled"};
  auto ActiveConnection =
      std::get<std::shared_ptr<Connection>>(std::move(ConnectionResult));
  if (Options.m_MaySend && !Options.m_MaySend()) {
    ActiveConnection->m_Stream.expires_never();
    Pool->release(Remote, std::move(ActiveConnection));
    co_return TransportFailure{FailureStage::NotSent, false, "not wanted"};
  }
  if (Canceller)
    Canceller->m_Close = [Weak = std::weak_ptr<Connection>(ActiveConnection),
                          CompletedCalls = ActiveConnection->m_CompletedCalls] {
      error_code Ignored;
      const auto OpenConnection = Weak.lock();
      if (OpenConnection && OpenConnection->m_CompletedCalls == CompletedCalls)
        OpenConnection->m_Stream.socket().close(Ignored);
    };
  const auto Message = std::make_shared<OutgoingMessage>(
      makeMessage(Remote, std::move(Outgoing)));
  ActiveConnection->m_RequestWrite = WriteState::InProgress;
  if (Message->body().size() < LargeRequestBytes) {
    ActiveConnection->m_Stream.expires_after(Options.m_WriteTimeout);
    const error_code Error =
        co_await Connection::write(ActiveConnection, Message);
    if (Error)
      co_return makeFailure(FailureStage::Write, Error);
  } else {
    ActiveConnection->m_Stream.expires_after(Options.m_ReadTimeout);
    asio::co_spawn(ActiveConnection->m_Stream.get_executor(),
                   Connection::write(ActiveConnection, Message),
                   asio::detached);
  }
  auto Stream = std::make_shared<ResponseStreamImpl>(
      std::move(Pool), Remote, std::move(ActiveConnection),
      std::string(Message->method_string()), std::move(Options));
  if (auto Failure = co_await Stream->readHeader())
    co_return std::move(*Failure);
  co_return Stream;
}

asio::awaitable<std::optional<TransportFailure>>
Client::connect(Address Remote, milliseconds Timeout) {
  ClientOptions Options;
  Options.m_ConnectTimeout = Timeout;
  Options.m_ForceNewConnection = true;
  auto Pool = m_Pool;
  ConnectionPool::AcquireResult Connected =
      co_await Pool->acquire(Remote, Options);
  if (auto *Failure = std::get_if<TransportFailure>(&Connected))
    co_return std::move(*Failure);
  auto NewConnection =
      std::get<std::shared_ptr<Connection>>(std::move(Connected));
  NewConnection->m_Stream.expires_never();
  co_await timers::sleepFor(ConnectSettleTime);
  if (!NewConnection->isUsable())
    co_return TransportFailure{FailureStage::Connect, false,
                               "closed after it was accepted"};
  Pool->release(Remote, std::move(NewConnection));
  co_return std::nullopt;
}

asio::awaitable<SendResult> Client::send(Address Remote, Request Message,
                                         ClientOptions Options) {
  OpenResult Opened =
      co_await open(std::move(Remote), std::move(Message), Options);
  if (auto *Failure = std::get_if<TransportFailure>(&Opened))
    co_return std::move(*Failure);
  auto Stream = std::get<std::shared_ptr<ResponseStream>>(Opened);
  Response CompleteResponse = Stream->head();
  const Instant BodyDeadline = std::chrono::steady_clock::now() +
                               MaxBodyTimeFactor * Options.m_ReadTimeout;
  while (true) {
    auto Next = co_await Stream->read();
    if (auto *Failure = std::get_if<TransportFailure>(&Next))
      co_return std::move(*Failure);
    std::string &Data = std::get<std::string>(Next);
    if (Data.empty())
      co_return CompleteResponse;
    if (CompleteResponse.m_Body.size() + Data.size() > Options.m_MaxBodyBytes) {
      Stream->close();
      co_return TransportFailure{FailureStage::Read, false,
                                 "the answer exceeds the body limit"};
    }
    if (std::chrono::steady_clock::now() > BodyDeadline) {
      Stream->close();
      co_return TransportFailure{FailureStage::Read, true,
                                 "the answer takes too long"};
    }
    CompleteResponse.m_Body += Data;
  }
}

} // namespace sff::http
