#include "Net/Platform/LogClient.h"

#include "Net/Http/Body.h"

namespace sff::platform {

namespace asio = boost::asio;

namespace {

constexpr auto LogCategory = log::Category::Platform;

struct AppendResponse {
  Offset m_Offset = 0;
  static constexpr auto describe() {
    return std::make_tuple(codec::field("offset", &AppendResponse::m_Offset));
  }
};

AppendResult toAppendResult(const http::SendResult &Result) {
  if (const auto *Failure = std::get_if<http::TransportFailure>(&Result))
    return {Failure->isKnownNotSent() ? AppendStatus::NotAppended
                                      : AppendStatus::Unknown,
            0};
  const auto &HttpResponse = std::get<http::Response>(Result);
  // The log rejects a request with 503 before it appends the record, so nothing
  // was stored.
  if (HttpResponse.m_Status == 503 || HttpResponse.m_Status == 429)
    return {AppendStatus::NotAppended, 0};
  if (HttpResponse.m_Status != 200)
    return {AppendStatus::Unknown, 0};
  const auto ResponseBody =
      http::parseBody<AppendResponse>(HttpResponse.m_Body, LogCategory);
  if (!ResponseBody || ResponseBody->m_Offset == 0)
    return {AppendStatus::Unknown, 0};
  return {AppendStatus::Appended, ResponseBody->m_Offset};
}

} // namespace

asio::awaitable<AppendResult> LogClient::append(std::string Stream,
                                                nlohmann::json Data) {
  http::Request HttpRequest{"POST",
                            "/v1/streams/" + Stream + "/records",
                            {{"Content-Type", "application/json"}},
                            Data.dump()};
  http::ClientOptions Options;
  Options.m_ConnectTimeout = m_Timeout;
  Options.m_ReadTimeout = m_Timeout;
  co_return toAppendResult(
      co_await m_Http.send(m_Remote, std::move(HttpRequest), Options));
}

asio::awaitable<std::optional<ReadResult>> LogClient::read(std::string Stream,
                                                           Offset From,
                                                           std::size_t Limit,
                                                           milliseconds Wait) {
  http::Request HttpRequest;
  HttpRequest.m_Target = "/v1/streams/" + Stream +
                         "/records?from=" + std::to_string(From) +
                         "&max=" + std::to_string(Limit) +
                         "&wait_ms=" + std::to_string(Wait.count());
  http::ClientOptions Options;
  Options.m_ConnectTimeout = m_Timeout;
  Options.m_ReadTimeout = Wait + m_Timeout;
  const http::SendResult Result =
      co_await m_Http.send(m_Remote, std::move(HttpRequest), Options);
  co_return http::parseResponse<ReadResult>(Result, LogCategory);
}

} // namespace sff::platform
