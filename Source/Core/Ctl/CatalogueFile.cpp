#include "Ctl/CatalogueFile.h"

#include <fstream>
#include <set>
#include <sstream>

namespace sff::ctl {

namespace {

constexpr const char *EntriesKey = "entries";
constexpr int EntryNameDepth = 2;

/// Parses a document and reports duplicate entry names, of which the JSON
/// parser would silently keep the last.
nlohmann::json parseReportingDuplicates(const std::string &Text,
                                        findings::FindingList &Findings) {
  std::set<std::string> EntryNames;
  return nlohmann::json::parse(Text, [&](int Depth,
                                         nlohmann::json::parse_event_t Event,
                                         nlohmann::json &Value) {
    if (Event == nlohmann::json::parse_event_t::key &&
        Depth == EntryNameDepth &&
        !EntryNames.insert(Value.get<std::string>()).second)
      Findings.add("/entries/" + Value.get<std::string>(),
                   "a second entry of this name", "one entry");
    return true;
  });
}

/// Decodes one field. A value that does not encode back to the same JSON, such
/// as an unknown traffic class, is reported as not being of the field's type.
template <typename Member>
void readField(const nlohmann::json &Entry, const char *Key, Member &Out,
               const std::string &Pointer, findings::FindingList &Findings) {
  const auto It = Entry.find(Key);
  if (It == Entry.end())
    return;
  try {
    Member Value = It->template get<Member>();
    if (nlohmann::json(Value) == *It) {
      Out = std::move(Value);
      return;
    }
  } catch (const nlohmann::json::exception &) {
    // Reported below like any other invalid value.
  }
  const nlohmann::json Default = Out;
  Findings.add(Pointer + "/" + Key, It->dump(),
               "a value of the kind of " + Default.dump());
}

void checkUnknownKeys(const nlohmann::json &Object,
                      const std::set<std::string> &Known,
                      const std::string &Pointer,
                      findings::FindingList &Findings) {
  std::string Allowed;
  for (const std::string &Key : Known)
    Allowed += (Allowed.empty() ? "" : ", ") + Key;
  for (const auto &Item : Object.items())
    if (!Known.contains(Item.key()))
      Findings.add(Pointer + "/" + Item.key(), "an unknown key", Allowed);
}

catalogue::EntrySpec readEntry(const nlohmann::json &Entry,
                               const std::string &Pointer,
                               findings::FindingList &Findings) {
  catalogue::EntrySpec Spec;
  std::set<std::string> Known;
  std::apply(
      [&](const auto &...Fields) {
        (Known.insert(Fields.m_Key), ...);
        (readField(Entry, Fields.m_Key, Spec.*(Fields.m_Member), Pointer,
                   Findings),
         ...);
      },
      catalogue::EntrySpec::describe());
  checkUnknownKeys(Entry, Known, Pointer, Findings);
  return Spec;
}

void checkEntries(const nlohmann::json &Entries, CatalogueCheckResult &Result,
                  findings::FindingList &Findings) {
  for (const auto &[Name, Entry] : Entries.items()) {
    const std::string Pointer = std::string("/") + EntriesKey + "/" + Name;
    if (!Entry.is_object()) {
      Findings.add(Pointer, Entry.dump(), "an object");
      continue;
    }
    const catalogue::EntrySpec Spec = readEntry(Entry, Pointer, Findings);
    catalogue::checkEntry(EntryName(Name), Spec, Pointer, Findings);
    if (!Result.m_Entries.emplace(EntryName(Name), Spec).second)
      Findings.add(Pointer, "an entry that another file also defines",
                   "one entry");
  }
}

const catalogue::EntrySpec *findBase(const EntryName &Base,
                                     const EntryMap &Entries,
                                     const fold::ClusterState *PublishedState) {
  if (const auto It = Entries.find(Base); It != Entries.end())
    return &It->second;
  return PublishedState ? PublishedState->findEntry(Base) : nullptr;
}

} // namespace

void checkDocument(const std::string &Source, const std::string &Text,
                   CatalogueCheckResult &Result) {
  findings::FindingList Findings(Source);
  try {
    const nlohmann::json Document = parseReportingDuplicates(Text, Findings);
    if (!Document.is_object() || !Document.contains(EntriesKey) ||
        !Document[EntriesKey].is_object()) {
      Findings.add("/", Document.type_name(),
                   "an object with the object \"entries\"");
    } else {
      checkUnknownKeys(Document, {EntriesKey}, "", Findings);
      checkEntries(Document[EntriesKey], Result, Findings);
    }
  } catch (const nlohmann::json::parse_error &Error) {
    Findings.add("byte " + std::to_string(Error.byte), Error.what(),
                 "a JSON document");
  }
  Result.m_Findings.append(Findings);
}

void checkReferences(const EntryMap &Entries,
                     const fold::ClusterState *PublishedState,
                     findings::FindingList &Findings) {
  for (const auto &[Name, Spec] : Entries) {
    if (Spec.m_Kind != catalogue::EntryKind::Adapter || Spec.m_Base.empty())
      continue;
    const std::string Pointer = "/entries/" + Name.str();
    const catalogue::EntrySpec *Base =
        findBase(Spec.m_Base, Entries, PublishedState);
    if (!Base || Base->m_Kind != catalogue::EntryKind::Model)
      Findings.add(Pointer + "/base", Spec.m_Base.str(),
                   "a model of these files or of the published catalogue");
    else if (Spec.m_Replicas > Base->m_Replicas)
      Findings.add(Pointer + "/replicas", std::to_string(Spec.m_Replicas),
                   "at most the " + std::to_string(Base->m_Replicas) +
                       " replicas of its base");
  }
}

CatalogueCheckResult checkFiles(const std::vector<std::string> &Paths,
                                const fold::ClusterState *PublishedState) {
  CatalogueCheckResult Result;
  std::string Sources;
  for (const std::string &Path : Paths) {
    Sources += (Sources.empty() ? "" : " ") + Path;
    std::ifstream File(Path);
    if (!File) {
      findings::FindingList Missing(Path);
      Missing.add("/", "no readable file", "a catalogue file");
      Result.m_Findings.append(Missing);
      continue;
    }
    std::ostringstream Text;
    Text << File.rdbuf();
    checkDocument(Path, Text.str(), Result);
  }
  findings::FindingList References(Sources);
  checkReferences(Result.m_Entries, PublishedState, References);
  Result.m_Findings.append(References);
  return Result;
}

} // namespace sff::ctl
