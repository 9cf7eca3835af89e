#include "base/log.h"
#include "standins/common/controlapi.h"
#include "tools/relay/relaysession.h"

#include <tclap/CmdLine.h>

#include <iostream>
#include <list>
#include <map>

using namespace lycheebay;
using namespace lycheebay::relay;
using namespace lycheebay::standins;
using nlohmann::json;

namespace {

constexpr char kGroupsPath[] = "/groups";
constexpr const char *kCutNames[] = { "none", "drop", "stall" };

constexpr NumberField<RelayGroup> kFields[] = {
    { "delayMs", &RelayGroup::delayMs },
    { "bytesPerSecond", &RelayGroup::bytesPerSecond },
};

using Groups = std::map<std::string, RelayGroup>;

struct Link
{
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::endpoint target;
    RelayGroup &group;
};

asio::ip::tcp::endpoint toEndpoint(const Address &address)
{
    return { asio::ip::make_address(address.host), address.port };
}

void acceptNext(Link &link)
{
    link.acceptor.async_accept([&link](asio::error_code ec, asio::ip::tcp::socket socket) {
        if (ec == asio::error::operation_aborted)
            return;
        if (!ec && link.group.cut != Cut::Drop) {
            auto session = std::make_shared<RelaySession>(std::move(socket), link.group);
            link.group.sessions.insert(session);
            session->start(link.target);
        }
        acceptNext(link);
    });
}

/// Adds the link "LISTEN=TARGET" or "LISTEN=TARGET,GROUP".
absl::Status addLink(const std::string &text, asio::io_context &context, Groups &groups,
                     std::list<Link> &links)
{
    const std::size_t equals = text.find('=');
    const std::size_t comma = text.find(',');
    if (equals == std::string::npos)
        return absl::InvalidArgumentError("expected LISTEN=TARGET[,GROUP]: " + text);
    const auto from = parseAddress(text.substr(0, equals));
    const auto to = parseAddress(text.substr(equals + 1, comma - equals - 1));
    if (!from.ok() || !to.ok())
        return absl::InvalidArgumentError("not an address: " + text);
    const std::string group = comma == std::string::npos ? "default" : text.substr(comma + 1);
    try {
        links.push_back({ asio::ip::tcp::acceptor(context, toEndpoint(*from)), toEndpoint(*to),
                          groups[group] });
    } catch (const std::system_error &e) {
        return absl::UnavailableError(text + ": " + e.what());
    }
    acceptNext(links.back());
    return absl::OkStatus();
}

json toJson(const RelayGroup &group)
{
    return { { "delayMs", group.delayMs },
             { "bytesPerSecond", group.bytesPerSecond },
             { "cut", kCutNames[static_cast<int>(group.cut)] },
             { "bytesForward", group.bytes[Forward] },
             { "bytesBackward", group.bytes[Backward] },
             { "connections", group.sessions.size() } };
}

bool setCut(RelayGroup &group, const json &name)
{
    for (int n = 0; n < int(std::size(kCutNames)); ++n) {
        if (name == kCutNames[n]) {
            group.cut = static_cast<Cut>(n);
            return true;
        }
    }
    return false;
}

void applyCut(RelayGroup &group)
{
    const auto sessions = group.sessions;
    for (const auto &it : sessions) {
        if (group.cut == Cut::Drop)
            it->close();
        else
            it->resume();
    }
}

HttpResponse control(Groups &groups, const HttpRequest &request)
{
    if (request.method == "GET" && request.path == kGroupsPath) {
        json all = json::object();
        for (const auto &[name, group] : groups)
            all[name] = toJson(group);
        return jsonResponse(all);
    }
    const std::string prefix = std::string(kGroupsPath) + "/";
    const auto it = request.path.starts_with(prefix)
                            ? groups.find(request.path.substr(prefix.size()))
                            : groups.end();
    if (request.method != "PUT" || it == groups.end())
        return errorResponse(404, "no such resource");
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return errorResponse(400, "expected a JSON object");
    RelayGroup changed = it->second;
    for (const auto &[name, value] : body.items()) {
        const bool isSet =
                name == "cut" ? setCut(changed, value) : setNumber(changed, kFields, name, value);
        if (!isSet)
            return errorResponse(400, "unknown field or wrong value: " + name);
    }
    it->second = std::move(changed);
    applyCut(it->second);
    return jsonResponse(toJson(it->second));
}

absl::Status run(const std::vector<std::string> &pairs, double delayMs,
                 const std::string &controlText)
{
    const auto controlAddress = parseAddress(controlText);
    if (!controlAddress.ok())
        return controlAddress.status();
    asio::io_context context(1);
    Groups groups;
    std::list<Link> links;
    for (const std::string &it : pairs) {
        absl::Status status = addLink(it, context, groups, links);
        if (!status.ok())
            return status;
    }
    for (auto &[name, group] : groups)
        group.delayMs = delayMs;
    HttpServer server(context,
                      [&](const HttpConnectionPtr &connection, const HttpRequest &request) {
                          connection->respond(control(groups, request));
                      });
    absl::Status status = server.listen(*controlAddress);
    if (!status.ok())
        return status;
    LOG4CPLUS_INFO(componentLogger("relay"),
                   "relaying " << links.size() << " links, control on " << controlText);
    runUntilSignal(context);
    return absl::OkStatus();
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine cmd("TCP relay that delays, limits and cuts");
    TCLAP::MultiArg<std::string> pair("", "pair", "One link", true, "LISTEN=TARGET[,GROUP]", cmd);
    TCLAP::ValueArg<double> delay("", "delay-ms", "One-way delay", false, 0, "MS", cmd);
    TCLAP::ValueArg<std::string> controlAddress("", "control", "Address of the control port", false,
                                                "127.0.0.1:7300", "ADDR:PORT", cmd);
    cmd.parse(argc, argv);
    initializeLogging("INFO");
    const absl::Status status = run(pair.getValue(), delay.getValue(), controlAddress.getValue());
    if (!status.ok())
        std::cerr << status.message() << "\n";
    return status.ok() ? 0 : 2;
}
