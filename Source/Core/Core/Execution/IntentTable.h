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
  std::string m_RouterAddress; ///< Peer address, to ask for the answer.
  std::string m_Digest;        ///< Of the request body.

  static constexpr const char *Type = "intent";
  static constexpr auto describe() {
    return std::make_tuple(field("key", &Intent::m_KeyHash),
                           field("att", &Intent::m_Attempt),
                           field("inc", &Intent::m_Router),
                           field("addr", &Intent::m_RouterAddress),
                           field("dig", &Intent::m_Digest));
  }
};

/// Gives an attempt up before dispatch. It also voids an intent of the same
/// attempt that lands later.
struct IntentVoid {
  std::string m_KeyHash;
  AttemptId m_Attempt;

  static constexpr const char *Type = "intent_void";
  static constexpr auto describe() {
    return std::make_tuple(field("key", &IntentVoid::m_KeyHash),
                           field("att", &IntentVoid::m_Attempt));
  }
};

/// States that an attempt has been executed and its answer is known.
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

/// What the fold says about one attempt.
enum class AttemptVerdict {
  Pending, ///< Its intent has not been read yet.
  Valid,   ///< It may dispatch.
  Lost,    ///< Another attempt of the key is valid; this one never will be.
  Voided,
};

/// Fold of the intents stream. Validity is decided at a record's own offset
/// and never changes. A key is forgotten once its first record lies
/// \p RetentionOffsets behind, which depends on offsets only and so happens
/// alike on all hosts. Thread safety: none.
class IntentTable {
public:
  explicit IntentTable(Offset RetentionOffsets)
      : m_Retention(RetentionOffsets) {}

  void apply(Offset Position, const IntentRecord &Value);
  /// Folds a batch that was appended as one record, in order.
  void apply(Offset Position, std::span<const IntentRecord> Batch);
  void skip(Offset Position);
  Offset appliedOffset() const { return m_Applied; }

  std::optional<ValidIntent> find(const std::string &KeyHash) const;
  AttemptVerdict verdictOf(const std::string &KeyHash,
                           const AttemptId &Attempt) const;
  /// Number of keys held.
  std::size_t size() const { return m_Keys.size(); }

private:
  struct Key {
    std::optional<ValidIntent> m_Valid;
    std::map<AttemptId, AttemptVerdict> m_Attempts;
  };

  void applyOne(Offset Position, const Intent &Value);
  void applyOne(Offset Position, const IntentVoid &Value);
  void applyOne(Offset Position, const IntentDone &Value);
  bool advance(Offset Position);
  Key &keyAt(Offset Position, const std::string &KeyHash);

  Offset m_Retention;
  Offset m_Applied = 0;
  std::map<std::string, Key> m_Keys;
  /// Keys by the offset of their first record, oldest first.
  std::deque<std::pair<Offset, std::string>> m_Order;
};

} // namespace sff::execution
