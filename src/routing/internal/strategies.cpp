#include "routing/internal/istrategy.h"
#include "routing/internal/targetstate.h"

#include <algorithm>
#include <array>
#include <limits>

namespace lycheebay {

namespace {

struct KindName
{
    StrategyKind kind;
    const char *name;
};

constexpr std::array<KindName, 5> kNames{ {
        { StrategyKind::SlotQueue, "slot-queue" },
        { StrategyKind::RoundRobin, "round-robin" },
        { StrategyKind::Random, "random" },
        { StrategyKind::LeastOutstanding, "least-outstanding" },
        { StrategyKind::TwoChoices, "two-choices" },
} };

bool hasFewerOutstanding(const Candidate &a, const Candidate &b)
{
    return a.target->outstanding() < b.target->outstanding();
}

class RoundRobin final : public IStrategy
{
public:
    std::size_t choose(std::span<const Candidate> candidates, IRandomSource &) override
    {
        const auto it =
                std::ranges::upper_bound(candidates, m_last, std::less<>{}, &Candidate::position);
        const Candidate &chosen = it == candidates.end() ? candidates.front() : *it;
        m_last = chosen.position;
        return static_cast<std::size_t>(&chosen - candidates.data());
    }

private:
    std::size_t m_last = 0;
};

class Random final : public IStrategy
{
public:
    std::size_t choose(std::span<const Candidate> candidates, IRandomSource &random) override
    {
        return random.below(candidates.size());
    }
};

class LeastOutstanding final : public IStrategy
{
public:
    std::size_t choose(std::span<const Candidate> candidates, IRandomSource &random) override
    {
        const int least =
                std::ranges::min_element(candidates, hasFewerOutstanding)->target->outstanding();
        // Ties are broken at random; always taking the first target would load it alone.
        std::size_t chosen = 0;
        std::uint64_t ties = 0;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (candidates[i].target->outstanding() == least && random.below(++ties) == 0)
                chosen = i;
        }
        return chosen;
    }
};

class TwoChoices final : public IStrategy
{
public:
    std::size_t choose(std::span<const Candidate> candidates, IRandomSource &random) override
    {
        const std::size_t a = random.below(candidates.size());
        if (candidates.size() == 1)
            return a;
        std::size_t b = random.below(candidates.size() - 1);
        if (b >= a)
            ++b;
        return hasFewerOutstanding(candidates[b], candidates[a]) ? b : a;
    }
};

class SlotQueue final : public IStrategy
{
public:
    bool isBoundedBySlots() const override { return true; }

    std::size_t choose(std::span<const Candidate> candidates, IRandomSource &random) override
    {
        const auto fastest =
                std::ranges::min_element(candidates, std::less<>{}, &Candidate::latency);
        const double maxLatency = fastest->latency * kSimilarLatencyFactor;
        std::size_t chosen = 0;
        int least = std::numeric_limits<int>::max();
        std::uint64_t ties = 0;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const int outstanding = candidates[i].target->outstanding();
            if (candidates[i].latency > maxLatency || outstanding > least)
                continue;
            if (outstanding < least)
                ties = 0;
            least = outstanding;
            if (random.below(++ties) == 0)
                chosen = i;
        }
        return chosen;
    }

private:
    // Smaller differences between estimates are noise; always using the lowest one would leave the
    // state of the other targets unknown at low load.
    static constexpr double kSimilarLatencyFactor = 1.5;
};

} // namespace

std::optional<StrategyKind> parseStrategy(std::string_view name)
{
    const auto it = std::ranges::find(kNames, name, &KindName::name);
    if (it == kNames.end())
        return std::nullopt;
    return it->kind;
}

const char *strategyName(StrategyKind kind)
{
    return std::ranges::find(kNames, kind, &KindName::kind)->name;
}

std::unique_ptr<IStrategy> makeStrategy(StrategyKind kind)
{
    switch (kind) {
    case StrategyKind::RoundRobin:
        return std::make_unique<RoundRobin>();
    case StrategyKind::Random:
        return std::make_unique<Random>();
    case StrategyKind::LeastOutstanding:
        return std::make_unique<LeastOutstanding>();
    case StrategyKind::TwoChoices:
        return std::make_unique<TwoChoices>();
    case StrategyKind::SlotQueue:
        break;
    }
    return std::make_unique<SlotQueue>();
}

} // namespace lycheebay
