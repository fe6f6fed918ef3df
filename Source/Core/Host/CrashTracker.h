#pragma once

#include "Core/Retry/CrashDetector.h"
#include "Core/Retry/CrashQuarantine.h"
#include "Core/Serving/EndpointDirectory.h"
#include "Host/HostMetrics.h"
#include "Host/PartTracker.h"
#include "Host/Ports.h"
#include "Host/StoreStatus.h"
#include "Net/Timers/AsyncCondition.h"

#include <span>
#include <vector>

namespace sff::host {

class LogQueries;

/// Attributes crashes of endpoints to the requests that were running there, and
/// shares them with the other hosts through a log in the store, so that all
/// hosts reject a request that crashes endpoints. Hosts that start later read
/// the retained part of the log. While the store is unreachable, hosts learn of
/// crashes from the messages that they exchange anyway.
/// Thread safety: use from the host's io_context only.
class CrashTracker {
public:
  /// Precondition: \p Status and \p Metrics outlive the object.
  CrashTracker(std::shared_ptr<Store> Log, StoreStatus &Status,
               HostMetrics &Metrics);

  /// Reads the crashes that other hosts share. Does not return.
  /// Precondition: \p Queries outlives the run of the io_context.
  Task<void> follow(LogQueries &Queries);
  /// Shares the crashes that this host notices. Does not return.
  Task<void> publish();

  /// Called before the attempt \p Run of a request is sent to \p Endpoint, and
  /// when it has ended there in whatever way.
  void onRequestSent(const serving::Endpoint &Endpoint,
                     const std::string &Fingerprint, const RequestId &Run,
                     std::vector<PromptPartId> Parts);
  /// Called when a request has completed whose answer began at \p BegunAt.
  void onCompleted(std::span<const PromptPartId> Parts, Instant BegunAt) {
    share(m_Parts.onCompleted(Parts, BegunAt));
  }
  void onRequestEnded(const EndpointId &Endpoint, const RequestId &Run) {
    m_Detector.onRequestEnded(Endpoint, Run);
  }
  bool hasRunningRequests(const EndpointId &Endpoint) const {
    return m_Detector.hasRunningRequests(Endpoint);
  }

  /// Called when the attempt \p Run of a request got no complete answer though
  /// \p Endpoint may have run it.
  void onRequestLost(const serving::Endpoint &Endpoint,
                     const std::string &Fingerprint, const RequestId &Run);
  /// Whether onEndpointDown() would count a crash for a lost request.
  bool hasLostRequests(const EndpointId &Id) const;
  /// Called when this host has lost its links, which explains the requests that
  /// it has lost.
  void onLinksLost() { m_Detector.forgetLostRequests(); }
  /// Called when the endpoint refuses connections, has restarted or has
  /// vanished from the registry. Counts a crash for the requests that were lost
  /// at it shortly before.
  void onEndpointDown(const EndpointId &Id);
  /// Called when the endpoint has crashed, though its connections may still be
  /// open. Counts a crash also for the requests that run there.
  void onEndpointCrashed(const EndpointId &Id);
  /// Called when a request has completed. Its known crashes no longer count at
  /// any host that reads the log.
  void onSuccess(const std::string &Fingerprint);
  /// Adds the crashes that other hosts have noticed.
  void onMessages(std::span<const CrashMessage> Messages);

  /// Returns true if the request has crashed too many endpoints to be sent.
  bool isRejected(const std::string &Fingerprint) const;
  /// Returns the part of a prompt for which a request must not be sent now.
  std::optional<PromptPartId>
  findRejected(std::span<const PromptPartId> Parts) const {
    return m_Parts.findRejected(Parts);
  }
  /// Called when a request is about to be sent. Returns the parts of which it
  /// is the trial.
  std::vector<PromptPartId> onSending(std::span<const PromptPartId> Parts) {
    return m_Parts.onSending(Parts);
  }
  /// Called when the trial of \p Part has not run.
  void onTrialNotRun(const PromptPartId &Part) { m_Parts.onTrialNotRun(Part); }
  /// Called when a request is rejected for a part of its prompt.
  void onRejectedPart(const PromptPartId &Part) {
    share(m_Parts.onRejected(Part, m_LogReachable));
  }
  /// Called when a request is rejected. Shares its crashes again before the
  /// store discards them, for hosts that start later.
  void onRejected(const std::string &Fingerprint);
  /// Returns the crashes that this host has noticed or learned of recently.
  std::vector<CrashMessage> recentMessages() const;

private:
  /// Adds the proofs that other hosts have shared.
  void onProofs(std::span<const retry::CrashProof> Proofs);
  /// Counts the requests of this host that ended with one crash.
  void onNoticed(std::span<const retry::CrashReport> Ended);
  /// The fields of the log line of a noticed or reported crash.
  nlohmann::json describe(const retry::CrashReport &Report) const;
  void logReported(const retry::CrashReport &Reported,
                   std::int64_t NoticedAtUnixMs) const;
  /// Updates the metrics of a request that has crashed endpoints.
  void measure(const std::string &Fingerprint);
  void share(CrashNews News);
  /// Removes and returns what one record of the log can hold.
  CrashNews takeUnpublished();

  std::shared_ptr<Store> m_Log;
  StoreStatus &m_StoreStatus;
  HostMetrics &m_Metrics;
  retry::CrashQuarantine m_Quarantine;
  retry::CrashDetector m_Detector;
  PartTracker m_Parts;
  bool m_LogReachable = true;
  CrashNews m_Unpublished;
  timers::AsyncCondition m_PublishRequested;
};

} // namespace sff::host
