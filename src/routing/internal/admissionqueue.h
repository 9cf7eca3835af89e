#pragma once

#include "base/intrusivelist.h"
#include "routing/routingtypes.h"

#include <array>
#include <set>
#include <vector>

namespace lycheebay {

struct QueueTag;
class AdmissionQueue;

/// State of a request from its submission until finish().
struct RequestState : ListNode<QueueTag>
{
    RequestId id = 0;
    RequestTraits traits;
    TimePoint queuedAt;
    int inFlight = 0;
    bool queued = false;
    /// Ordinals of the targets to which the request was sent.
    std::vector<std::uint32_t> triedTargets;

    bool isHighPriority() const { return traits.weight >= kHighPriorityWeight; }
    static constexpr int kHighPriorityWeight = 2;
};

/// Requests that wait for a slot, one FIFO list per priority class. High-priority requests start
/// first; while both classes wait, every fifth start is a low-priority one, which prevents
/// starvation. Not thread-safe.
class AdmissionQueue
{
public:
    std::size_t size() const { return m_sizes[HighPriority] + m_sizes[LowPriority]; }
    bool empty() const { return size() == 0; }
    std::size_t highPriorityCount() const { return m_sizes[HighPriority]; }
    std::size_t lowPriorityCount() const { return m_sizes[LowPriority]; }

    /// Appends \a request to its class. Precondition: it is not queued.
    void push(RequestState *request, TimePoint now);
    /// Removes \a request from any position. Precondition: it is queued.
    void remove(RequestState *request);

    /// The first request of the class that starts next, or null.
    RequestState *front() const;
    /// The request after \a request in its class, or null.
    RequestState *next(RequestState *request) const;
    /// The first request of the class that does not start next, or null.
    RequestState *frontOfOtherClass() const;
    /// The low-priority request that was queued last, or null.
    RequestState *newestLowPriority() const { return m_lists[LowPriority].back(); }
    /// The request with the earliest deadline, or null.
    RequestState *earliestDeadline() const;
    /// Records the class of a request that got a slot, for the ratio between the classes.
    void recordStart(const RequestState &request);

    /// Number of requests that would start before a request of this class queued now.
    std::size_t positionFor(bool highPriority) const;

private:
    enum Class { HighPriority, LowPriority };
    static constexpr int kHighPriorityStartsPerLow = 4;

    struct ByDeadline
    {
        bool operator()(const RequestState *a, const RequestState *b) const
        {
            return a->traits.deadline != b->traits.deadline
                           ? a->traits.deadline < b->traits.deadline
                           : a->id < b->id;
        }
    };

    static Class classOf(const RequestState &request)
    {
        return request.isHighPriority() ? HighPriority : LowPriority;
    }
    Class nextClass() const;

    std::array<IntrusiveList<RequestState, QueueTag>, 2> m_lists;
    std::array<std::size_t, 2> m_sizes{};
    std::set<RequestState *, ByDeadline> m_byDeadline;
    int m_consecutiveHighStarts = 0;
};

} // namespace lycheebay
