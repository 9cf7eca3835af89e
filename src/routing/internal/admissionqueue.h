#pragma once

#include "base/intrusivelist.h"
#include "routing/routingtypes.h"

#include <array>
#include <set>
#include <vector>

namespace lycheebay {

struct QueueTag;
class AdmissionQueue;

/// A submitted request until it is finished.
struct RequestState : ListNode<QueueTag>
{
    RequestId id = 0;
    RequestTraits traits;
    TimePoint queuedAt;
    int inFlight = 0;
    bool queued = false;
    /// Ordinals of the targets that had an attempt of it.
    std::vector<std::uint32_t> tried;

    bool isHeavy() const { return traits.weight >= kHeavyWeight; }
    static constexpr int kHeavyWeight = 2;
};

/// Requests that wait for a slot, one list per weight class. Heavy requests go first; while both
/// classes wait, every fifth start is a light one, so light requests do not starve.
/// Not thread-safe.
class AdmissionQueue
{
public:
    std::size_t size() const { return m_sizes[Heavy] + m_sizes[Light]; }
    bool empty() const { return size() == 0; }
    std::size_t heavyCount() const { return m_sizes[Heavy]; }
    std::size_t lightCount() const { return m_sizes[Light]; }

    /// Appends \a request to its class. Precondition: it is not queued.
    void push(RequestState *request, TimePoint now);
    /// Takes \a request out, wherever it is. Precondition: it is queued.
    void remove(RequestState *request);

    /// The request whose turn it is, or null.
    RequestState *front() const;
    /// The request after \a request in its class, or null.
    RequestState *next(RequestState *request) const;
    /// The first request of the class whose turn it is not, or null.
    RequestState *otherFront() const;
    /// The light request that waits longest behind others, or null.
    RequestState *newestLight() const { return m_lists[Light].back(); }
    /// The request with the earliest deadline, or null.
    RequestState *earliestDeadline() const;
    /// Tells which class got a slot.
    void recordStart(const RequestState &request);

    /// Number of starts before one that is queued now with this weight.
    std::size_t positionFor(bool heavy) const;

private:
    enum Class { Heavy, Light };
    static constexpr int kHeavyStartsPerLight = 4;

    struct ByDeadline
    {
        bool operator()(const RequestState *a, const RequestState *b) const
        {
            return a->traits.deadline != b->traits.deadline
                           ? a->traits.deadline < b->traits.deadline
                           : a->id < b->id;
        }
    };

    static Class classOf(const RequestState &request) { return request.isHeavy() ? Heavy : Light; }
    Class turn() const;

    std::array<IntrusiveList<RequestState, QueueTag>, 2> m_lists;
    std::array<std::size_t, 2> m_sizes{};
    std::set<RequestState *, ByDeadline> m_byDeadline;
    int m_heavyStarts = 0;
};

} // namespace lycheebay
