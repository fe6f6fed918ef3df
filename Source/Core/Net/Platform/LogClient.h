#pragma once

#include "Common/Codec/Fields.h"
#include "Common/Identity/Ids.h"
#include "Net/Http/Client.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <vector>

namespace sff::platform {

/// Known outcome of an append, derived from its response or from the failure to
/// receive one.
enum class AppendStatus {
  Appended,    ///< The record was stored at the returned offset.
  NotAppended, ///< The record was provably not stored.
  Unknown, ///< May have been or may still be stored; search the log for its id.
};

struct AppendResult {
  AppendStatus m_Status = AppendStatus::Unknown;
  Offset m_Offset = 0;
};

struct StoredRecord {
  Offset m_Offset = 0;
  nlohmann::json m_Data;

  static constexpr auto describe() {
    return std::make_tuple(codec::field("offset", &StoredRecord::m_Offset),
                           codec::field("data", &StoredRecord::m_Data));
  }
};

struct ReadResult {
  Offset m_First = 0; ///< Oldest offset that the log retains.
  Offset m_Head = 0;  ///< Newest offset, 0 for an empty stream.
  std::vector<StoredRecord> m_Records;

  static constexpr auto describe() {
    return std::make_tuple(codec::field("first", &ReadResult::m_First),
                           codec::field("head", &ReadResult::m_Head),
                           codec::field("records", &ReadResult::m_Records));
  }
};

/// HTTP client of the platform's append-only log.
/// Thread safety: all calls from the executor of the HTTP client.
class LogClient {
public:
  /// Precondition: \p Http must outlive this object.
  LogClient(http::Client &Http, http::Address Remote, milliseconds Timeout)
      : m_Http(Http), m_Remote(std::move(Remote)), m_Timeout(Timeout) {}

  /// Appends one record. Never retries an append whose response was lost.
  boost::asio::awaitable<AppendResult> append(std::string Stream,
                                              nlohmann::json Data);

  /// Reads up to \p Limit records starting at offset \p From, and waits up to
  /// \p Wait for the first one. Returns nullopt when the log cannot be reached
  /// or does not return a valid response.
  boost::asio::awaitable<std::optional<ReadResult>>
  read(std::string Stream, Offset From, std::size_t Limit, milliseconds Wait);

private:
  http::Client &m_Http;
  http::Address m_Remote;
  milliseconds m_Timeout;
};

} // namespace sff::platform
