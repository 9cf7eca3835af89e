#pragma once

#include <algorithm>

namespace lycheebay {

/// Budget that requests fill and extra attempts spend. Not thread-safe.
class TokenBucket
{
public:
    explicit TokenBucket(double share)
        : m_share(share)
        , m_tokens(share > 0 ? kInitial : 0)
    {}

    void fill()
    {
        m_tokens = std::min(kMaximum, m_tokens + m_share);
        m_earned += m_share;
    }

    bool tryTake()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        ++m_taken;
        return true;
    }

    /// True as long as the taken tokens do not exceed the earned and initial ones.
    bool isWithinBudget() const { return m_taken <= m_earned + kInitial + kRounding; }

private:
    // A few attempts for a cell that just started or has little traffic.
    static constexpr double kInitial = 3;
    // Bounds a burst of extra attempts after a long time without any.
    static constexpr double kMaximum = 50;
    // Absorbs the rounding of repeated additions of the share.
    static constexpr double kRounding = 0.5;

    double m_share;
    double m_tokens;
    double m_earned = 0;
    double m_taken = 0;
};

} // namespace lycheebay
