#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <utility>

namespace lycheebay {

/// Base of objects that carry their own reference count. The count is thread-safe and starts at
/// zero; the first IntrusivePtr takes the first reference. Create such objects with makeRef(),
/// because the last release() deletes them.
class RefCounted
{
public:
    RefCounted() = default;
    RefCounted(const RefCounted &)
        : m_count(0)
    {}
    RefCounted &operator=(const RefCounted &) { return *this; }
    virtual ~RefCounted() = default;

    void addRef() const { m_count.fetch_add(1, std::memory_order_relaxed); }
    void release() const
    {
        if (m_count.fetch_sub(1, std::memory_order_acq_rel) == 1)
            delete this;
    }

private:
    mutable std::atomic<std::uint32_t> m_count{ 0 };
};

/// Owning pointer to a RefCounted object. One pointer object is not thread-safe; copies are
/// independent.
template <typename T>
class IntrusivePtr
{
public:
    IntrusivePtr() = default;
    IntrusivePtr(std::nullptr_t) {}
    explicit IntrusivePtr(T *object)
        : m_object(object)
    {
        if (m_object)
            m_object->addRef();
    }
    IntrusivePtr(const IntrusivePtr &other)
        : IntrusivePtr(other.m_object)
    {}
    IntrusivePtr(IntrusivePtr &&other) noexcept
        : m_object(std::exchange(other.m_object, nullptr))
    {}
    template <typename U>
    IntrusivePtr(const IntrusivePtr<U> &other)
        : IntrusivePtr(static_cast<T *>(other.get()))
    {}
    ~IntrusivePtr()
    {
        if (m_object)
            m_object->release();
    }

    IntrusivePtr &operator=(IntrusivePtr other) noexcept
    {
        std::swap(m_object, other.m_object);
        return *this;
    }

    T *get() const { return m_object; }
    T *operator->() const { return m_object; }
    T &operator*() const { return *m_object; }
    explicit operator bool() const { return m_object != nullptr; }

    /// Gives up ownership without releasing the reference.
    T *detach() { return std::exchange(m_object, nullptr); }
    /// Takes over a reference that detach() gave up.
    static IntrusivePtr adopt(T *object)
    {
        IntrusivePtr ptr;
        ptr.m_object = object;
        return ptr;
    }

    friend bool operator==(const IntrusivePtr &a, const IntrusivePtr &b)
    {
        return a.m_object == b.m_object;
    }
    /// Orders by address, for use as a key.
    friend bool operator<(const IntrusivePtr &a, const IntrusivePtr &b)
    {
        return std::less<>()(a.m_object, b.m_object);
    }

private:
    T *m_object = nullptr;
};

/// Creates a RefCounted object.
template <typename T, typename... Args>
IntrusivePtr<T> makeRef(Args &&...args)
{
    return IntrusivePtr<T>(new T(std::forward<Args>(args)...));
}

} // namespace lycheebay
