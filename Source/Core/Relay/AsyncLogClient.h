#pragma once

#include "Net/Platform/LogClient.h"
#include "Net/Timers/EventLoop.h"

#include <functional>
#include <string>
#include <vector>

namespace sff::relay {

/// Contents of the log from which a relay recovers its state.
struct StoredSnapshots {
  Offset m_OldestControlOffset = 0; ///< Oldest offset of `control` in the log.
  Offset m_ControlHead = 0;         ///< Newest offset of `control` in the log.
  /// The last few records of `snapshots`, newest first.
  std::vector<nlohmann::json> m_Snapshots;
};

/// Client of the platform's log that runs on its own loop. Requests and results
/// pass between the peer loop and the log loop through their bounded rings.
/// Each callback is called exactly once, unless the loops stop.
/// Thread safety: all requests on the peer loop's thread, where the callbacks
/// run too.
class AsyncLogClient {
public:
  using ReadCallback = std::function<void(std::optional<platform::ReadResult>)>;
  using AppendCallback = std::function<void(platform::AppendResult)>;
  using SnapshotsCallback = std::function<void(std::optional<StoredSnapshots>)>;

  /// Precondition: both loops outlive this object.
  AsyncLogClient(timers::EventLoop &LogLoop, timers::EventLoop &PeerLoop,
                 http::Address Log, milliseconds Timeout);

  void read(std::string Stream, Offset From, std::size_t Limit,
            milliseconds Wait, ReadCallback Done);
  void append(std::string Stream, nlohmann::json Data, AppendCallback Done);
  /// Reads the newest snapshot records and then the bounds of `control`.
  void readSnapshots(SnapshotsCallback Done);

private:
  boost::asio::awaitable<std::optional<StoredSnapshots>> fetchSnapshots();
  void postResult(timers::EventLoop::Task Work);
  bool postRequest(timers::EventLoop::Task Work);

  timers::EventLoop &m_LogLoop;
  timers::EventLoop &m_PeerLoop;
  http::Client m_Http;
  platform::LogClient m_Log;
};

} // namespace sff::relay
