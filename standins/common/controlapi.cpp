#include "standins/common/controlapi.h"

#include <csignal>

namespace lycheebay::standins {

HttpResponse jsonResponse(const nlohmann::json &body, int status)
{
    HttpResponse response;
    response.status = status;
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

HttpResponse errorResponse(int status, const std::string &message)
{
    return jsonResponse({ { "error", message } }, status);
}

void runUntilSignal(asio::io_context &context)
{
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](asio::error_code, int) { context.stop(); });
    context.run();
}

} // namespace lycheebay::standins
