#include "Common/Settings/Schema.h"

#include <boost/asio/ip/address_v4.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <fstream>
#include <sstream>

namespace sff::settings {

namespace {

constexpr int JsonIndent = 2;

std::string formatNumber(double Value) {
  std::ostringstream Out;
  Out << Value;
  return Out.str();
}

std::string describeRange(const Range &Allowed, std::string_view Unit) {
  const Range Unlimited;
  std::string Text = "a number";
  if (Allowed.m_Min != Unlimited.m_Min)
    Text += " from " + formatNumber(Allowed.m_Min);
  if (Allowed.m_Max != Unlimited.m_Max)
    Text += " up to " + formatNumber(Allowed.m_Max);
  if (!Unit.empty())
    Text += " " + std::string(Unit);
  return Text;
}

bool isInRange(const nlohmann::json &Value, const Range &Allowed) {
  const double Number = Value.get<double>();
  return Number >= Allowed.m_Min && Number <= Allowed.m_Max;
}

bool isName(std::string_view Text) {
  return !Text.empty() && std::ranges::all_of(Text, [](unsigned char Char) {
    return std::isalnum(Char) || Char == '-' || Char == '_' || Char == '.';
  });
}

bool isAddress(std::string_view Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return false;
  const std::string_view PortText = Text.substr(Colon + 1);
  std::uint16_t Port = 0;
  const auto [End, Error] =
      std::from_chars(PortText.data(), PortText.data() + PortText.size(), Port);
  if (Error != std::errc() || End != PortText.data() + PortText.size())
    return false;
  boost::system::error_code Ignored;
  boost::asio::ip::make_address_v4(std::string(Text.substr(0, Colon)), Ignored);
  return !Ignored;
}

bool isValidText(const nlohmann::json &Value, TextKind Kind) {
  if (!Value.is_string())
    return false;
  const auto &Text = Value.get_ref<const std::string &>();
  switch (Kind) {
  case TextKind::Any:
    return true;
  case TextKind::Name:
    return isName(Text);
  case TextKind::Address:
    return isAddress(Text);
  }
  return false;
}

const char *describeTextKind(TextKind Kind) {
  switch (Kind) {
  case TextKind::Any:
    return "a string";
  case TextKind::Name:
    return "a name of letters, digits, '-', '_' and '.'";
  case TextKind::Address:
    return "a numeric address and port such as 10.0.0.1:8080";
  }
  return "";
}

std::string jsonPointer(std::string_view Section, std::string_view Key) {
  return "/" + std::string(Section) + "/" + std::string(Key);
}

} // namespace

const nlohmann::json &Settings::at(std::string_view Section,
                                   std::string_view Key) const {
  return m_Values.at(std::string(Section)).at(std::string(Key));
}

template <typename T>
Schema &Schema::addEntry(const Setting<T> &Declaration, const char *Type,
                         nlohmann::json Default, std::string Allowed,
                         std::function<bool(const nlohmann::json &)> IsValid) {
  m_Entries.push_back(
      {std::string(Declaration.m_Section), std::string(Declaration.m_Key), Type,
       std::string(Declaration.m_Unit), std::move(Allowed),
       std::string(Declaration.m_Doc), std::move(Default),
       Declaration.m_Required, Declaration.m_Secret, std::move(IsValid)});
  return *this;
}

Schema &Schema::add(const Setting<bool> &Declaration) {
  return addEntry(
      Declaration, "bool", Declaration.m_Default, "true or false",
      [](const nlohmann::json &Value) { return Value.is_boolean(); });
}

Schema &Schema::add(const Setting<std::int64_t> &Declaration) {
  return addEntry(Declaration, "integer", Declaration.m_Default,
                  describeRange(Declaration.m_Range, Declaration.m_Unit),
                  [Allowed = Declaration.m_Range](const nlohmann::json &Value) {
                    return Value.is_number_integer() &&
                           isInRange(Value, Allowed);
                  });
}

Schema &Schema::add(const Setting<double> &Declaration) {
  return addEntry(Declaration, "number", Declaration.m_Default,
                  describeRange(Declaration.m_Range, Declaration.m_Unit),
                  [Allowed = Declaration.m_Range](const nlohmann::json &Value) {
                    return Value.is_number() && isInRange(Value, Allowed);
                  });
}

Schema &Schema::add(const Setting<std::string> &Declaration) {
  return addEntry(Declaration, "string", Declaration.m_Default,
                  describeTextKind(Declaration.m_TextKind),
                  [Kind = Declaration.m_TextKind](const nlohmann::json &Value) {
                    return isValidText(Value, Kind);
                  });
}

Schema &Schema::add(const Setting<std::vector<std::string>> &Declaration) {
  return addEntry(
      Declaration, "list of strings", Declaration.m_Default,
      std::string("a list, each ") + describeTextKind(Declaration.m_TextKind),
      [Kind = Declaration.m_TextKind](const nlohmann::json &Value) {
        return Value.is_array() &&
               std::ranges::all_of(Value, [Kind](const nlohmann::json &Item) {
                 return isValidText(Item, Kind);
               });
      });
}

Schema &Schema::add(const Setting<std::chrono::milliseconds> &Declaration) {
  return addEntry(Declaration, "duration", Declaration.m_Default.count(),
                  describeRange(Declaration.m_Range, "ms"),
                  [Allowed = Declaration.m_Range](const nlohmann::json &Value) {
                    return Value.is_number_integer() &&
                           isInRange(Value, Allowed);
                  });
}

const Schema::Entry *Schema::find(std::string_view Section,
                                  std::string_view Key) const {
  const auto It = std::ranges::find_if(m_Entries, [&](const Entry &Item) {
    return Item.m_Section == Section && Item.m_Key == Key;
  });
  return It == m_Entries.end() ? nullptr : &*It;
}

void Schema::reportUnknownKeys(const nlohmann::json &Document,
                               findings::FindingList &Findings) const {
  for (const auto &[Section, Content] : Document.items()) {
    const bool Known =
        std::ranges::any_of(m_Entries, [&Name = Section](const Entry &Item) {
          return Item.m_Section == Name;
        });
    if (!Known) {
      Findings.add("/" + Section, "an unknown section",
                   "the sections of the settings reference");
      continue;
    }
    if (!Content.is_object()) {
      Findings.add("/" + Section, Content.dump(), "an object");
      continue;
    }
    for (const auto &Item : Content.items())
      if (!find(Section, Item.key()))
        Findings.add(jsonPointer(Section, Item.key()), "an unknown key",
                     "the keys of the settings reference");
  }
}

boost::leaf::result<Settings> Schema::check(const nlohmann::json &Document,
                                            std::string Source) const {
  findings::FindingList Findings(std::move(Source));
  if (!Document.is_object()) {
    Findings.add("/", Document.type_name(), "an object of sections");
    return boost::leaf::new_error(std::move(Findings));
  }
  reportUnknownKeys(Document, Findings);
  nlohmann::json Values = nlohmann::json::object();
  for (const Entry &Item : m_Entries) {
    const nlohmann::json *Configured = nullptr;
    if (auto Section = Document.find(Item.m_Section);
        Section != Document.end() && Section->is_object())
      if (auto Value = Section->find(Item.m_Key); Value != Section->end())
        Configured = &*Value;
    if (!Configured && Item.m_Required)
      Findings.add(jsonPointer(Item.m_Section, Item.m_Key), "nothing",
                   Item.m_Allowed);
    if (Configured && !Item.m_IsValid(*Configured))
      Findings.add(jsonPointer(Item.m_Section, Item.m_Key),
                   Item.m_Secret ? "a rejected secret" : Configured->dump(),
                   Item.m_Allowed);
    Values[Item.m_Section][Item.m_Key] =
        Configured ? *Configured : Item.m_Default;
  }
  if (!Findings.empty())
    return boost::leaf::new_error(std::move(Findings));
  return Settings(std::move(Values));
}

boost::leaf::result<Settings> Schema::load(const std::string &Path) const {
  findings::FindingList Findings(Path);
  std::ifstream File(Path);
  if (!File) {
    Findings.add("/", "no readable file", "a JSON file");
    return boost::leaf::new_error(std::move(Findings));
  }
  try {
    return check(nlohmann::json::parse(File), Path);
  } catch (const nlohmann::json::parse_error &Error) {
    Findings.add("byte " + std::to_string(Error.byte), Error.what(),
                 "a JSON document");
    return boost::leaf::new_error(std::move(Findings));
  }
}

std::string Schema::toPrintableJson(const Settings &Values) const {
  nlohmann::json Document = Values.values();
  for (const Entry &Item : m_Entries)
    if (Item.m_Secret)
      Document[Item.m_Section][Item.m_Key] = "********";
  return Document.dump(JsonIndent);
}

std::string Schema::referenceTable() const {
  std::ostringstream Out;
  Out << "| section | key | type | unit | default | allowed | meaning |\n"
      << "|---|---|---|---|---|---|---|\n";
  for (const Entry &Item : m_Entries)
    Out << "| " << Item.m_Section << " | " << Item.m_Key << " | " << Item.m_Type
        << " | " << Item.m_Unit << " | "
        << (Item.m_Required ? std::string("required") : Item.m_Default.dump())
        << " | " << Item.m_Allowed << " | " << Item.m_Doc << " |\n";
  return Out.str();
}

} // namespace sff::settings
