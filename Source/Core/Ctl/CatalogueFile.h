#pragma once

#include "Core/Catalogue/EntrySpec.h"
#include "Core/Fold/ClusterState.h"

#include <map>
#include <string>
#include <vector>

namespace sff::ctl {

using EntryMap = std::map<EntryName, catalogue::EntrySpec>;

/// Entries of one or more catalogue files and everything that is wrong there.
struct CheckedFiles {
  EntryMap m_Entries;
  findings::FindingList m_Findings;
};

/// Reads and checks catalogue files: JSON syntax, unknown and repeated keys,
/// types, ranges, and what entries require of each other. A base may also be
/// in \p Folded, which is null when no relay was asked.
CheckedFiles checkFiles(const std::vector<std::string> &Paths,
                        const fold::ClusterState *Folded);

/// The same for one document in memory, without what entries require of each
/// other. Thread safety: reentrant.
void checkDocument(const std::string &Source, const std::string &Text,
                   CheckedFiles &Result);

/// Checks what entries require of each other.
void checkReferences(const EntryMap &Entries, const fold::ClusterState *Folded,
                     findings::FindingList &Findings);

} // namespace sff::ctl
