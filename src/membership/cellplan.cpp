#include "membership/cellplan.h"

#include "base/hash.h"

#include <algorithm>

namespace lycheebay {

namespace {

struct RankedMember
{
    std::uint64_t score = 0;
    const Member *member = nullptr;
};

/// Combines two hashes with the finalizer of SplitMix64. The result is the same on every
/// instance, so that all of them compute the same ranking.
std::uint64_t rendezvousScore(std::uint64_t cellHash, std::uint64_t memberHash)
{
    std::uint64_t bits = cellHash ^ memberHash;
    bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9ULL;
    bits = (bits ^ (bits >> 27)) * 0x94d049bb133111ebULL;
    return bits ^ (bits >> 31);
}

std::uint64_t cellHashOf(std::string_view service, std::string_view region)
{
    return hash64(service, hash64(region));
}

} // namespace

CellPlan::CellPlan(std::vector<Member> members)
    : m_members(std::move(members))
{
    std::sort(m_members.begin(), m_members.end());
    for (const Member &member : m_members)
        m_memberHashes.push_back(hash64(member.identity.instanceId));
}

const Member *CellPlan::dispatcher(std::string_view service, std::string_view region) const
{
    const std::uint64_t cellHash = cellHashOf(service, region);
    RankedMember best;
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        const Member &member = m_members[i];
        if (member.leaving || member.identity.region != region)
            continue;
        const std::uint64_t score = rendezvousScore(cellHash, m_memberHashes[i]);
        if (!best.member || score > best.score)
            best = { score, &member };
    }
    return best.member;
}

std::vector<const Member *> CellPlan::successors(std::string_view service, std::string_view region,
                                                 std::size_t count) const
{
    const std::uint64_t cellHash = cellHashOf(service, region);
    std::vector<RankedMember> ranked;
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        const Member &member = m_members[i];
        if (!member.leaving && member.identity.region == region)
            ranked.push_back({ rendezvousScore(cellHash, m_memberHashes[i]), &member });
    }
    std::stable_sort(
            ranked.begin(), ranked.end(),
            [](const RankedMember &a, const RankedMember &b) { return a.score > b.score; });
    std::vector<const Member *> result;
    for (std::size_t i = 0; i < std::min(count, ranked.size()); ++i)
        result.push_back(ranked[i].member);
    return result;
}

const Member *CellPlan::findIncarnation(std::uint64_t incarnation) const
{
    const auto it = std::find_if(m_members.begin(), m_members.end(), [&](const Member &member) {
        return member.identity.incarnation == incarnation;
    });
    return it == m_members.end() ? nullptr : &*it;
}

} // namespace lycheebay
