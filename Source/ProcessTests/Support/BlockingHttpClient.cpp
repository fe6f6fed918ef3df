#include "ProcessTests/Support/BlockingHttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

namespace sff::test {

HttpResult BlockingHttpClient::send(const http::Address &Target,
                                    http::Request Message) {
  http::ClientOptions Options;
  Options.m_ConnectTimeout = m_Timeout;
  Options.m_ReadTimeout = m_Timeout;
  auto Pending = boost::asio::co_spawn(
      m_Context, m_Client.send(Target, std::move(Message), Options),
      boost::asio::use_future);
  m_Context.restart();
  m_Context.run();
  http::SendResult Result = Pending.get();
  if (auto *Failure = std::get_if<http::TransportFailure>(&Result))
    return {{}, std::move(*Failure)};
  return {std::get<http::Response>(std::move(Result)), std::nullopt};
}

HttpResult BlockingHttpClient::get(const http::Address &Target,
                                   const std::string &Path) {
  return send(Target, {"GET", Path, {}, ""});
}

HttpResult BlockingHttpClient::post(const http::Address &Target,
                                    const std::string &Path,
                                    const nlohmann::json &Body,
                                    http::Headers Fields) {
  return send(Target, {"POST", Path, std::move(Fields), Body.dump()});
}

} // namespace sff::test
