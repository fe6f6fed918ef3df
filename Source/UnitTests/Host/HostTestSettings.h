#pragma once

#include "Host/HostSettings.h"

#include <boost/leaf/handle_errors.hpp>

namespace sff::host {

/// Settings of a host of the only availability zone. Nothing listens at the
/// addresses.
inline settings::Settings makeTestSettings(int LeaseMs = 600) {
  const nlohmann::json Document = {
      {"process", {{"host", "h1"}, {"zone", "zone-a"}, {"zones", {"zone-a"}}}},
      {"listen",
       {{"callers", "127.0.0.1:1"},
        {"readiness", "127.0.0.1:2"},
        {"peers", "127.0.0.1:3"},
        {"metrics", "127.0.0.1:4"}}},
      {"store", {{"address", "127.0.0.1:5"}}},
      {"orders", {{"lease_ms", LeaseMs}}}};
  return hostSchema().check(Document, "test").value();
}

} // namespace sff::host
