#include "Net/Http/Connection.h"

#include "Net/Http/RedirectTo.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace sff::http {

namespace asio = boost::asio;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Most bytes that are received and not yet parsed. Bounds what the parser
/// waits for, such as the end of a chunk header or of a trailer.
constexpr std::size_t MaxUnparsedBytes = 128 * 1024;

/// TCP_USER_TIMEOUT: the kernel closes a connection whose peer acknowledges no
/// data for this long, for example because of a network partition.
constexpr unsigned TcpUserTimeoutMs = 3000;

/// Makes every close of the socket a reset. After an orderly close the kernel
/// goes on delivering a request that a partition holds up, so it would reach
/// its endpoint after the call was given up.
void resetOnClose(tcp::socket &Socket) {
  error_code Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
}

} // namespace

Connection::Connection(asio::any_io_executor Executor)
    : m_Stream(std::move(Executor)), m_Buffer(MaxUnparsedBytes) {}

void Connection::configure() {
  using UserTimeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  tcp::socket &Socket = m_Stream.socket();
  error_code Ignored;
  resetOnClose(Socket);
  Socket.set_option(tcp::no_delay(true), Ignored);
  Socket.set_option(UserTimeout(TcpUserTimeoutMs), Ignored);
}

bool Connection::isUsable() {
  char Byte = 0;
  error_code Error;
  m_Stream.socket().non_blocking(true, Error);
  m_Stream.socket().receive(asio::buffer(&Byte, 1), tcp::socket::message_peek,
                            Error);
  if (Error == asio::error::would_block)
    return true;
  // An end of the data is reported to each call.
  if (Error != asio::error::eof)
    m_Fault = Error;
  return false;
}

asio::awaitable<error_code>
Connection::write(std::shared_ptr<Connection> Self,
                  std::shared_ptr<OutgoingMessage> Message) {
  error_code Error;
  co_await bhttp::async_write(Self->m_Stream, *Message, redirectTo(Error));
  Self->m_RequestWrite = Error ? WriteState::Failed : WriteState::Complete;
  Self->m_WriteEnded.notifyAll();
  co_return Error;
}

asio::awaitable<WriteState> Connection::waitForWrite(milliseconds Timeout) {
  if (m_RequestWrite == WriteState::InProgress)
    co_await m_WriteEnded.wait(Timeout);
  co_return m_RequestWrite;
}

} // namespace sff::http
