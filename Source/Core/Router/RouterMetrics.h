#pragma once

#include "Core/Catalogue/EntrySpec.h"
#include "Core/Execution/Outcome.h"
#include "Net/Metrics/MetricSet.h"

#include <string>

namespace sff::router {

/// Metrics of the router. Labels are traffic class, outcome and reason only,
/// because thousands of entries would make as many time series.
/// Thread safety: any thread.
class RouterMetrics {
public:
  RouterMetrics();

  void onOutcome(catalogue::TrafficClass Class, const execution::Outcome &Value,
                 Duration Taken);
  /// A stream that reached its caller whole or was cut, or a request whose
  /// caller has gone.
  void onStreamEnd(catalogue::TrafficClass Class, std::string_view Outcome,
                   Duration Taken);
  void onFirstToken(catalogue::TrafficClass Class, Duration Taken);

  prometheus::Counter &retries() { return m_Retries; }
  prometheus::Counter &resumes() { return m_Resumes; }
  prometheus::Counter &crashes() { return m_Crashes; }
  prometheus::Counter &mismatches() { return m_Mismatches; }
  prometheus::Counter &cancels() { return m_Cancels; }
  prometheus::Gauge &waiting() { return m_Waiting; }
  prometheus::Gauge &running() { return m_Running; }
  prometheus::Gauge &logReachable() { return m_LogReachable; }
  prometheus::Gauge &appliedOffset() { return m_AppliedOffset; }

  /// All metrics in the text format.
  http::Response answer() const { return m_Set.answer(); }

private:
  void count(catalogue::TrafficClass Class, std::string_view Outcome,
             std::string_view Reason, Duration Taken);

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
