#include "tools/load/workload.h"

#include <fmt/format.h>

#include <cmath>

namespace lycheebay::load {

namespace {

/// Distinct lookups of one path, so that popular lookups repeat.
constexpr std::uint64_t kLookupItems = 1000;
constexpr double kMicrosecondsPerSecond = 1e6;

} // namespace

Workload::Workload(const LoadSettings &settings, std::string runId)
    : m_settings(settings)
    , m_runId(std::move(runId))
    , m_random(settings.seed)
{}

std::optional<PlannedRequest> Workload::next()
{
    const std::scoped_lock lock(m_mutex);
    if (m_count >= m_settings.requests)
        return std::nullopt;
    const std::uint64_t number = m_count++;
    std::exponential_distribution<double> gap(m_settings.rate / kMicrosecondsPerSecond);
    m_timeUs += gap(m_random);

    PlannedRequest request;
    request.id = fmt::format("{}-{}", m_runId, number);
    request.part = &choosePart();
    request.intendedUs = static_cast<std::int64_t>(m_timeUs);
    request.serviceTimeUs = serviceTimeUs();
    const std::uint64_t item = m_random() % kLookupItems;
    const bool isPoisoned = m_settings.poisonEvery > 0 && number % m_settings.poisonEvery == 0;
    const std::string marker = isPoisoned ? m_settings.poison : "";
    if (request.part->kind == Kind::Lookup)
        request.query = fmt::format("{}?item={}", marker, item);
    else
        request.body =
                fmt::format(R"({{"order":"{}","item":{},"note":"{}"}})", request.id, item, marker);
    const bool isDirect = m_settings.overhead ? number % 2 == 0 : !m_settings.direct.empty();
    request.path = isDirect ? Path::Direct : Path::Entry;
    return request;
}

const MixPart &Workload::choosePart()
{
    double total = 0;
    for (const MixPart &it : m_settings.mix)
        total += it.share;
    double point = std::uniform_real_distribution<double>(0, total)(m_random);
    for (const MixPart &it : m_settings.mix) {
        point -= it.share;
        if (point < 0)
            return it;
    }
    return m_settings.mix.back();
}

std::int64_t Workload::serviceTimeUs()
{
    const double meanUs = m_settings.serviceMs * 1000;
    if (m_settings.serviceTimes == ServiceTimes::None)
        return 0;
    if (m_settings.serviceTimes == ServiceTimes::Exponential)
        return 1 + std::llround(std::exponential_distribution<double>(1 / meanUs)(m_random));
    const double mu = std::log(meanUs) - m_settings.sigma * m_settings.sigma / 2;
    std::lognormal_distribution<double> distribution(mu, m_settings.sigma);
    return 1 + std::llround(distribution(m_random));
}

} // namespace lycheebay::load
