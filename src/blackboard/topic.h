#pragma once

#include "base/intrusiveptr.h"
#include "blackboard/readerthread.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <vector>

namespace lycheebay {

/// One entry of the blackboard: an immutable value that is replaced as a whole.
/// Readers never block and never wait for a writer (read-copy-update); writers take turns.
template <typename T>
class Topic
{
public:
    using Value = IntrusivePtr<const T>;
    using Listener = std::function<void(const Value &)>;

    Topic() = default;
    Topic(const Topic &) = delete;
    Topic &operator=(const Topic &) = delete;
    ~Topic() { Value::adopt(m_value.load()); }

    /// Returns the newest value, or null before the first publish(). Thread-safe and wait-free.
    Value read() const
    {
        rcu::lockRead();
        Value value(m_value.load(std::memory_order_acquire));
        rcu::unlockRead();
        return value;
    }

    /// Replaces the value and tells the listeners, in the calling thread. Thread-safe.
    /// Precondition: not called from a listener of the same topic.
    void publish(Value value)
    {
        const std::lock_guard lock(m_writer);
        const Value current = value;
        const Value previous = Value::adopt(m_value.exchange(value.detach()));
        rcu::waitForReaders();
        for (const Listener &listener : m_listeners)
            listener(current);
    }

    /// Adds a listener for later values; it lives as long as the topic. Thread-safe.
    void subscribe(Listener listener)
    {
        const std::lock_guard lock(m_writer);
        m_listeners.push_back(std::move(listener));
    }

private:
    std::atomic<const T *> m_value{ nullptr };
    std::mutex m_writer;
    std::vector<Listener> m_listeners;
};

} // namespace lycheebay
