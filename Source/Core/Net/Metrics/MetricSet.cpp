#include "Net/Metrics/MetricSet.h"

#include <prometheus/text_serializer.h>

namespace sff::metrics {

prometheus::Family<prometheus::Counter> &
MetricSet::counterFamily(const std::string &Name, const std::string &Help) {
  return prometheus::BuildCounter().Name(Name).Help(Help).Register(m_Registry);
}

prometheus::Counter &MetricSet::counter(const std::string &Name,
                                        const std::string &Help) {
  return counterFamily(Name, Help).Add({});
}

prometheus::Family<prometheus::Gauge> &
MetricSet::gaugeFamily(const std::string &Name, const std::string &Help) {
  return prometheus::BuildGauge().Name(Name).Help(Help).Register(m_Registry);
}

prometheus::Gauge &MetricSet::gauge(const std::string &Name,
                                    const std::string &Help) {
  return gaugeFamily(Name, Help).Add({});
}

prometheus::Family<prometheus::Histogram> &
MetricSet::histogramFamily(const std::string &Name, const std::string &Help) {
  return prometheus::BuildHistogram().Name(Name).Help(Help).Register(
      m_Registry);
}

http::Response MetricSet::answer() const {
  http::Response Result;
  Result.m_Headers.set("Content-Type", "text/plain; version=0.0.4");
  Result.m_Body = prometheus::TextSerializer().Serialize(m_Registry.Collect());
  return Result;
}

} // namespace sff::metrics
