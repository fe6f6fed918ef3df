#include "Common/Codec/BoundedJson.h"

#include <algorithm>

namespace sff::codec {

namespace {

using nlohmann::json;

/// Identifies the error in messages, as the library's own errors do. The
/// library uses 401 to 408 for values that are out of range.
constexpr int NestingErrorId = 409;

bool checkDepth(int Depth, json::parse_event_t, json &) {
  if (Depth > MaxNesting)
    throw json::out_of_range::create(NestingErrorId, "nested too deeply",
                                     nullptr);
  return true;
}

} // namespace

json parseBounded(std::string_view Text) {
  const auto Openings =
      std::ranges::count(Text, '[') + std::ranges::count(Text, '{');
  // Most texts have too few brackets to be nested deeply. A parser callback is
  // slow, and hosts read many registrations.
  if (Openings <= MaxNesting)
    return json::parse(Text);
  return json::parse(Text, checkDepth);
}

json tryParseBounded(std::string_view Text) {
  try {
    return parseBounded(Text);
  } catch (const json::exception &) {
    return json(json::value_t::discarded);
  }
}

} // namespace sff::codec
