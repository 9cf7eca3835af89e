#pragma once

#include "base/intrusiveptr.h"
#include "platform/iinstancelist.h"

#include <algorithm>
#include <string_view>
#include <vector>

namespace lycheebay {

/// The instance list as last read. Immutable, so every method is thread-safe.
class PlatformView final : public RefCounted
{
public:
    explicit PlatformView(std::vector<PlatformInstance> instances)
        : m_instances(std::move(instances))
    {
        std::sort(m_instances.begin(), m_instances.end());
    }

    const std::vector<PlatformInstance> &instances() const { return m_instances; }

    /// Tells whether the list shows \a id as leaving. False proves nothing: the list lags.
    bool isLeaving(std::string_view id) const
    {
        return std::any_of(m_instances.begin(), m_instances.end(), [&](const auto &instance) {
            return instance.id == id && instance.state == InstanceState::Leaving;
        });
    }

private:
    std::vector<PlatformInstance> m_instances;
};

} // namespace lycheebay
