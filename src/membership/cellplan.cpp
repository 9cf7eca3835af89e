#include "membership/cellplan.h"

#include "base/hash.h"

#include <fmt/format.h>

#include <algorithm>

namespace lycheebay {

namespace {

struct RankedMember
{
    std::uint64_t score = 0;
    const Member *member = nullptr;
};

std::uint64_t rendezvousScore(std::string_view service, std::string_view region,
                              std::string_view instanceId)
{
    return hash64(fmt::format("{}\n{}\n{}", service, region, instanceId));
}

} // namespace

CellPlan::CellPlan(std::vector<Member> members)
    : m_members(std::move(members))
{
    std::sort(m_members.begin(), m_members.end());
}

const Member *CellPlan::dispatcher(std::string_view service, std::string_view region) const
{
    const auto first = successors(service, region, 1);
    return first.empty() ? nullptr : first.front();
}

std::vector<const Member *> CellPlan::successors(std::string_view service, std::string_view region,
                                                 std::size_t count) const
{
    std::vector<RankedMember> ranked;
    for (const Member &member : m_members) {
        if (member.identity.region != region || member.leaving)
            continue;
        ranked.push_back({ rendezvousScore(service, region, member.identity.instanceId), &member });
    }
    std::sort(ranked.begin(), ranked.end(),
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
