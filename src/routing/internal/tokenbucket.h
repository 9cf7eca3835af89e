#pragma once

#include <algorithm>

namespace lycheebay {

/// Budget for extra attempts: each request deposits a fraction of a token, and each extra attempt
/// withdraws a whole one. Not thread-safe.
class TokenBucket
{
public:
    explicit TokenBucket(double tokensPerDeposit)
        : m_tokensPerDeposit(tokensPerDeposit)
        , m_tokens(tokensPerDeposit > 0 ? kInitialTokens : 0)
    {}

    void deposit()
    {
        m_tokens = std::min(kMaxTokens, m_tokens + m_tokensPerDeposit);
        m_deposited += m_tokensPerDeposit;
    }

    bool tryWithdraw()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        ++m_withdrawn;
        return true;
    }

    /// True while no more tokens were withdrawn than deposited or initially available.
    bool isWithinBudget() const
    {
        return m_withdrawn <= m_deposited + kInitialTokens + kRoundingTolerance;
    }

private:
    // Allows a few extra attempts in a cell that just started or has little traffic.
    static constexpr double kInitialTokens = 3;
    // Limits the burst of extra attempts after a long time without any.
    static constexpr double kMaxTokens = 50;
    // Covers the rounding errors of repeated deposits.
    static constexpr double kRoundingTolerance = 0.5;

    double m_tokensPerDeposit;
    double m_tokens;
    double m_deposited = 0;
    double m_withdrawn = 0;
};

} // namespace lycheebay
