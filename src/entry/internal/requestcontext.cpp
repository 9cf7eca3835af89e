#include "entry/internal/requestcontext.h"

#include "transport/loadheader.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace lycheebay {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kServicesPrefix = "/services/";
constexpr std::chrono::seconds kNotReadyRetryAfter{ 1 };

using MaybeRefusal = std::optional<Refusal>;

Refusal refusal(int status, std::string reason)
{
    return { status, std::move(reason), {} };
}

/// True if a target could interpret a path with an escape of \a c differently.
bool isAmbiguous(char c)
{
    const auto code = static_cast<unsigned char>(c);
    return code < 0x20 || code == 0x7f || c == '/' || c == '\\';
}

bool hasEmptyOrDotSegment(std::string_view path)
{
    while (!path.empty()) {
        path.remove_prefix(1);
        const auto end = path.find('/');
        const std::string_view segment = path.substr(0, end);
        const bool isLast = end == std::string_view::npos;
        if (segment == "." || segment == ".." || (segment.empty() && !isLast))
            return true;
        path = isLast ? std::string_view() : path.substr(end);
    }
    return false;
}

MaybeRefusal lookUpRoute(RequestContext &context)
{
    const std::string_view target = context.request.target;
    const auto slash = target.find('/', kServicesPrefix.size());
    const auto end = std::min(slash, std::min(target.find('?'), target.size()));
    context.service = target.substr(kServicesPrefix.size(), end - kServicesPrefix.size());
    context.targetPath = target.substr(end);
    if (!context.targetPath.starts_with('/'))
        context.targetPath.insert(0, "/");
    const Estate &estate = *context.configuration->estate();
    if (!estate.hasService(context.service))
        return refusal(404, "unknown service");
    // Match the decoded path, so that percent escapes cannot bypass the rules of a route.
    const std::string_view path(context.targetPath);
    const auto decoded = decodePath(path.substr(0, path.find('?')));
    if (!decoded)
        return refusal(400, "the path is ambiguous");
    const Route *route = estate.findRoute(context.service, context.request.method, *decoded);
    if (!route)
        return refusal(404, "no route for this method and path");
    context.route = *route;
    return {};
}

/// Removes regions that \a others does not contain; an empty list allows all. Returns false if no
/// region is left.
bool intersectRegions(std::vector<std::string> &regions, const std::vector<std::string> &others)
{
    if (others.empty())
        return true;
    if (regions.empty()) {
        regions = others;
        return true;
    }
    std::erase_if(regions, [&](const std::string &region) {
        return std::find(others.begin(), others.end(), region) == others.end();
    });
    return !regions.empty();
}

MaybeRefusal checkHomeRegions(RequestContext &context, const std::string &region)
{
    const HttpHeaders &headers = context.request.headers;
    context.homeRegions = context.route.homeRegions;
    bool servable = true;
    if (countHeader(headers, kTenantHeader) > 1)
        return refusal(400, "repeated tenant header");
    if (const std::string *name = findHeader(headers, kTenantHeader)) {
        const Tenant *tenant = context.configuration->estate()->findTenant(*name);
        if (!tenant)
            return refusal(403, "unknown tenant");
        context.tenant = *name;
        servable = intersectRegions(context.homeRegions, tenant->homeRegions);
    }
    if (!servable || !context.mayBeServedIn(region))
        return refusal(421, "not served in this region");
    return {};
}

MaybeRefusal readDeadline(RequestContext &context, const EntrySettings &settings)
{
    context.deadline = context.receivedAt + settings.defaultDeadline;
    const std::string *text = findHeader(context.request.headers, kDeadlineHeader);
    if (!text)
        return {};
    const auto maxMs = std::chrono::duration_cast<milliseconds>(settings.maxDeadline).count();
    std::int64_t value = 0;
    const auto end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || value < 1 || value > maxMs
        || countHeader(context.request.headers, kDeadlineHeader) > 1) {
        return refusal(400, fmt::format("{} must be 1 to {}", kDeadlineHeader, maxMs));
    }
    context.deadline = context.receivedAt + milliseconds(value);
    return {};
}

MaybeRefusal readKey(RequestContext &context)
{
    const HttpHeaders &headers = context.request.headers;
    const std::string *text = findHeader(headers, kIdempotencyKeyHeader);
    if (context.route.idempotent)
        return {};
    if (!text) {
        return refusal(428, fmt::format("{} is missing; it begins with the ticket from "
                                        "/v1/addresses?service={}",
                                        kIdempotencyKeyHeader, context.service));
    }
    const auto key = parseIdempotencyKey(*text);
    if (!key.ok() || countHeader(headers, kIdempotencyKeyHeader) > 1)
        return refusal(400, "repeated or malformed Idempotency-Key");
    context.key = *key;
    return {};
}

/// Reads and removes Lycheebay-Forwarded, which is trusted only if it names an entry of the plan.
RequestOrigin readOrigin(RequestContext &context, const std::string &region)
{
    const std::string *text = findHeader(context.request.headers, kForwardedHeader);
    std::uint64_t incarnation = 0;
    const Member *member = nullptr;
    if (text) {
        std::from_chars(text->data(), text->data() + text->size(), incarnation, 16);
        if (forwardedValue(incarnation) == *text)
            member = context.plan->findIncarnation(incarnation);
    }
    removeHeader(context.request.headers, kForwardedHeader);
    if (!member)
        return RequestOrigin::Caller;
    return member->identity.region == region ? RequestOrigin::SameRegion
                                             : RequestOrigin::OtherRegion;
}

} // namespace

bool RequestContext::mayBeServedIn(const std::string &region) const
{
    return homeRegions.empty()
           || std::find(homeRegions.begin(), homeRegions.end(), region) != homeRegions.end();
}

std::string forwardedValue(std::uint64_t incarnation)
{
    return fmt::format("{:016x}", incarnation);
}

std::optional<std::string> decodePath(std::string_view path)
{
    std::string decoded;
    while (!path.empty()) {
        if (path.front() != '%') {
            if (path.front() == '\\')
                return {};
            decoded += path.front();
            path.remove_prefix(1);
            continue;
        }
        const auto c = decodePercentEscape(path.substr(0, kPercentEscapeSize));
        if (!c || isAmbiguous(*c))
            return {};
        decoded += *c;
        path.remove_prefix(kPercentEscapeSize);
    }
    if (!decoded.starts_with('/') || hasEmptyOrDotSegment(decoded))
        return {};
    return decoded;
}

std::variant<RequestContext, Refusal> buildContext(const HttpRequest &request,
                                                   const ICaller &caller,
                                                   const EntrySettings &settings,
                                                   const Blackboard &board, TimePoint now)
{
    RequestContext context;
    context.configuration = board.configuration.read();
    context.plan = board.plan.read();
    if (!context.configuration || !context.plan)
        return Refusal{ 503, "no configuration yet", kNotReadyRetryAfter };
    if (!request.target.starts_with(kServicesPrefix))
        return refusal(404, "unknown path");
    context.request = request;
    context.receivedAt = now;
    context.caller = &caller;
    if (MaybeRefusal found = lookUpRoute(context))
        return *found;
    if (MaybeRefusal found = checkHomeRegions(context, settings.self.region))
        return *found;
    if (MaybeRefusal found = readDeadline(context, settings))
        return *found;
    if (MaybeRefusal found = readKey(context))
        return *found;
    context.origin = readOrigin(context, settings.self.region);
    context.fingerprint = identifyRequest(context.request, context.tenant).low;
    return context;
}

} // namespace lycheebay
