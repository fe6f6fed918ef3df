#pragma once

#include "Common/Codec/Codec.h"
#include "Common/Identity/Ids.h"

#include <boost/leaf/result.hpp>

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>

namespace sff::execution {

using codec::field;

/// Announces one attempt to execute a non-idempotent request.
struct Intent {
  std::string m_KeyHash;
  AttemptId m_Attempt;
  IncarnationId m_Router;
  /// Peer address from which the answer can be requested.
  std::string m_RouterAddress;
  std::string m_Digest; ///< Digest of the request body.

  static constexpr const char *Type = "intent";
  static constexpr auto describe() {
    return std::make_tuple(field("key", &Intent::m_KeyHash),
                           field("att", &Intent::m_Attempt),
                           field("inc", &Intent::m_Router),
                           field("addr", &Intent::m_RouterAddress),
                           field("dig", &Intent::m_Digest));
  }
};

/// Voids an attempt that has not been dispatched, including an intent of the
/// same attempt that is appended later.
struct IntentVoid {
  std::string m_KeyHash;
  AttemptId m_Attempt;

  static constexpr const char *Type = "intent_void";
  static constexpr auto describe() {
    return std::make_tuple(field("key", &IntentVoid::m_KeyHash),
                           field("att", &IntentVoid::m_Attempt));
  }
};

/// Records that an attempt has been executed and its answer is known.
struct IntentDone {
  std::string m_KeyHash;
  AttemptId m_Attempt;

  static constexpr const char *Type = "intent_done";
  static constexpr auto describe() {
    return std::make_tuple(field("key", &IntentDone::m_KeyHash),
                           field("att", &IntentDone::m_Attempt));
  }
};

using IntentRecord = std::variant<Intent, IntentVoid, IntentDone>;

nlohmann::json toJson(const IntentRecord &Value);
/// Fails with codec::DecodeError.
boost::leaf::result<IntentRecord> intentFromJson(const nlohmann::json &Input);

/// The valid intent of a key.
struct ValidIntent {
  Offset m_Offset = 0;
  Intent m_Intent;
  bool m_Done = false;
};

/// The state of one attempt after all records read so far.
enum class AttemptState {
  Pending, ///< The intent has not been read yet.
  Valid,   ///< The attempt may be dispatched.
  /// Another attempt of the key was valid first; this one never becomes valid.
  Lost,
  Voided,
};

/// State of the intents stream, computed by applying its records in order.
/// Whether an intent is valid is decided at its own offset; only a later void
/// of the same attempt can revoke it. A key is removed when its first record is
/// more than \p RetentionOffsets behind. This depends only on offsets, so all
/// hosts remove it at the same point of the stream. Thread safety: none.
class IntentTable {
public:
  explicit IntentTable(Offset RetentionOffsets)
      : m_Retention(RetentionOffsets) {}

  void apply(Offset Position, const IntentRecord &Value);
  /// Applies the records of a batch that was appended as one record, in order.
  void apply(Offset Position, std::span<const IntentRecord> Batch);
  void skip(Offset Position);
  Offset appliedOffset() const { return m_Applied; }

  std::optional<ValidIntent> find(const std::string &KeyHash) const;
  AttemptState stateOf(const std::string &KeyHash,
                       const AttemptId &Attempt) const;
  /// Returns the number of keys in the table.
  std::size_t size() const { return m_Keys.size(); }

private:
  struct KeyState {
    std::optional<ValidIntent> m_Valid;
    std::map<AttemptId, AttemptState> m_Attempts;
  };

  void applyRecord(Offset Position, const Intent &Value);
  void applyRecord(Offset Position, const IntentVoid &Value);
  void applyRecord(Offset Position, const IntentDone &Value);
  bool advanceTo(Offset Position);
  KeyState &findOrAddKey(Offset Position, const std::string &KeyHash);

  Offset m_Retention;
  Offset m_Applied = 0;
  std::map<std::string, KeyState> m_Keys;
  /// Keys by the offset of their first record, oldest first.
  std::deque<std::pair<Offset, std::string>> m_KeysByAge;
};

} // namespace sff::execution
