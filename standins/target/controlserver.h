#pragma once

#include "standins/target/targetstandin.h"

#include <memory>
#include <vector>

namespace lycheebay::standins {

/// Control port of all targets of the process.
class ControlServer
{
public:
    ControlServer(asio::io_context &context, std::vector<std::unique_ptr<TargetStandin>> &targets,
                  RunRecord &runRecord);

    absl::Status listen(const Address &address) { return m_http.listen(address); }

private:
    HttpResponse route(const HttpRequest &request);
    HttpResponse controlTargets(const std::string &path, const std::string &text);
    HttpResponse report() const;
    HttpResponse reset();

    std::vector<std::unique_ptr<TargetStandin>> &m_targets;
    RunRecord &m_runRecord;
    HttpServer m_http;
};

} // namespace lycheebay::standins
