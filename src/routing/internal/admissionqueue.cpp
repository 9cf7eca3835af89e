#include "routing/internal/admissionqueue.h"

#include <algorithm>

namespace lycheebay {

void AdmissionQueue::push(RequestState *request, TimePoint now)
{
    const Class weightClass = classOf(*request);
    m_lists[weightClass].pushBack(request);
    ++m_sizes[weightClass];
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
    return m_lists[turn()].front();
}

RequestState *AdmissionQueue::next(RequestState *request) const
{
    return m_lists[classOf(*request)].next(request);
}

RequestState *AdmissionQueue::otherFront() const
{
    return m_lists[turn() == Heavy ? Light : Heavy].front();
}

RequestState *AdmissionQueue::earliestDeadline() const
{
    return m_byDeadline.empty() ? nullptr : *m_byDeadline.begin();
}

void AdmissionQueue::recordStart(const RequestState &request)
{
    if (!request.isHeavy())
        m_heavyStarts = 0;
    else if (m_sizes[Light] > 0)
        ++m_heavyStarts;
}

std::size_t AdmissionQueue::positionFor(bool heavy) const
{
    const std::size_t heavies = m_sizes[Heavy];
    const std::size_t lights = m_sizes[Light];
    if (heavy)
        return heavies + std::min(lights, heavies / kHeavyStartsPerLight);
    return lights + std::min(heavies, kHeavyStartsPerLight * (lights + 1));
}

AdmissionQueue::Class AdmissionQueue::turn() const
{
    if (m_sizes[Heavy] == 0)
        return Light;
    if (m_sizes[Light] > 0 && m_heavyStarts >= kHeavyStartsPerLight)
        return Light;
    return Heavy;
}

} // namespace lycheebay
