#include "Net/Http/Client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <map>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace sff::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t ReadPieceBytes = 16 * 1024;

auto orError(error_code &Error) {
  return asio::redirect_error(asio::use_awaitable, Error);
}

TransportFailure makeFailure(FailureStage Stage, error_code Error) {
  return {Stage, Error == beast::error::timeout, Error.message()};
}

struct Connection {
  explicit Connection(asio::any_io_executor Executor) : m_Stream(Executor) {}
  beast::tcp_stream m_Stream;
  beast::flat_buffer m_Buffer;
  Instant m_IdleSince;
  /// Longest idle time that the endpoint has stated.
  milliseconds m_KeepAlive = milliseconds::max();
  bool m_Reused = false;
  /// Calls that have ended on it, so that a late cancel of one of them does
  /// not close the connection under the next.
  std::uint64_t m_EndedCalls = 0;
  /// The request has been written whole.
  bool m_WriteDone = false;
};

/// Closes a connection whose peer acknowledges nothing for this long, as one
/// behind a partition does.
constexpr unsigned UnacknowledgedLimitMs = 3000;

/// Requests of at least this size may be answered before they are written
/// whole, so they are written beside the wait for the answer.
constexpr std::size_t LargeRequestBytes = 16 * 1024;

/// Late answers to earlier requests that are skipped on one connection.
constexpr int MaxSkippedAnswers = 2;

void setUpSocket(tcp::socket &Socket) {
  using UserTimeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  Socket.set_option(UserTimeout(UnacknowledgedLimitMs), Ignored);
}

/// The time in `Keep-Alive: timeout=N`, one second less than stated, because
/// the endpoint counts from an earlier moment.
milliseconds statedKeepAlive(std::string_view Value) {
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

bhttp::request<bhttp::string_body> makeMessage(const Address &Remote,
                                               Request Message) {
  bhttp::request<bhttp::string_body> Result;
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

} // namespace

class Client::Impl : public std::enable_shared_from_this<Client::Impl> {
public:
  explicit Impl(asio::any_io_executor Executor)
      : m_Executor(std::move(Executor)) {}

  using Acquired = std::variant<std::shared_ptr<Connection>, TransportFailure>;

  asio::awaitable<Acquired> acquire(Address Remote, ClientOptions Options) {
    if (!Options.m_FreshConnection)
      if (auto Pooled = takeIdle(Remote, Options.m_MaxIdle))
        co_return Pooled;
    auto Fresh = std::make_shared<Connection>(m_Executor);
    error_code Error;
    Fresh->m_Stream.expires_after(Options.m_ConnectTimeout);
    const tcp::endpoint Where(asio::ip::make_address(Remote.m_Host, Error),
                              Remote.m_Port);
    if (!Error)
      co_await Fresh->m_Stream.async_connect(Where, orError(Error));
    if (Error)
      co_return makeFailure(FailureStage::Connect, Error);
    setUpSocket(Fresh->m_Stream.socket());
    co_return Fresh;
  }

  void release(const Address &Remote, std::shared_ptr<Connection> Used) {
    Used->m_Reused = true;
    ++Used->m_EndedCalls;
    Used->m_IdleSince = std::chrono::steady_clock::now();
    auto &Pool = m_Idle[Remote];
    if (Pool.size() < MaxIdlePerAddress)
      Pool.push_back(std::move(Used));
  }

  void dropIdle(const Address &Remote) { m_Idle.erase(Remote); }

  void closeIdle(milliseconds MaxIdle) {
    const Instant Now = std::chrono::steady_clock::now();
    for (auto &[Remote, Pool] : m_Idle)
      std::erase_if(Pool, [&](const auto &Idle) {
        return Now - Idle->m_IdleSince >= std::min(MaxIdle, Idle->m_KeepAlive);
      });
    std::erase_if(m_Idle, [](const auto &Item) { return Item.second.empty(); });
  }

private:
  static constexpr std::size_t MaxIdlePerAddress = 32;

  static bool isUsable(Connection &Idle) {
    char Byte = 0;
    error_code Error;
    Idle.m_Stream.socket().non_blocking(true, Error);
    Idle.m_Stream.socket().receive(asio::buffer(&Byte, 1),
                                   tcp::socket::message_peek, Error);
    return Error == asio::error::would_block;
  }

  std::shared_ptr<Connection> takeIdle(const Address &Remote,
                                       milliseconds MaxIdle) {
    auto &Pool = m_Idle[Remote];
    const Instant Now = std::chrono::steady_clock::now();
    while (!Pool.empty()) {
      auto Last = std::move(Pool.back());
      Pool.pop_back();
      const auto Longest = std::min(MaxIdle, Last->m_KeepAlive);
      if (Now - Last->m_IdleSince < Longest && isUsable(*Last))
        return Last;
    }
    return nullptr;
  }

  asio::any_io_executor m_Executor;
  std::map<Address, std::vector<std::shared_ptr<Connection>>> m_Idle;
};

namespace {

/// Answer in progress. Holds the client alive so that the connection can be
/// returned to its pool.
template <typename Owner> class StreamImpl : public ResponseStream {
public:
  StreamImpl(std::shared_ptr<Owner> Pool, Address Remote,
             std::shared_ptr<Connection> Used, ClientOptions Options)
      : m_Pool(std::move(Pool)), m_Remote(std::move(Remote)),
        m_Connection(std::move(Used)), m_Options(std::move(Options)),
        m_Reused(m_Connection->m_Reused) {
    startParser();
  }

  ~StreamImpl() override {
    if (!m_Returned)
      close();
  }

  asio::awaitable<std::optional<TransportFailure>> readHead() {
    for (int Answers = 0; Answers <= MaxSkippedAnswers; ++Answers) {
      error_code Error;
      m_Connection->m_Stream.expires_after(m_Options.m_ReadTimeout);
      co_await bhttp::async_read_header(m_Connection->m_Stream,
                                        m_Connection->m_Buffer, *m_Parser,
                                        orError(Error));
      if (Error)
        co_return makeFailure(FailureStage::Read, Error);
      takeHead();
      if (belongsToRequest())
        co_return std::nullopt;
      const bool Skipped = co_await skipBody();
      if (!Skipped)
        break;
      startParser();
    }
    close();
    co_return TransportFailure{FailureStage::Read, false,
                               "the answer belongs to another request"};
  }

  const Response &head() const override { return m_Head; }

  asio::awaitable<std::variant<std::string, TransportFailure>> read() override {
    std::string Piece(ReadPieceBytes, '\0');
    while (!m_Parser->is_done()) {
      auto &Body = m_Parser->get().body();
      Body.data = Piece.data();
      Body.size = Piece.size();
      error_code Error;
      m_Connection->m_Stream.expires_after(m_Options.m_ReadTimeout);
      co_await bhttp::async_read_some(m_Connection->m_Stream,
                                      m_Connection->m_Buffer, *m_Parser,
                                      orError(Error));
      if (Error == bhttp::error::need_buffer)
        Error = {};
      if (Error) {
        close();
        co_return makeFailure(FailureStage::Read, Error);
      }
      const std::size_t Length = Piece.size() - Body.size;
      if (Length > 0) {
        Piece.resize(Length);
        co_return Piece;
      }
    }
    returnConnection();
    co_return std::string();
  }

  void close() override {
    if (m_Returned)
      return;
    m_Returned = true;
    error_code Ignored;
    m_Connection->m_Stream.socket().close(Ignored);
  }

private:
  void startParser() {
    m_Parser.emplace();
    m_Parser->body_limit(boost::none);
  }

  void takeHead() {
    m_Head = {};
    m_Head.m_Status = static_cast<int>(m_Parser->get().result_int());
    for (const auto &Item : m_Parser->get())
      m_Head.m_Headers.add(std::string_view(Item.name_string().data(),
                                            Item.name_string().size()),
                           std::string(Item.value()));
  }

  /// An answer without the header counts only where no other request can have
  /// caused it.
  bool belongsToRequest() const {
    if (!m_Options.m_Echo)
      return true;
    const std::string_view Named =
        m_Head.m_Headers.view(m_Options.m_Echo->m_Header);
    if (Named.empty())
      return !m_Reused || m_Head.m_Status >= 300;
    return Named == m_Options.m_Echo->m_Value;
  }

  /// Reads past the answer. False when its end is the connection's end.
  asio::awaitable<bool> skipBody() {
    if (m_Parser->need_eof())
      co_return false;
    std::string Piece(ReadPieceBytes, '\0');
    while (!m_Parser->is_done()) {
      m_Parser->get().body().data = Piece.data();
      m_Parser->get().body().size = Piece.size();
      error_code Error;
      co_await bhttp::async_read_some(m_Connection->m_Stream,
                                      m_Connection->m_Buffer, *m_Parser,
                                      orError(Error));
      if (Error && Error != bhttp::error::need_buffer)
        co_return false;
    }
    co_return true;
  }

  /// A connection with bytes beyond the answer, or on which the request was
  /// not written whole, serves no other request.
  bool isClean() const {
    return m_Parser->get().keep_alive() && m_Connection->m_WriteDone &&
           m_Connection->m_Buffer.size() == 0;
  }

  void returnConnection() {
    if (m_Returned)
      return;
    if (!isClean()) {
      close();
      return;
    }
    m_Returned = true;
    m_Connection->m_Stream.expires_never();
    m_Connection->m_KeepAlive =
        statedKeepAlive(m_Head.m_Headers.view("Keep-Alive"));
    m_Pool->release(m_Remote, std::move(m_Connection));
  }

  std::shared_ptr<Owner> m_Pool;
  Address m_Remote;
  std::shared_ptr<Connection> m_Connection;
  ClientOptions m_Options;
  std::optional<bhttp::response_parser<bhttp::buffer_body>> m_Parser;
  Response m_Head;
  bool m_Reused = false;
  bool m_Returned = false;
};

} // namespace

Client::Client(asio::any_io_executor Executor)
    : m_Impl(std::make_shared<Impl>(std::move(Executor))) {}
Client::~Client() = default;

void Client::dropIdle(const Address &Remote) { m_Impl->dropIdle(Remote); }
void Client::closeIdle(milliseconds MaxIdle) { m_Impl->closeIdle(MaxIdle); }

namespace {

using Message = bhttp::request<bhttp::string_body>;

asio::awaitable<error_code> writeWhole(std::shared_ptr<Connection> Used,
                                       std::shared_ptr<Message> Outgoing) {
  error_code Error;
  co_await bhttp::async_write(Used->m_Stream, *Outgoing, orError(Error));
  Used->m_WriteDone = !Error;
  co_return Error;
}

} // namespace

void CallCanceller::cancel() {
  m_Cancelled = true;
  if (auto Close = std::exchange(m_Close, nullptr))
    Close();
}

asio::awaitable<OpenResult> Client::open(Address Remote, Request Outgoing,
                                         ClientOptions Options) {
  auto Pool = m_Impl;
  const auto Canceller = Options.m_Canceller;
  Impl::Acquired Acquired = co_await Pool->acquire(Remote, Options);
  if (auto *Failure = std::get_if<TransportFailure>(&Acquired))
    co_return std::move(*Failure);
  if (Canceller && Canceller->cancelled())
    co_return TransportFailure{FailureStage::NotSent, false, "cancelled"};
  auto Used = std::get<std::shared_ptr<Connection>>(std::move(Acquired));
  if (Canceller)
    Canceller->m_Close = [Weak = std::weak_ptr<Connection>(Used),
                          Ended = Used->m_EndedCalls] {
      error_code Ignored;
      const auto Open = Weak.lock();
      if (Open && Open->m_EndedCalls == Ended)
        Open->m_Stream.socket().close(Ignored);
    };
  auto Whole =
      std::make_shared<Message>(makeMessage(Remote, std::move(Outgoing)));
  Used->m_WriteDone = false;
  if (Whole->body().size() < LargeRequestBytes) {
    Used->m_Stream.expires_after(Options.m_WriteTimeout);
    const error_code Error = co_await writeWhole(Used, Whole);
    if (Error)
      co_return makeFailure(FailureStage::Write, Error);
  } else {
    Used->m_Stream.expires_after(Options.m_ReadTimeout);
    asio::co_spawn(Used->m_Stream.get_executor(), writeWhole(Used, Whole),
                   asio::detached);
  }
  auto Stream = std::make_shared<StreamImpl<Impl>>(
      std::move(Pool), Remote, std::move(Used), std::move(Options));
  if (auto Failure = co_await Stream->readHead())
    co_return std::move(*Failure);
  co_return Stream;
}

asio::awaitable<SendResult> Client::send(Address Remote, Request Message,
                                         ClientOptions Options) {
  OpenResult Opened =
      co_await open(std::move(Remote), std::move(Message), Options);
  if (auto *Failure = std::get_if<TransportFailure>(&Opened))
    co_return std::move(*Failure);
  auto Stream = std::get<std::shared_ptr<ResponseStream>>(Opened);
  Response Whole = Stream->head();
  while (true) {
    auto Next = co_await Stream->read();
    if (auto *Failure = std::get_if<TransportFailure>(&Next))
      co_return std::move(*Failure);
    std::string &Piece = std::get<std::string>(Next);
    if (Piece.empty())
      co_return Whole;
    if (Whole.m_Body.size() + Piece.size() > Options.m_BodyBytes) {
      Stream->close();
      co_return TransportFailure{FailureStage::Read, false,
                                 "the answer exceeds the body limit"};
    }
    Whole.m_Body += Piece;
  }
}

} // namespace sff::http
