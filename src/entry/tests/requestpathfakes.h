#pragma once

#include "configuration/configurationstate.h"
#include "configuration/iconfigurationlease.h"
#include "entry/ipeersharing.h"
#include "transport/httpserver.h"

#include <atomic>
#include <vector>

namespace lycheebay {

// Sets ConfigurationState::m_estate without replaying a log. Access checks do not apply to the
// arguments of an explicit instantiation.
template <auto Member>
struct EstateAccess
{
    friend void setEstate(ConfigurationState &state, EstateData data)
    {
        state.*Member = makeRef<const Estate>(std::move(data));
    }
};
template struct EstateAccess<&ConfigurationState::m_estate>;
void setEstate(ConfigurationState &state, EstateData data);

class FakeLease final : public IConfigurationLease
{
public:
    bool isValid(TimePoint) const override { return valid; }

    std::atomic<bool> valid{ true };
};

class FakeSharing final : public IPeerSharing
{
public:
    void publishVerdicts(const CellVerdicts &) override {}
    std::vector<TargetVerdict> latestVerdicts(std::string_view, std::string_view) const override
    {
        return {};
    }
    void shareSuspect(const SharedSuspect &suspect) override { shared.push_back(suspect); }
    void setSuspectCallback(SuspectCallback newCallback) override { callback = newCallback; }

    std::vector<SharedSuspect> shared;
    SuspectCallback callback;
};

class PresentCaller final : public ICaller
{
public:
    bool isGone() const override { return false; }
};

} // namespace lycheebay
