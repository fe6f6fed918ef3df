#pragma once

#include "Net/Http/Message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace sff::test {

/// How a server sends an answer.
enum class Delivery { Whole, ByteByByte };

/// Accepts one connection and answers each request without a body on it with
/// the next of the given texts, on its own thread. Then keeps the connection
/// open until the client closes it, which it must do before the destructor.
class ScriptedServer {
public:
  explicit ScriptedServer(std::vector<std::string> Answers,
                          Delivery How = Delivery::Whole);
  ~ScriptedServer() { m_Thread.join(); }

  http::Address address() const {
    return {"127.0.0.1", m_Acceptor.local_endpoint().port()};
  }

private:
  void serve();
  void send(boost::asio::ip::tcp::socket &Socket, std::string_view Answer,
            boost::system::error_code &Error) const;

  std::vector<std::string> m_Answers;
  Delivery m_Delivery;
  boost::asio::io_context m_Context;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  std::thread m_Thread;
};

} // namespace sff::test
