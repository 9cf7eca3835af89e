#pragma once

#include "base/iclock.h"

#include <algorithm>
#include <mutex>

namespace lycheebay {

/// A token bucket of one second's bytes. A response may overdraw it, because its size is not known
/// before; the debt is paid back first. Thread-safe.
class ByteBudget
{
public:
    explicit ByteBudget(double bytesPerSecond)
        : m_rate(bytesPerSecond)
        , m_available(bytesPerSecond)
    {}

    bool take(std::size_t bytes, TimePoint now)
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
