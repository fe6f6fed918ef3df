#pragma once

#include "Core/Serving/SoftwareVersions.h"
#include "Core/Serving/StreamVersions.h"
#include "Host/OrderLeases.h"
#include "Host/StreamMessages.h"

#include <memory>
#include <optional>
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

  /// Starts to read and write the records of versions. They are read after the
  /// registrations, so that no version can come and leave between the two.
  void start();
  /// Called after the endpoint directory has changed. Tells the store of new
  /// versions, and other hosts if a service has got or lost one of several.
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
  /// Notices when this host has not followed the registrations for so long that
  /// versions may have come and left unseen.
  void noticeInterruption();
  /// Whether the store has just confirmed the registrations.
  bool hasFreshRegistrations() const;
  /// Reads the records of versions and writes what they lack, until the store
  /// has confirmed it.
  Task<void> keepRecords();
  /// Returns whether the store has answered.
  Task<bool> readHistory();
  /// Returns whether the store has confirmed the records.
  Task<bool> writeRecords();
  bool hasUnwrittenRecords() const;
  /// Whether the records are to be confirmed, and this host can tell that they
  /// are complete.
  bool mayConfirm() const;
  /// Called when the store has been restored from an older copy.
  void onStoreRestored();

  HostState &m_State;
  OrderLeases &m_OrderLeases;
  http::Client m_Peers;
  serving::SoftwareVersions m_Versions;
  serving::StreamVersionTable m_Streams;
  StreamNotice m_Pending; ///< Not yet sent.
  /// The records of versions must be read before this host may conclude from
  /// them which versions a service had.
  bool m_NeedsHistory = false;
  /// The store does not say that the records have been confirmed since it was
  /// last restored.
  bool m_NeedsConfirmation = false;
  /// Value of bootTime() from which this host knows of all versions whose
  /// streams may still be taken up.
  std::optional<Instant> m_KnowsAllFrom;
  /// Number of times that the store has been restored.
  std::uint64_t m_StoreRestores = 0;
  /// Value of bootTime() at which the store had confirmed the registrations
  /// when the directory last changed.
  std::optional<Instant> m_LastConfirmedAt;
  AsyncCondition m_RecordsChanged; ///< There are records to read or write.
};

} // namespace sff::host
