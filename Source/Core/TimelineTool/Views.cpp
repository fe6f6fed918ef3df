#include "TimelineTool/Views.h"

#include <algorithm>
#include <iomanip>

namespace sff::timelinetool {

namespace {

constexpr std::int64_t MicrosPerMilli = 1000;
constexpr int MilliDecimals = 3;

constexpr const char *PageHead = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Timeline</title><style>
body{font:13px sans-serif;margin:1em}
input{font:inherit;width:30em;padding:.3em;margin-bottom:.6em}
table{border-collapse:collapse}
th{position:sticky;top:0;background:#fff;border-bottom:2px solid #444;padding:.3em .6em;text-align:left;white-space:nowrap}
td{border-left:1px solid #ddd;padding:.1em .6em;vertical-align:top}
td.t{white-space:nowrap;font-family:monospace;border-left:0}
div.e{border-left:4px solid #888;padding:.1em .4em;background:#f4f4f4;border-radius:2px}
small{color:#555}details{display:inline}pre{margin:.2em 0}
.execution,.routing{border-color:#1667b0!important}.loading,.slots{border-color:#b06a16!important}
.ownership,.membership{border-color:#7a3fb0!important}.admission,.memory{border-color:#2f8a3b!important}
.platform,.peer{border-color:#a02c2c!important}.catalogue{border-color:#0f8a86!important}
tr.hidden{display:none}
</style></head><body><h1>Timeline</h1>
)";

constexpr const char *PageScript = R"(<script>
const box=document.getElementById('filter');
box.addEventListener('input',()=>{const text=box.value.toLowerCase();
document.querySelectorAll('tbody tr').forEach(row=>row.classList.toggle('hidden',
!row.textContent.toLowerCase().includes(text)));});
</script></body></html>
)";

std::string escape(std::string_view Text) {
  std::string Result;
  for (const char Char : Text) {
    switch (Char) {
    case '<':
      Result += "&lt;";
      break;
    case '>':
      Result += "&gt;";
      break;
    case '&':
      Result += "&amp;";
      break;
    case '"':
      Result += "&quot;";
      break;
    default:
      Result += Char;
    }
  }
  return Result;
}

std::string dump(const nlohmann::json &Fields, int Indent) {
  return Fields.dump(Indent, ' ', false,
                     nlohmann::json::error_handler_t::replace);
}

std::vector<std::string> processNames(std::span<const Event> Events) {
  std::vector<std::string> Processes;
  for (const Event &Item : Events)
    Processes.push_back(processName(Item));
  std::ranges::sort(Processes);
  Processes.erase(std::unique(Processes.begin(), Processes.end()),
                  Processes.end());
  return Processes;
}

void printCell(const Event &Item, std::ostream &Out) {
  Out << "<div class=\"e " << escape(Item.m_Category) << "\"><b>"
      << escape(Item.m_Name) << "</b>";
  if (!Item.m_Request.empty())
    Out << " <small>request " << escape(Item.m_Request) << "</small>";
  if (!Item.m_Entry.empty())
    Out << " <small>entry " << escape(Item.m_Entry) << "</small>";
  if (!Item.m_Fields.empty())
    Out << " <details><summary>fields</summary><pre>"
        << escape(dump(Item.m_Fields, 1)) << "</pre></details>";
  Out << "</div>";
}

void printRow(const Event &Item, std::int64_t StartMicros,
              const std::vector<std::string> &Processes, std::ostream &Out) {
  const double Millis =
      static_cast<double>(Item.m_Time.m_WallMicros - StartMicros) /
      MicrosPerMilli;
  Out << "<tr><td class=\"t\" title=\"" << formatTime(Item.m_Time.m_WallMicros)
      << "\">" << std::fixed << std::setprecision(MilliDecimals) << Millis
      << " ms</td>";
  for (const std::string &Process : Processes) {
    Out << "<td>";
    if (Process == processName(Item))
      printCell(Item, Out);
    Out << "</td>";
  }
  Out << "</tr>\n";
}

} // namespace

void printText(std::span<const Event> Events, std::ostream &Out) {
  for (const Event &Item : Events) {
    Out << formatTime(Item.m_Time.m_WallMicros) << "+" << Item.m_Time.m_Counter
        << " " << processName(Item) << " " << Item.m_Zone << " "
        << Item.m_Category << " " << Item.m_Name;
    if (!Item.m_Request.empty())
      Out << " request=" << Item.m_Request;
    if (!Item.m_Entry.empty())
      Out << " entry=" << Item.m_Entry;
    if (!Item.m_Fields.empty())
      Out << " " << dump(Item.m_Fields, -1);
    Out << "\n";
  }
}

void printHtml(std::span<const Event> Events, std::ostream &Out) {
  const std::vector<std::string> Processes = processNames(Events);
  const std::int64_t Start =
      Events.empty() ? 0 : Events.front().m_Time.m_WallMicros;
  Out << PageHead << "<p>" << Events.size() << " events of " << Processes.size()
      << " processes; times are milliseconds after " << formatTime(Start)
      << " UTC.</p>\n"
      << "<input id=\"filter\" placeholder=\"Show only rows that contain\">\n"
      << "<table><thead><tr><th>time</th>";
  for (const std::string &Process : Processes)
    Out << "<th>" << escape(Process) << "</th>";
  Out << "</tr></thead><tbody>\n";
  for (const Event &Item : Events)
    printRow(Item, Start, Processes, Out);
  Out << "</tbody></table>\n" << PageScript;
}

} // namespace sff::timelinetool
