#pragma once

#include <cstddef>

namespace lycheebay {

/// Links of an element of an IntrusiveList. An element is in at most one list per Tag.
template <typename Tag>
class ListNode
{
public:
    ListNode() = default;
    ListNode(const ListNode &) = delete;
    ListNode &operator=(const ListNode &) = delete;
    ~ListNode() { unlink(); }

    bool isLinked() const { return m_next != nullptr; }

    /// Leaves the list in constant time; does nothing when in none.
    void unlink()
    {
        if (!m_next)
            return;
        m_previous->m_next = m_next;
        m_next->m_previous = m_previous;
        m_next = nullptr;
        m_previous = nullptr;
    }

private:
    template <typename T, typename ListTag>
    friend class IntrusiveList;

    ListNode *m_next = nullptr;
    ListNode *m_previous = nullptr;
};

/// Doubly linked list of elements that derive from ListNode<Tag>; it owns none of them.
/// Not thread-safe.
template <typename T, typename Tag>
class IntrusiveList
{
    using Node = ListNode<Tag>;

public:
    IntrusiveList()
    {
        m_head.m_next = &m_head;
        m_head.m_previous = &m_head;
    }
    IntrusiveList(const IntrusiveList &) = delete;
    IntrusiveList &operator=(const IntrusiveList &) = delete;
    ~IntrusiveList()
    {
        while (!empty())
            front()->Node::unlink();
        m_head.m_next = nullptr;
        m_head.m_previous = nullptr;
    }

    bool empty() const { return m_head.m_next == &m_head; }

    /// Returns the first element, or null.
    T *front() const { return empty() ? nullptr : static_cast<T *>(m_head.m_next); }
    /// Returns the last element, or null.
    T *back() const { return empty() ? nullptr : static_cast<T *>(m_head.m_previous); }
    /// Returns the element after \a element, or null at the end.
    T *next(const T *element) const
    {
        Node *node = static_cast<const Node *>(element)->m_next;
        return node == &m_head ? nullptr : static_cast<T *>(node);
    }

    /// Appends \a element. Precondition: it is in no list of this tag.
    void pushBack(T *element) { insertBefore(&m_head, element); }
    /// Prepends \a element. Precondition: it is in no list of this tag.
    void pushFront(T *element) { insertBefore(m_head.m_next, element); }

private:
    void insertBefore(Node *position, Node *node)
    {
        node->m_next = position;
        node->m_previous = position->m_previous;
        position->m_previous->m_next = node;
        position->m_previous = node;
    }

    Node m_head;
};

} // namespace lycheebay
