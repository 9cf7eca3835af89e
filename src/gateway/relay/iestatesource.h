#pragma once

#include "gateway/estateview.h"

#include <cstdint>

namespace lycheebay {

/// Is told what an IEstateSource read.
class IEstateSourceListener
{
public:
    virtual ~IEstateSourceListener() = default;

    /// A read of the targets, which began at \a startedAt, ended. \a targets is null if it failed.
    /// \a settled is false while the list may still name targets that are gone, because contact
    /// with the platform was lost shortly before.
    virtual void targetsRead(const IntrusivePtr<const TargetList> &targets, TimePoint startedAt,
                             bool settled) = 0;
    /// The configuration was read up to a further position.
    virtual void configurationRead() = 0;
    /// The platform's list of instances changed; readInstances() shows it.
    virtual void instancesChanged() = 0;
    /// A read of the instances ended well.
    virtual void instancesRead(const IntrusivePtr<const InstanceList> &instances) = 0;
};

/// The platform's description of the estate. Not thread-safe: use it on the event loop.
class IEstateSource
{
public:
    virtual ~IEstateSource() = default;

    /// Precondition: \a listener outlives the source.
    virtual void start(IEstateSourceListener &listener) = 0;
    /// Reads the targets once; does nothing while such a read runs.
    virtual void readTargets() = 0;
    /// Reads the instances once.
    virtual void readInstances() = 0;
    /// Sets how long one read of the configuration waits for a change. The source reads on by
    /// itself; a shorter wait also ends a read that waits.
    virtual void setConfigurationWait(Duration wait) = 0;
    /// Position up to which the configuration was read.
    virtual std::uint64_t configurationPosition() const = 0;
    /// Reads the configuration at once if it was read to before \a position only.
    virtual void catchUpConfiguration(std::uint64_t position) = 0;
};

} // namespace lycheebay
