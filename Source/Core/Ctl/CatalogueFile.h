#pragma once

#include "Core/Catalogue/EntrySpec.h"
#include "Core/Fold/ClusterState.h"

#include <map>
#include <string>
#include <vector>

namespace sff::ctl {

using EntryMap = std::map<EntryName, catalogue::EntrySpec>;

/// Entries of one or more catalogue files and all errors found in them.
struct CatalogueCheckResult {
  EntryMap m_Entries;
  findings::FindingList m_Findings;
};

/// Reads and checks catalogue files: JSON syntax, unknown keys, duplicate
/// entries, types, ranges and references between entries. A base may also be
/// in \p PublishedState, which is null when no relay was queried.
CatalogueCheckResult checkFiles(const std::vector<std::string> &Paths,
                                const fold::ClusterState *PublishedState);

/// Checks one document in memory, except for references between entries, and
/// adds its entries and errors to \p Result. \p Source names the document in
/// the errors. Thread safety: reentrant.
void checkDocument(const std::string &Source, const std::string &Text,
                   CatalogueCheckResult &Result);

/// Checks references between entries: the bases of adapters.
void checkReferences(const EntryMap &Entries,
                     const fold::ClusterState *PublishedState,
                     findings::FindingList &Findings);

} // namespace sff::ctl
