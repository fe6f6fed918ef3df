#pragma once

#include "Net/Http/Client.h"

#include <boost/asio/io_context.hpp>

namespace sff::test {

/// Result of a call. Status 0 means that no complete response was received.
struct HttpResult {
  http::Response m_Response;
  std::optional<http::TransportFailure> m_Failure;

  int status() const { return m_Failure ? 0 : m_Response.m_Status; }
  /// The body as JSON; a discarded value if it is not JSON.
  nlohmann::json json() const {
    return nlohmann::json::parse(m_Response.m_Body, nullptr, false);
  }
};

/// Blocking HTTP client that keeps connections open between calls.
/// Thread safety: none; use one object per thread.
class BlockingHttpClient {
public:
  explicit BlockingHttpClient(milliseconds Timeout = milliseconds(20000))
      : m_Timeout(Timeout) {}

  HttpResult send(const http::Address &Target, http::Request Message);
  HttpResult get(const http::Address &Target, const std::string &Path);
  HttpResult post(const http::Address &Target, const std::string &Path,
                  const nlohmann::json &Body, http::Headers Fields = {});

private:
  milliseconds m_Timeout;
  boost::asio::io_context m_Context{1};
  http::Client m_Client{m_Context.get_executor()};
};

} // namespace sff::test
