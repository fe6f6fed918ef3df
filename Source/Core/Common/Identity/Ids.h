#pragma once

#include <nlohmann/json.hpp>

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>

namespace sff {

/// A string identifier. \p Tag makes identifiers of different kinds distinct
/// types, so that the compiler rejects one in place of another.
template <typename Tag> struct Identifier {
  std::string m_Value;

  Identifier() = default;
  explicit Identifier(std::string Value) : m_Value(std::move(Value)) {}

  bool empty() const { return m_Value.empty(); }
  const std::string &str() const { return m_Value; }

  friend auto operator<=>(const Identifier &, const Identifier &) = default;

  friend std::ostream &operator<<(std::ostream &Out, const Identifier &Id) {
    return Out << Id.m_Value;
  }
  friend void to_json(nlohmann::json &Out, const Identifier &Id) {
    Out = Id.m_Value;
  }
  friend void from_json(const nlohmann::json &In, Identifier &Id) {
    Id.m_Value = In.get<std::string>();
  }
};

/// Entry host of the system; stays the same across process restarts.
using HostId = Identifier<struct HostTag>;
/// One run of a process. A new id is generated at every start, because hosts
/// keep no persistent state.
using IncarnationId = Identifier<struct IncarnationTag>;
/// Backend server that runs requests: a model engine or a plain service.
using EndpointId = Identifier<struct EndpointTag>;
using ZoneId = Identifier<struct ZoneTag>;
/// Name of a catalogue entry: a model, an adapter or a plain service.
using EntryName = Identifier<struct EntryTag>;
using RequestId = Identifier<struct RequestTag>;
/// One dispatch attempt of a request.
using AttemptId = Identifier<struct AttemptTag>;
/// Unique id of a log record; repeated appends of the same record share it.
using RecordId = Identifier<struct RecordTag>;
/// A part of a prompt that requests may share.
using PromptPartId = Identifier<struct PromptPartTag>;
using LoanId = Identifier<struct LoanTag>;

/// Position of a record in a log stream. Offsets start at 1; 0 means "none".
using Offset = std::uint64_t;

/// Returns 128 random bits as 32 hexadecimal digits.
/// Thread safety: may be called from any thread.
std::string makeRandomId();

/// Returns a new random identifier of the given kind.
template <typename Id> Id makeId() { return Id(makeRandomId()); }

} // namespace sff

template <typename Tag> struct std::hash<sff::Identifier<Tag>> {
  std::size_t operator()(const sff::Identifier<Tag> &Id) const noexcept {
    return std::hash<std::string>()(Id.m_Value);
  }
};
