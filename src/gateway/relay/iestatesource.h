#pragma once

#include "gateway/estateview.h"
#include "gateway/relay/operatorrecords.h"

#include <cstdint>
#include <optional>

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
    /// The operator's records were read up to a further position.
    virtual void operatorRecordsRead() = 0;
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
    /// Position up to which the targets were read.
    virtual std::uint64_t targetsPosition() const = 0;
    /// Takes a list that another instance read up to \a position, so that the next read goes on
    /// from there.
    virtual void adoptTargets(const TargetList &targets, std::uint64_t position) = 0;
    /// Reads the instances once.
    virtual void readInstances() = 0;
    /// Sets how long one read of the operator's records waits for a change. The source reads on by
    /// itself; a shorter wait also ends a read that waits. Null: no more reads are made, since
    /// applyOperatorRecords() brings what changes.
    virtual void setOperatorPollTimeout(std::optional<Duration> wait) = 0;
    /// When the operator's records were last read with success; null before the first time.
    virtual std::optional<TimePoint> operatorRecordsReadAt() const = 0;
    /// Offset after the last of the operator's records that is known; 0 before the first read.
    virtual std::uint64_t operatorRecordsPosition() const = 0;
    /// Returns the operator's records from offset \a since on.
    virtual OperatorRecords operatorRecordsSince(std::uint64_t since) const = 0;
    /// Takes records that another instance read.
    virtual void applyOperatorRecords(const OperatorRecords &records) = 0;
};

} // namespace lycheebay
