#include "Controller/ControllerSettings.h"
#include "Ctl/Commands.h"
#include "Host/HostSettings.h"
#include "Relay/RelaySettings.h"
#include "Router/RouterSettings.h"

namespace sff::ctl {

void printSettingsReference(std::ostream &Out) {
  const std::pair<const char *, settings::Schema> Programs[] = {
      {"sff-relay", relay::makeSchema()},
      {"sff-controller", controller::makeSchema()},
      {"sff-router", router::makeSchema()},
      {"sff-host", host::hostSchema()},
  };
  Out << "# Settings\n\nThis page is written by `sffctl settings-reference`.\n";
  for (const auto &[Name, Schema] : Programs)
    Out << "\n## " << Name << "\n\n" << Schema.referenceTable();
}

} // namespace sff::ctl
