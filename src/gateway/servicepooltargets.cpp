#include "base/seconds.h"
#include "gateway/servicepool.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lycheebay {

namespace {

// Weight of a sample in the moving average of the slot hold time.
constexpr double kHoldSampleWeight = 0.05;
// Requests that a target with a limit may get at once after a pause.
constexpr int kLimitBurst = 2;
// A target that names a lower limit still gets this many requests per second; its answers tell when
// the limit ends.
constexpr double kMinRequestLimit = 0.1;
// A limit that no answer has repeated for this time is forgotten.
constexpr Duration kRequestLimitLifetime = std::chrono::seconds(12);
// After a pause, the slots that a target may use grow to all of them in this time.
constexpr Duration kReturnTime = std::chrono::milliseconds(800);
constexpr int kPauseJitterDivisor = 10;
constexpr Duration kMaxPauseJitter = std::chrono::milliseconds(200);

bool contains(const std::vector<std::string> &list, const std::string &value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

} // namespace

std::vector<ServicePool::TargetState *> ServicePool::eligibleTargets(const QueuedRequest &request,
                                                                     TimePoint now)
{
    for (const bool allowEjected : { false, true }) {
        for (const Proximity proximity : { Proximity::Owned, Proximity::SameDomain,
                                           Proximity::SameRegion, Proximity::OtherRegion }) {
            std::vector<TargetState *> targets;
            for (TargetState &it : m_targets) {
                if (it.target.proximity == proximity && isEligible(it, request, now, allowEjected))
                    targets.push_back(&it);
            }
            if (!targets.empty())
                return targets;
        }
    }
    return {};
}

bool ServicePool::isEligible(const TargetState &it, const QueuedRequest &request, TimePoint now,
                             bool allowEjected) const
{
    if (!isAllowed(it, request) || now < it.pausedUntil)
        return false;
    // A target that has not responded yet may be cold; it is probed before it gets a request.
    if (!it.noResponseYet && isCold(it, now) && !mayUseCold(it))
        return false;
    // The limit holds for all instances together, so that only the owner uses it.
    if (it.target.proximity != Proximity::Owned && hasRequestLimit(it, now))
        return false;
    // An unresponsive target is not used even if all others are ejected.
    return allowEjected ? !it.health.isUnresponsive() : !it.health.isEjected(now);
}

bool ServicePool::isAllowed(const TargetState &it, const QueuedRequest &request) const
{
    if (it.target.record.leaving || it.target.drained || contains(request.triedTargets, it.key))
        return false;
    return request.homeRegions.empty() || contains(request.homeRegions, it.target.region);
}

void ServicePool::pauseTarget(const std::string &key, Duration pause, TimePoint now)
{
    TargetState *it = find(key);
    if (!it)
        return;
    // Jitter, so that targets which name the same time do not return together.
    const Duration jitter = std::min(pause / kPauseJitterDivisor, kMaxPauseJitter);
    const TimePoint end = now + pause + fromSeconds(toSeconds(jitter) * m_random.uniform());
    it->pausedUntil = std::max(it->pausedUntil, end);
}

int ServicePool::slotsAfterPause(const TargetState &it, int slots, TimePoint now) const
{
    const double share = toSeconds(now - it.pausedUntil) / toSeconds(kReturnTime);
    return share >= 1 ? slots : std::max(1, static_cast<int>(share * slots));
}

std::optional<Duration> ServicePool::shortestPause(const QueuedRequest &request,
                                                   TimePoint now) const
{
    std::optional<Duration> shortest;
    for (const TargetState &it : m_targets) {
        if (!isAllowed(it, request) || it.pausedUntil <= now)
            continue;
        const Duration left = it.pausedUntil - now;
        shortest = std::min(shortest.value_or(left), left);
    }
    return shortest;
}

bool ServicePool::isCold(const TargetState &it, TimePoint now) const
{
    return it.noResponseYet || now < it.coldUntil;
}

bool ServicePool::mayUseCold(const TargetState &it) const
{
    return m_mayUseCold && it.target.proximity == Proximity::Owned;
}

int ServicePool::concurrencyLimitOf(const TargetState &it, TimePoint now) const
{
    if (isCold(it, now))
        return 1;
    const int slots = static_cast<int>(std::floor(it.target.record.slots * m_settings.slotShare));
    return slotsAfterPause(it, std::max(1, slots), now);
}

int ServicePool::freeSlots(const TargetState &it, TimePoint now) const
{
    if (isCold(it, now) && !mayUseCold(it))
        return 0;
    const int burst = isCold(it, now) ? 1 : kLimitBurst;
    const auto rate = rateLimitOf(it, now);
    if (rate && !it.pacer.isReady(now, *rate, burst))
        return 0;
    return concurrencyLimitOf(it, now) - it.inFlight - otherInFlightOf(it, now);
}

bool ServicePool::hasRequestLimit(const TargetState &it, TimePoint now) const
{
    return it.requestLimit && now - it.requestLimitReportedAt <= kRequestLimitLifetime;
}

std::optional<double> ServicePool::rateLimitOf(const TargetState &it, TimePoint now) const
{
    std::optional<double> rate;
    if (isCold(it, now))
        rate = m_coldRequestsPerSecond;
    if (hasRequestLimit(it, now)) {
        const double limit = std::max(*it.requestLimit, kMinRequestLimit);
        rate = rate ? std::min(*rate, limit) : limit;
    }
    return rate;
}

double ServicePool::throughputOf(const TargetState &it, TimePoint now) const
{
    const double bySlots = concurrencyLimitOf(it, now) / toSeconds(m_slotHoldTime);
    const auto rate = hasRequestLimit(it, now) ? rateLimitOf(it, now) : std::nullopt;
    return rate ? std::min(bySlots, *rate) : bySlots;
}

bool ServicePool::isFresh(const TargetState &it, TimePoint now) const
{
    return it.loadReportedAt && now - *it.loadReportedAt <= m_settings.loadFreshness;
}

void ServicePool::updateLoad(const std::string &key, const TargetLoad &load, TimePoint now)
{
    TargetState *it = find(key);
    if (!it)
        return;
    it->loadReportedAt = now;
    it->slowdown = load.slowdown;
    it->otherInFlight = std::max(0, load.running + load.waiting - it->inFlight);
    it->noResponseYet = false;
}

void ServicePool::updateColdTime(const std::string &key, Duration left, TimePoint now)
{
    TargetState *it = find(key);
    if (!it)
        return;
    it->noResponseYet = false;
    it->coldUntil = now + left;
}

bool ServicePool::updateRequestLimit(const std::string &key, std::optional<double> perSecond,
                                     TimePoint now)
{
    TargetState *it = find(key);
    if (!it)
        return false;
    it->requestLimitReportedAt = now;
    return std::exchange(it->requestLimit, perSecond) != perSecond;
}

void ServicePool::recordProbe(const std::string &key, bool answered, TimePoint now)
{
    TargetState *it = find(key);
    if (!it)
        return;
    it->probeSentAt.reset();
    it->health.recordProbe(answered, now);
}

void ServicePool::finish(const std::string &key, AttemptResult result,
                         std::optional<Duration> elapsed, TimePoint now)
{
    TargetState *it = find(key);
    if (!it)
        return;
    it->inFlight = std::max(0, it->inFlight - 1);
    it->health.recordAttempt(result, now);
    if (!elapsed)
        return;
    const double sample = toSeconds(*elapsed);
    const double held = toSeconds(m_slotHoldTime);
    m_slotHoldTime = fromSeconds(held + kHoldSampleWeight * (sample - held));
    if (result == AttemptResult::Served && !isCold(*it, now))
        m_serviceTime.addSample(*elapsed, it->slowdown);
}

std::size_t ServicePool::inFlight() const
{
    std::size_t n = 0;
    for (const TargetState &it : m_targets)
        n += static_cast<std::size_t>(it.inFlight);
    return n;
}

ServicePool::TargetState *ServicePool::find(const std::string &key)
{
    const auto it = std::find_if(m_targets.begin(), m_targets.end(),
                                 [&](const TargetState &state) { return state.key == key; });
    return it == m_targets.end() ? nullptr : &*it;
}

} // namespace lycheebay
