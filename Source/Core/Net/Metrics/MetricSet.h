#pragma once

#include "Net/Http/Message.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace sff::metrics {

/// Prometheus metrics of a process and the HTTP response that exports them.
/// Returned references stay valid for the lifetime of the set.
/// Thread safety: any thread.
class MetricSet {
public:
  prometheus::Family<prometheus::Counter> &
  counterFamily(const std::string &Name, const std::string &Help);
  prometheus::Counter &counter(const std::string &Name,
                               const std::string &Help);
  prometheus::Family<prometheus::Gauge> &gaugeFamily(const std::string &Name,
                                                     const std::string &Help);
  prometheus::Gauge &gauge(const std::string &Name, const std::string &Help);
  prometheus::Family<prometheus::Histogram> &
  histogramFamily(const std::string &Name, const std::string &Help);

  /// Returns all metrics in the Prometheus text format.
  http::Response answer() const;

private:
  prometheus::Registry m_Registry;
};

} // namespace sff::metrics
