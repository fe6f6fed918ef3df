#include "Net/Platform/LogClient.h"

#include "Net/Http/Body.h"

namespace sff::platform {

namespace asio = boost::asio;

namespace {

constexpr auto Part = log::Category::Platform;

struct AppendAnswer {
  Offset m_Offset = 0;
  static constexpr auto describe() {
    return std::make_tuple(codec::field("offset", &AppendAnswer::m_Offset));
  }
};

AppendResult interpretAppend(const http::SendResult &Result) {
  if (const auto *Failure = std::get_if<http::TransportFailure>(&Result))
    return {Failure->provesNotSent() ? AppendStatus::NotAppended
                                     : AppendStatus::Unknown,
            0};
  const auto &Answer = std::get<http::Response>(Result);
  // The log answers 503 before it appends, so nothing was stored.
  if (Answer.m_Status == 503 || Answer.m_Status == 429)
    return {AppendStatus::NotAppended, 0};
  if (Answer.m_Status != 200)
    return {AppendStatus::Unknown, 0};
  const auto Parsed = http::parseBody<AppendAnswer>(Answer.m_Body, Part);
  if (!Parsed || Parsed->m_Offset == 0)
    return {AppendStatus::Unknown, 0};
  return {AppendStatus::Appended, Parsed->m_Offset};
}

} // namespace

asio::awaitable<AppendResult> LogClient::append(std::string Stream,
                                                nlohmann::json Data) {
  http::Request Message{"POST",
                        "/v1/streams/" + Stream + "/records",
                        {{"Content-Type", "application/json"}},
                        Data.dump()};
  http::ClientOptions Options;
  Options.m_ConnectTimeout = m_Timeout;
  Options.m_ReadTimeout = m_Timeout;
  co_return interpretAppend(
      co_await m_Http.send(m_Remote, std::move(Message), Options));
}

asio::awaitable<std::optional<ReadResult>> LogClient::read(std::string Stream,
                                                           Offset From,
                                                           std::size_t Limit,
                                                           milliseconds Wait) {
  http::Request Message;
  Message.m_Target = "/v1/streams/" + Stream +
                     "/records?from=" + std::to_string(From) +
                     "&max=" + std::to_string(Limit) +
                     "&wait_ms=" + std::to_string(Wait.count());
  http::ClientOptions Options;
  Options.m_ConnectTimeout = m_Timeout;
  Options.m_ReadTimeout = Wait + m_Timeout;
  const http::SendResult Result =
      co_await m_Http.send(m_Remote, std::move(Message), Options);
  co_return http::parseAnswer<ReadResult>(Result, Part);
}

} // namespace sff::platform
