#pragma once

#include "base/intrusiveptr.h"
#include "configuration/configurationtypes.h"

#include <string_view>
#include <vector>

namespace lycheebay {

/// A live entry instance as the cell plan sees it.
struct Member
{
    RosterMember identity;
    /// Leaves soon: keeps what it runs, gets no cell and appears in no address answer.
    bool leaving = false;

    auto operator<=>(const Member &) const = default;
};

/// Assigns cells to live entry instances by rendezvous hashing (Thaler and Ravishankar, 1998), so
/// that a member that leaves moves only its own cells. Immutable, so every method is thread-safe.
/// Returned pointers live as long as the plan.
class CellPlan final : public RefCounted
{
public:
    explicit CellPlan(std::vector<Member> members);

    const std::vector<Member> &members() const { return m_members; }

    /// Returns the dispatcher of a cell, or null when its region has no entry that stays.
    const Member *dispatcher(std::string_view service, std::string_view region) const;

    /// Returns the entries of a region in the order in which they would take over the cell, at most
    /// \a count.
    std::vector<const Member *> successors(std::string_view service, std::string_view region,
                                           std::size_t count) const;

    /// Returns null for an instance that is not in the plan.
    const Member *findIncarnation(std::uint64_t incarnation) const;

    friend bool operator==(const CellPlan &a, const CellPlan &b)
    {
        return a.m_members == b.m_members;
    }

private:
    std::vector<Member> m_members;
    /// Hashes of the instance ids, in the order of m_members.
    std::vector<std::uint64_t> m_memberHashes;
};

} // namespace lycheebay
