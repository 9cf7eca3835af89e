#include "routing/internal/admissionqueue.h"

#include <algorithm>

namespace lycheebay {

void AdmissionQueue::push(RequestState *request, TimePoint now)
{
    const Class priorityClass = classOf(*request);
    m_lists[priorityClass].pushBack(request);
    ++m_sizes[priorityClass];
    m_byDeadline.insert(request);
    request->queued = true;
    request->queuedAt = now;
}

void AdmissionQueue::remove(RequestState *request)
{
    request->unlink();
    --m_sizes[classOf(*request)];
    m_byDeadline.erase(request);
    request->queued = false;
}

RequestState *AdmissionQueue::front() const
{
    return m_lists[nextClass()].front();
}

RequestState *AdmissionQueue::next(RequestState *request) const
{
    return m_lists[classOf(*request)].next(request);
}

RequestState *AdmissionQueue::frontOfOtherClass() const
{
    return m_lists[nextClass() == HighPriority ? LowPriority : HighPriority].front();
}

RequestState *AdmissionQueue::earliestDeadline() const
{
    return m_byDeadline.empty() ? nullptr : *m_byDeadline.begin();
}

void AdmissionQueue::recordStart(const RequestState &request)
{
    if (!request.isHighPriority())
        m_consecutiveHighStarts = 0;
    else if (m_sizes[LowPriority] > 0)
        ++m_consecutiveHighStarts;
}

std::size_t AdmissionQueue::positionFor(bool highPriority) const
{
    const std::size_t high = m_sizes[HighPriority];
    const std::size_t low = m_sizes[LowPriority];
    if (highPriority)
        return high + std::min(low, high / kHighPriorityStartsPerLow);
    return low + std::min(high, kHighPriorityStartsPerLow * (low + 1));
}

AdmissionQueue::Class AdmissionQueue::nextClass() const
{
    if (m_sizes[HighPriority] == 0)
        return LowPriority;
    if (m_sizes[LowPriority] > 0 && m_consecutiveHighStarts >= kHighPriorityStartsPerLow)
        return LowPriority;
    return HighPriority;
}

} // namespace lycheebay
