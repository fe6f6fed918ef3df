#include "Common/Findings/Findings.h"

namespace sff::findings {

void FindingList::add(std::string Place, std::string Found,
                      std::string Allowed) {
  m_Items.push_back(
      {m_Source, std::move(Place), std::move(Found), std::move(Allowed)});
}

void FindingList::append(const FindingList &Other) {
  m_Items.insert(m_Items.end(), Other.m_Items.begin(), Other.m_Items.end());
}

std::ostream &operator<<(std::ostream &Out, const FindingList &List) {
  for (const Finding &Item : List.items())
    Out << Item.m_Source << ":" << Item.m_Place << ": found " << Item.m_Found
        << ", allowed " << Item.m_Allowed << "\n";
  return Out;
}

} // namespace sff::findings
