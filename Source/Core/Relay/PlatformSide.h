#pragma once

#include "Net/Platform/LogClient.h"
#include "Net/Timers/DutyLoop.h"

#include <functional>
#include <string>
#include <vector>

namespace sff::relay {

/// What the log holds of `control` and `snapshots` at a start.
struct StoredSnapshots {
  Offset m_ControlFirst = 0;
  Offset m_ControlHead = 0;
  /// Newest stored snapshot records, newest first.
  std::vector<nlohmann::json> m_Snapshots;
};

/// The duty that talks to the platform's log. Requests and results cross to
/// and from the peer duty through the bounded rings of the two loops.
/// Thread safety: the request methods from the peer loop's thread; callbacks
/// run there too. A callback is always called once, unless the loops stop.
class PlatformSide {
public:
  using ReadDone = std::function<void(std::optional<platform::ReadResult>)>;
  using AppendDone = std::function<void(platform::AppendResult)>;
  using SnapshotsDone = std::function<void(std::optional<StoredSnapshots>)>;

  /// Precondition: both loops outlive this object.
  PlatformSide(timers::DutyLoop &Platform, timers::DutyLoop &Peer,
               http::Address Log, milliseconds Timeout);

  void read(std::string Stream, Offset From, std::size_t Limit,
            milliseconds Wait, ReadDone Done);
  void append(std::string Stream, nlohmann::json Data, AppendDone Done);
  /// Reads the bounds of `control` and the newest snapshot records.
  void readSnapshots(SnapshotsDone Done);

private:
  boost::asio::awaitable<std::optional<StoredSnapshots>> fetchSnapshots();
  void deliver(timers::DutyLoop::Task Work);
  bool submit(timers::DutyLoop::Task Work);

  timers::DutyLoop &m_Platform;
  timers::DutyLoop &m_Peer;
  http::Client m_Http;
  platform::LogClient m_Log;
};

} // namespace sff::relay
