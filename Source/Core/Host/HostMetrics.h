#pragma once

#include "Common/Time/Instant.h"
#include "Net/Metrics/MetricSet.h"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace sff::host {

/// Metrics of one host. Labels name outcomes, reasons, results, store calls and
/// a bounded number of requests that crash endpoints: with labels for models,
/// each of thousands of models would add a time series.
/// Thread safety: any thread, but setSuspect() from one thread only.
class HostMetrics {
public:
  HostMetrics();

  /// Counts a finished caller request and records its duration. \p Reason is
  /// empty for answered requests.
  void onOutcome(std::string_view Outcome, std::string_view Reason,
                 Duration Taken);
  void onFirstByte(Duration Taken) { observe(m_FirstByte, Taken); }
  /// Records how long the first byte of an answer took, relative to the time
  /// that was expected when its endpoint was chosen.
  void onExpectedFirstByte(Duration Taken, Duration Expected);
  void onRetry() { m_Retries.Increment(); }
  /// Counts a request whose connection was lost before a complete answer.
  void onLostRequest() { m_LostRequests.Increment(); }
  /// Counts a crash that is attributed to a request. \p Source tells whether
  /// this host has observed the crash or was told of it.
  void onCrash(std::string_view Source);
  /// Records how many crashes count for a request. Of the requests that have
  /// crashed two endpoints or more, the first MaxSuspects get a time series.
  void setSuspect(const std::string &Fingerprint, std::size_t Crashes);
  /// Records how many crashes count for a part of prompts. The first
  /// MaxSuspects parts with two or more get a time series.
  void setSuspectPart(const std::string &Part, std::size_t Crashes);
  /// Counts a change of what is known of crashes by prompt part.
  void onPartEvent(std::string_view Event);
  void onResume() { m_Resumes.Increment(); }
  /// Counts a request that was passed on to another host, by its result.
  void onRelay(std::string_view Result);
  /// Counts a request that another host has passed on, by what became of it.
  void onRelayRequest(std::string_view Result);
  /// Counts a round of connections that test this host's links to endpoints.
  void onLinkProbes(std::string_view Result);
  /// Counts \p Checks health checks of one round that tests the links.
  void onLinkChecks(std::string_view Result, std::size_t Checks);
  /// Sets whether this host is cut off from all endpoints.
  void setIsolated(bool IsIsolated);
  /// Counts an endpoint that sends nothing for too long, by what this host does
  /// with the request.
  void onSilence(std::string_view Reaction);
  /// Counts an answer of an endpoint. \p Framing tells how the end of its body
  /// is marked, \p End how the body ended.
  void onAnswer(std::string_view Framing, std::string_view End);
  /// Counts an answer that ended with its connection, by what is known of the
  /// end.
  void onAnswerEndJudged(std::string_view Verdict);
  /// Counts an answer that is given up because it is too long, by the limit
  /// that it exceeds.
  void onAnswerTooLong(std::string_view Limit);
  /// Counts a decision of the queue on a request that ends its wait, and
  /// records how long it has waited. \p Reason is empty if it is sent.
  void onAdmission(std::string_view Outcome, std::string_view Reason,
                   Duration Waited);
  /// Counts a request or connection that the server has rejected itself.
  void onClientRejected(std::string_view Cause);
  void onOrder(std::string_view Result);
  /// Sets the replicas of the models that have too few, as far as this host
  /// gives orders.
  void setOverloadedReplicas(int Wanted, int Held);
  void onSwap(Duration Taken) { observe(m_Swaps, Taken); }
  void onStoreCall(std::string_view Call, bool Answered);
  /// Counts a restore of the store from an older copy.
  void onStoreRestored() { m_StoreRestores.Increment(); }
  /// Counts a query to another host whether a log has grown, by whether it
  /// spared a read.
  void onLogQuery(std::string_view Result);
  void onUnreadableRecords(int Records);
  /// Counts a stream that a caller takes up, by what becomes of it.
  void onStreamTakenUp(std::string_view Result);
  /// Counts a message that tells another host the versions of streams.
  void onStreamNotice(bool Answered);
  /// Counts the removal of an endpoint's registration, by what this host did.
  void onRemoval(std::string_view Result);
  /// Counts a notice of an endpoint about itself, by its kind.
  void onEndpointNotice(std::string_view Kind);
  void setEndpoints(std::size_t Count);
  /// Sets the number of endpoints that name a request rate.
  void setLimitedEndpoints(std::size_t Count);
  /// Sets the number of endpoints that name a limit on rejections.
  void setRejectionLimitedEndpoints(std::size_t Count);
  /// Counts units of a tenant's quota, by what became of their requests.
  void onQuota(const std::string &Tenant, std::string_view Result,
               double Units);
  /// Sets what the hosts of the zones use and hold for which this host is the
  /// lessor, as of the latest report.
  void setQuotaUsed(const std::string &Tenant, double Units);
  void setCatalogueVersion(std::int64_t Version);
  /// Sets the times since the store last confirmed the catalogue and the
  /// registrations.
  void setBeliefAges(Duration Catalogue, Duration Endpoints);

  /// All metrics in the Prometheus text format.
  http::Response answer() const { return m_Set.answer(); }

private:
  static constexpr std::size_t MaxSuspects = 20;
  /// The first tenants get time series of their own.
  static constexpr std::size_t MaxTenants = 32;
  static constexpr const char *OtherTenants = "other";

  /// The label of a tenant.
  const std::string &tenantLabel(const std::string &Tenant);

  /// Sets the time series of \p Name. It exists while there are two crashes or
  /// more, if there are fewer than MaxSuspects others.
  static void setBounded(std::map<std::string, prometheus::Gauge *> &Series,
                         prometheus::Family<prometheus::Gauge> &Family,
                         const std::string &Label, const std::string &Name,
                         std::size_t Crashes);
  static void observe(prometheus::Histogram &Target, Duration Taken);
  prometheus::Histogram &histogram(const std::string &Name,
                                   const std::string &Help);

  metrics::MetricSet m_Set;
  prometheus::Family<prometheus::Counter> &m_Requests;
  prometheus::Family<prometheus::Counter> &m_Admissions;
  prometheus::Histogram &m_AdmissionWaits;
  prometheus::Family<prometheus::Counter> &m_Orders;
  prometheus::Gauge &m_WantedReplicas;
  prometheus::Gauge &m_HeldReplicas;
  prometheus::Family<prometheus::Counter> &m_StoreCalls;
  prometheus::Counter &m_StoreRestores;
  prometheus::Family<prometheus::Counter> &m_LogQueries;
  prometheus::Histogram &m_Durations;
  prometheus::Histogram &m_FirstByte;
  prometheus::Histogram &m_FirstByteRatios;
  prometheus::Histogram &m_Swaps;
  prometheus::Counter &m_Retries;
  prometheus::Counter &m_Resumes;
  prometheus::Counter &m_LostRequests;
  prometheus::Family<prometheus::Counter> &m_Relays;
  prometheus::Family<prometheus::Counter> &m_RelayRequests;
  prometheus::Family<prometheus::Counter> &m_LinkProbes;
  prometheus::Family<prometheus::Counter> &m_LinkChecks;
  prometheus::Gauge &m_Isolated;
  prometheus::Family<prometheus::Counter> &m_Silences;
  prometheus::Family<prometheus::Counter> &m_Answers;
  prometheus::Family<prometheus::Counter> &m_AnswerEnds;
  prometheus::Family<prometheus::Counter> &m_AnswersTooLong;
  prometheus::Family<prometheus::Counter> &m_ClientRejections;
  prometheus::Family<prometheus::Counter> &m_Crashes;
  prometheus::Family<prometheus::Gauge> &m_SuspectCrashes;
  std::map<std::string, prometheus::Gauge *> m_Suspects; ///< By fingerprint.
  prometheus::Family<prometheus::Counter> &m_PartEvents;
  prometheus::Family<prometheus::Gauge> &m_SuspectPartCrashes;
  std::map<std::string, prometheus::Gauge *> m_SuspectParts;
  prometheus::Counter &m_MalformedRecords;
  prometheus::Family<prometheus::Counter> &m_StreamsTakenUp;
  prometheus::Family<prometheus::Counter> &m_StreamNotices;
  prometheus::Family<prometheus::Counter> &m_Removals;
  prometheus::Family<prometheus::Counter> &m_EndpointNotices;
  prometheus::Family<prometheus::Counter> &m_Quotas;
  prometheus::Family<prometheus::Gauge> &m_QuotaUsed;
  std::set<std::string> m_Tenants; ///< Those that have time series.
  prometheus::Gauge &m_Endpoints;
  prometheus::Gauge &m_LimitedEndpoints;
  prometheus::Gauge &m_RejectionLimitedEndpoints;
  prometheus::Gauge &m_CatalogueVersion;
  prometheus::Gauge &m_CatalogueAge;
  prometheus::Gauge &m_EndpointsAge;
};

} // namespace sff::host
