#pragma once

#include "Core/Serving/SoftwareVersions.h"
#include "Core/Serving/StreamVersions.h"
#include "Host/OrderLeases.h"
#include "Host/StreamMessages.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sff::host {

/// Knows which software version began each stream that can be resumed, so that
/// it goes on at no other, also at another host than the one that began it.
///
/// While a service has one version there is nothing to remember. While it has
/// several, each stream's version is sent to the holders of two availability
/// zones, which outlive this host; a host that does not know the version of a
/// stream asks the holders of all zones.
/// Thread safety: use from the host's io_context only.
class StreamTracker {
public:
  StreamTracker(HostState &State, OrderLeases &Leases)
      : m_State(State), m_OrderLeases(Leases),
        m_Peers(State.m_Context.get_executor()) {}

  /// Starts to read which versions services had before this host started.
  void start();
  /// Called after the endpoint directory has changed. Tells other hosts and the
  /// store if a service has got or lost one of several versions.
  void onDirectoryChanged();
  /// Called when the caller of a stream is about to get its first event.
  void onBegun(const StreamQuery &Stream, const std::string &Version);
  /// The version that began a stream, or nothing if it cannot be known. Asks
  /// other hosts if needed.
  Task<std::optional<std::string>> findVersion(StreamQuery Stream);
  /// Whether a new stream may begin at this version of a service.
  bool mayBegin(const std::string &Service, const std::string &Version) const;

  /// Handles the messages of other hosts.
  StreamAnswer onQuery(const StreamQuery &Query);
  void onNotice(const StreamNotice &Notice);

private:
  /// The answers of the holders to one query.
  struct PeerAnswers {
    AsyncCondition m_Changed;
    std::size_t m_Pending = 0;
    std::vector<StreamAnswer> m_Answers;
  };

  /// The version as far as this host knows it by itself.
  std::optional<std::string> findLocally(const StreamQuery &Stream);
  /// The version by the answers of other hosts.
  std::optional<std::string>
  decide(const StreamQuery &Stream,
         std::span<const StreamAnswer> Answers) const;
  Task<std::vector<StreamAnswer>> askHolders(StreamQuery Stream);
  Task<void> askHolder(std::string Holder, StreamQuery Stream,
                       std::shared_ptr<PeerAnswers> Answers);
  void announce(const serving::StreamVersion &Begun);
  Task<void> sendBatch();
  Task<void> sendNotice(std::string Holder, StreamNotice Notice);
  /// The holders that keep the versions of this host's streams.
  std::vector<std::string> recordKeepers() const;
  Task<void> readHistory();
  /// Writes the versions of all services in m_Unwritten, for hosts that start,
  /// until the store has confirmed them.
  Task<void> writeRecords();
  /// Writes the versions that a service has had by now. Returns whether the
  /// store has confirmed it.
  Task<bool> writeVersions(std::string Service);

  HostState &m_State;
  OrderLeases &m_OrderLeases;
  http::Client m_Peers;
  serving::SoftwareVersions m_Versions;
  serving::StreamVersionTable m_Streams;
  StreamNotice m_Pending; ///< Not yet sent.
  /// Services whose versions have changed since they were last written.
  std::set<std::string> m_Unwritten;
  bool m_IsWriting = false; ///< writeRecords() runs.
};

} // namespace sff::host
