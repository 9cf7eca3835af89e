#pragma once

#include "base/intrusiveptr.h"
#include "configuration/configurationtypes.h"

#include <string_view>
#include <vector>

namespace lycheebay {

/// A live entry instance to which cells can be assigned.
struct Member
{
    RosterMember identity;
    /// The instance is about to leave: it completes the requests that it runs, is assigned no cells
    /// and is not returned by address lookups.
    bool leaving = false;

    auto operator<=>(const Member &) const = default;
};

/// Assigns cells to live entry instances by rendezvous hashing (Thaler and Ravishankar, 1998): when
/// a member leaves, only its own cells are reassigned. Immutable, so every method is thread-safe.
/// Returned pointers are valid for the lifetime of the plan.
class CellPlan final : public RefCounted
{
public:
    explicit CellPlan(std::vector<Member> members);

    const std::vector<Member> &members() const { return m_members; }

    /// Returns the dispatcher of a cell, or null when every entry of its region is leaving or there
    /// is none.
    const Member *dispatcher(std::string_view service, std::string_view region) const;

    /// Returns at most \a count entries of the region in failover order: the dispatcher of the cell
    /// first, then the entries that would take the cell over.
    std::vector<const Member *> successors(std::string_view service, std::string_view region,
                                           std::size_t count) const;

    /// Returns the member with this incarnation, or null when the plan has none.
    const Member *findIncarnation(std::uint64_t incarnation) const;

    friend bool operator==(const CellPlan &a, const CellPlan &b)
    {
        return a.m_members == b.m_members;
    }

private:
    std::vector<Member> m_members;
    /// Hash of the instance id of each element of m_members, at the same index.
    std::vector<std::uint64_t> m_memberHashes;
};

} // namespace lycheebay
