#pragma once

#include "Net/Http/Client.h"
#include "StandIns/LoadTool/LoadSummary.h"
#include "StandIns/Support/RateLimiter.h"

#include <boost/asio/io_context.hpp>

#include <random>

namespace sff::standin {

struct LoadOptions {
  std::vector<http::Address> m_Targets;
  std::vector<std::string> m_Entries;
  double m_RequestsPerSecond =
      0; ///< 0: closed loop with m_Concurrency callers.
  std::int64_t m_Concurrency = 1; ///< Also limits the requests in flight.
  std::int64_t m_MaxRequests = 0;
  milliseconds m_Duration{0};
  milliseconds m_Timeout{0};
  double m_BatchShare = 0;
  std::int64_t m_MaxTokens = 0;
  std::int64_t m_PromptBytes =
      0; ///< Length of the prefix shared by all prompts.
  bool m_Stream = false;
  bool m_RetryAfterRejection = false;
  std::uint64_t m_Seed = 0;
};

/// Sends requests to routers or engines, limited in number and duration, and
/// checks each response. Thread safety: use from the io_context's thread.
class LoadRun {
public:
  LoadRun(boost::asio::io_context &Context, LoadOptions Options);

  /// Returns once all requests have ended.
  boost::asio::awaitable<void> run();

  nlohmann::json report() const;

private:
  struct PlannedRequest {
    http::Address m_Target;
    std::string m_Entry;
    std::string m_Prompt;
    std::string m_Class;
  };
  struct AttemptResult {
    RequestResult m_Result;
    /// Set if a rejection states when to retry.
    std::optional<milliseconds> m_RetryAfter;
  };

  boost::asio::awaitable<void> runOpenLoop();
  boost::asio::awaitable<void> runClosedLoopCaller();
  boost::asio::awaitable<void> runRequest(PlannedRequest Planned);
  boost::asio::awaitable<AttemptResult> send(PlannedRequest Planned);
  boost::asio::awaitable<AttemptResult>
  receive(std::shared_ptr<http::ResponseStream> Stream, PlannedRequest Planned,
          Instant Start);
  void spawn(boost::asio::awaitable<void> Task);
  http::Request makeRequest(const PlannedRequest &Planned) const;
  AttemptResult evaluateResponse(const PlannedRequest &Planned,
                                 const http::Response &Received) const;
  bool mayStart() const;
  PlannedRequest planRequest();

  boost::asio::io_context &m_Context;
  LoadOptions m_Options;
  http::Client m_Http;
  LoadSummary m_Summary;
  std::mt19937_64 m_Random;
  Instant m_Start;
  Instant m_End;
  std::int64_t m_Started = 0;
  std::int64_t m_Active = 0;
  AsyncCondition m_TaskEnded;
};

} // namespace sff::standin
