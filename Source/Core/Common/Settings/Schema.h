#pragma once

#include "Common/Findings/Findings.h"
#include "Common/Settings/Setting.h"

#include <boost/leaf/result.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace sff::settings {

/// Validated values of all settings of a program.
/// Thread safety: immutable after construction; may be read from any thread.
class Settings {
public:
  explicit Settings(nlohmann::json Values) : m_Values(std::move(Values)) {}

  /// Returns the value of \p Declaration.
  /// Precondition: the schema that validated these settings contains the
  /// declaration.
  template <typename T> T get(const Setting<T> &Declaration) const {
    return readValue(Declaration, T());
  }

  /// Returns all values as a JSON document, keyed by section and key.
  const nlohmann::json &values() const { return m_Values; }

private:
  const nlohmann::json &at(std::string_view Section,
                           std::string_view Key) const;

  template <typename T>
  T readValue(const Setting<T> &Declaration, const T &) const {
    return at(Declaration.m_Section, Declaration.m_Key).template get<T>();
  }
  std::chrono::milliseconds
  readValue(const Setting<std::chrono::milliseconds> &Declaration,
            std::chrono::milliseconds) const {
    return std::chrono::milliseconds(
        at(Declaration.m_Section, Declaration.m_Key).get<std::int64_t>());
  }

  nlohmann::json m_Values;
};

/// Set of all settings that a program accepts.
/// Thread safety: none; build it on one thread before use.
class Schema {
public:
  /// Adds a declaration. The declaration must outlive the schema.
  Schema &add(const Setting<bool> &Declaration);
  Schema &add(const Setting<std::int64_t> &Declaration);
  Schema &add(const Setting<double> &Declaration);
  Schema &add(const Setting<std::string> &Declaration);
  Schema &add(const Setting<std::vector<std::string>> &Declaration);
  Schema &add(const Setting<std::chrono::milliseconds> &Declaration);

  /// Validates a complete document. Fails with a FindingList that contains
  /// every error: unknown sections and keys, missing required keys, wrong types
  /// and values out of range.
  boost::leaf::result<Settings> check(const nlohmann::json &Document,
                                      std::string Source) const;

  /// Reads and validates a JSON file. Fails with FindingList.
  boost::leaf::result<Settings> load(const std::string &Path) const;

  /// Returns the values as indented JSON with secrets masked.
  std::string toPrintableJson(const Settings &Values) const;

  /// Returns a Markdown table of all declarations.
  std::string referenceTable() const;

private:
  struct Entry {
    std::string m_Section;
    std::string m_Key;
    std::string m_Type;
    std::string m_Unit;
    std::string m_Allowed;
    std::string m_Doc;
    nlohmann::json m_Default;
    bool m_Required = false;
    bool m_Secret = false;
    std::function<bool(const nlohmann::json &)> m_IsValid;
  };

  template <typename T>
  Schema &addEntry(const Setting<T> &Declaration, const char *Type,
                   nlohmann::json Default, std::string Allowed,
                   std::function<bool(const nlohmann::json &)> IsValid);
  const Entry *find(std::string_view Section, std::string_view Key) const;
  void reportUnknownKeys(const nlohmann::json &Document,
                         findings::FindingList &Findings) const;

  std::vector<Entry> m_Entries;
};

} // namespace sff::settings
