#pragma once

#include "base/iclock.h"

#include <algorithm>
#include <mutex>

namespace lycheebay {

/// Token bucket in bytes that holds one second of the rate. charge() may make the balance negative,
/// because the size of a response is not known in advance; refills cover the deficit first.
/// Thread-safe.
class ByteBudget
{
public:
    explicit ByteBudget(double bytesPerSecond)
        : m_rate(bytesPerSecond)
        , m_available(bytesPerSecond)
    {}

    /// Consumes \a bytes, or returns false when fewer are available.
    bool tryTake(std::size_t bytes, TimePoint now)
    {
        const std::lock_guard lock(m_mutex);
        if (m_refilled != TimePoint()) {
            const std::chrono::duration<double> passed = now - m_refilled;
            m_available = std::min(m_rate, m_available + std::max(0.0, passed.count()) * m_rate);
        }
        m_refilled = std::max(m_refilled, now);
        if (m_available < static_cast<double>(bytes))
            return false;
        m_available -= static_cast<double>(bytes);
        return true;
    }

    /// Consumes \a bytes even if the balance becomes negative.
    void charge(std::size_t bytes)
    {
        const std::lock_guard lock(m_mutex);
        m_available -= static_cast<double>(bytes);
    }

private:
    const double m_rate;
    std::mutex m_mutex;
    double m_available;
    TimePoint m_refilled;
};

} // namespace lycheebay
