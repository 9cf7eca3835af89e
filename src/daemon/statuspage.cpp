#include "daemon/statuspage.h"

#include "base/seconds.h"
#include "entry/cell.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace lycheebay {

namespace {

constexpr char kHead[] =
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">"
        "<meta http-equiv=\"refresh\" content=\"2\"><title>lycheebay</title><style>"
        "body{font:14px/1.5 system-ui,sans-serif;margin:2rem;max-width:72rem;color:#1c1c1c}"
        "table{border-collapse:collapse;margin:.5rem 0 1.5rem}"
        "th,td{border-bottom:1px solid #ddd;padding:.2rem .8rem .2rem 0;text-align:left}"
        "th{font-weight:600}.bad{color:#a40000;font-weight:600}.good{color:#00601b}"
        ".num{text-align:right}h1{font-size:1.4rem}h2{font-size:1.1rem;margin-bottom:0}"
        "</style></head><body>";

std::string escape(const std::string &text)
{
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += c;
        }
    }
    return result;
}

std::string mark(bool good, const char *goodText, const char *badText)
{
    return fmt::format("<span class=\"{}\">{}</span>", good ? "good" : "bad",
                       good ? goodText : badText);
}

std::string renderSummary(const StatusReport &report)
{
    return fmt::format("<h1>{} <small>{} / {}</small></h1><table>"
                       "<tr><th>state</th><td>{}</td></tr>"
                       "<tr><th>configuration lease</th><td>{}</td></tr>"
                       "<tr><th>revision</th><td>{} (next offset {})</td></tr>"
                       "<tr><th>open caller connections</th><td>{}</td></tr>"
                       "<tr><th>idempotency keys held</th><td>{} ({} bytes)</td></tr>"
                       "<tr><th>crash suspects</th><td>{}</td></tr>"
                       "<tr><th>invariant violations</th><td>{}</td></tr></table>",
                       escape(report.self.instanceId), escape(report.self.region),
                       escape(report.self.failureDomain),
                       report.leaving ? mark(false, "", "leaving")
                                      : mark(report.ready, "ready", "not ready"),
                       mark(report.leaseValid, "valid", "expired: new work is refused"),
                       report.configuration->revision(), report.configuration->nextOffset(),
                       report.openConnections, report.outcomeEntries, report.outcomeBytes,
                       report.crashSuspects, report.invariantViolations);
}

std::string renderFailureDomains(const Estate &estate, const StatusReport &report)
{
    std::string rows;
    for (const FailureDomain &domain : estate.data().failureDomains) {
        std::size_t targets = 0;
        for (const Target &target : estate.data().targets)
            targets += target.failureDomain == domain.name;
        rows += fmt::format("<tr><td>{}</td><td>{}</td><td class=\"num\">{}</td><td>{}</td></tr>",
                            escape(domain.name), escape(domain.region), targets,
                            mark(!domain.drained, "in service", "drained"));
    }
    std::string stops;
    for (const PlannedStop &stop : estate.data().plannedStops) {
        const bool current = report.now >= stop.start && report.now < stop.end;
        stops += fmt::format("<tr><td>{}</td><td>{}</td><td>{:%F %T}</td><td>{:%F %T}</td>"
                             "<td>{}</td></tr>",
                             escape(stop.id), escape(stop.name), stop.start, stop.end,
                             current ? "now" : "");
    }
    return fmt::format("<h2>Failure domains</h2><table><tr><th>name</th><th>region</th>"
                       "<th>targets</th><th>state</th></tr>{}</table>"
                       "<h2>Planned stops</h2><table><tr><th>id</th><th>object</th><th>start (UTC)"
                       "</th><th>end (UTC)</th><th></th></tr>{}</table>",
                       rows, stops.empty() ? "<tr><td>none</td></tr>" : stops);
}

std::string renderTarget(const TargetStatus &target)
{
    std::string state = mark(true, "in service", "");
    if (!target.acceptsWork)
        state = mark(false, "", "no new work");
    else if (target.draining)
        state = mark(false, "", "draining");
    else if (target.ejected)
        state = mark(false, "", "ejected");
    else if (target.cold)
        state = mark(false, "", "cold");
    return fmt::format("<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td class=\"num\">{}</td>"
                       "<td class=\"num\">{} of {}</td><td class=\"num\">{:.1f}</td></tr>",
                       escape(target.id), escape(target.address.toString()), state,
                       escape(target.reason), target.outstanding, target.limit, target.slots,
                       toMilliseconds(target.recentLatency));
}

std::string renderCell(const std::string &service, const Cell &cell, const StatusReport &report)
{
    const Member *owner =
            report.plan ? report.plan->dispatcher(service, report.self.region) : nullptr;
    std::string text =
            fmt::format("<h2>{} in {}</h2><p>dispatcher: {}, {} waiting</p>", escape(service),
                        escape(report.self.region),
                        owner ? escape(owner->identity.instanceId) : "none", cell.queuedCount());
    if (cell.role() != DispatchRole::Owner)
        return text;
    std::string rows;
    for (const TargetStatus &target : cell.status())
        rows += renderTarget(target);
    return text
           + fmt::format("<table><tr><th>target</th><th>address</th><th>state</th><th>reason</th>"
                         "<th>in flight</th><th>limit</th><th>latency, ms</th></tr>{}</table>",
                         rows);
}

std::string peerState(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspected:
        return "suspected";
    case MemberState::Dead:
        return "dead";
    }
    return "";
}

std::string renderPeers(const StatusReport &report)
{
    std::string rows;
    for (const PeerStatus &peer : report.peers) {
        const std::string heard =
                peer.lastHeard ? fmt::format("{:.1f} s ago", toSeconds(*peer.lastHeard)) : "";
        const std::string offset = peer.nextOffset ? std::to_string(*peer.nextOffset) : "";
        rows += fmt::format(
                "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td>"
                "<td class=\"num\">{}</td></tr>",
                escape(peer.instanceId), escape(peer.region), escape(peer.failureDomain),
                mark(peer.state == MemberState::Alive, "alive", peerState(peer.state).c_str()),
                heard, offset);
    }
    return fmt::format("<h2>Entry instances</h2><table><tr><th>instance</th><th>region</th>"
                       "<th>failure domain</th><th>state</th><th>heard</th><th>next offset</th>"
                       "</tr>{}</table>",
                       rows);
}

} // namespace

std::string renderStatusPage(const StatusReport &report)
{
    if (!report.configuration)
        return std::string(kHead) + "<p>No configuration yet.</p></body></html>";
    std::string text = kHead + renderSummary(report)
                       + renderFailureDomains(*report.configuration->estate(), report);
    for (const auto &[service, cell] : report.cells)
        text += renderCell(service, *cell, report);
    return text + renderPeers(report) + "</body></html>";
}

} // namespace lycheebay
