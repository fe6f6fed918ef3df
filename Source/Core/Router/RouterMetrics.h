#pragma once

#include "Core/Catalogue/EntrySpec.h"
#include "Core/Execution/Outcome.h"
#include "Net/Metrics/MetricSet.h"

#include <string>

namespace sff::router {

/// Metrics of the router. The only labels are traffic class, outcome and
/// reason: a label per entry would create thousands of time series.
/// Thread safety: any thread.
class RouterMetrics {
public:
  RouterMetrics();

  void onOutcome(catalogue::TrafficClass Class, const execution::Outcome &Value,
                 Duration Elapsed);
  /// Counts the end of a stream, complete or interrupted, or of a request whose
  /// caller has disconnected.
  void onRequestEnd(catalogue::TrafficClass Class, std::string_view Outcome,
                    Duration Elapsed);
  void onFirstToken(catalogue::TrafficClass Class, Duration Elapsed);

  prometheus::Counter &retries() { return m_Retries; }
  prometheus::Counter &resumes() { return m_Resumes; }
  prometheus::Counter &crashes() { return m_Crashes; }
  prometheus::Counter &mismatches() { return m_Mismatches; }
  prometheus::Counter &cancels() { return m_Cancels; }
  prometheus::Gauge &waiting() { return m_Waiting; }
  prometheus::Gauge &running() { return m_Running; }
  prometheus::Gauge &logReachable() { return m_LogReachable; }
  prometheus::Gauge &appliedOffset() { return m_AppliedOffset; }

  /// All metrics in the Prometheus text format.
  http::Response answer() const { return m_Set.answer(); }

private:
  void count(catalogue::TrafficClass Class, std::string_view Outcome,
             std::string_view Reason, Duration Elapsed);

  metrics::MetricSet m_Set;
  prometheus::Family<prometheus::Counter> &m_Requests;
  prometheus::Family<prometheus::Histogram> &m_Durations;
  prometheus::Family<prometheus::Histogram> &m_FirstTokens;
  prometheus::Counter &m_Retries;
  prometheus::Counter &m_Resumes;
  prometheus::Counter &m_Crashes;
  prometheus::Counter &m_Mismatches;
  prometheus::Counter &m_Cancels;
  prometheus::Gauge &m_Waiting;
  prometheus::Gauge &m_Running;
  prometheus::Gauge &m_LogReachable;
  prometheus::Gauge &m_AppliedOffset;
};

} // namespace sff::router
