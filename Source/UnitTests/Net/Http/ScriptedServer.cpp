#include "Net/Http/ScriptedServer.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

namespace sff::test {

using boost::asio::ip::tcp;
using boost::system::error_code;

ScriptedServer::ScriptedServer(std::vector<std::string> Answers, Delivery How)
    : m_Answers(std::move(Answers)), m_Delivery(How),
      m_Acceptor(m_Context, {boost::asio::ip::address_v4::loopback(), 0}),
      m_Thread([this] { serve(); }) {}

void ScriptedServer::serve() {
  constexpr std::string_view HeadEnd = "\r\n\r\n";
  tcp::socket Socket = m_Acceptor.accept();
  Socket.set_option(tcp::no_delay(true));
  boost::asio::streambuf Received;
  error_code Error;
  for (const std::string &Answer : m_Answers) {
    const std::size_t Bytes =
        boost::asio::read_until(Socket, Received, HeadEnd, Error);
    Received.consume(Bytes);
    send(Socket, Answer, Error);
  }
  while (!Error)
    boost::asio::read_until(Socket, Received, HeadEnd, Error);
}

void ScriptedServer::send(tcp::socket &Socket, std::string_view Answer,
                          error_code &Error) const {
  const std::size_t PieceBytes =
      m_Delivery == Delivery::Whole ? Answer.size() : 1;
  for (std::size_t At = 0; At < Answer.size() && !Error; At += PieceBytes)
    boost::asio::write(
        Socket, boost::asio::buffer(Answer.substr(At, PieceBytes)), Error);
}

} // namespace sff::test
