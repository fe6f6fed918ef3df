#pragma once

#include "Trace.h"

namespace sff::bench {

struct ExperimentOptions {
  DeploymentSpec m_Deployment;
  int m_Seeds = 5;
  double m_Hours = 12;
  int m_Jobs = 3; ///< Number of concurrent runs.
  bool m_Json = false;
};

void runCurve(const ExperimentOptions &Options);
void runBurst(const ExperimentOptions &Options);
void runOverload(const ExperimentOptions &Options);
void runFaults(const ExperimentOptions &Options);
void runRetries(const ExperimentOptions &Options);
void runRoutingTable(const ExperimentOptions &Options);

} // namespace sff::bench
