#pragma once

#include "gateway/estateview.h"
#include "gateway/relay/operatorrecords.h"

#include <cstdint>
#include <optional>

namespace lycheebay {

/// Receives the results of the reads of an IEstateSource.
class IEstateSourceListener
{
public:
    virtual ~IEstateSourceListener() = default;

    /// Called when a read of the targets that began at \a startedAt has ended. \a targets is null
    /// if the read failed. \a upToDate is false while the list may still contain targets that no
    /// longer exist, because contact with the platform was lost shortly before.
    virtual void targetsRead(const IntrusivePtr<const TargetList> &targets, TimePoint startedAt,
                             bool upToDate) = 0;
    /// Called when a read of the operator's records has succeeded, also if there were none.
    virtual void operatorRecordsRead() = 0;
    /// Called when the platform's list of instances has changed; readInstances() fetches it.
    virtual void instancesChanged() = 0;
    /// Called when a read of the instances has succeeded.
    virtual void instancesRead(const IntrusivePtr<const InstanceList> &instances) = 0;
    /// Called when the platform answers again after a call that failed.
    virtual void platformRegained() = 0;
};

/// Reads the state of the estate from the platform. Not thread-safe: use it on the event loop.
class IEstateSource
{
public:
    virtual ~IEstateSource() = default;

    /// Starts the source. Precondition: \a listener outlives the source.
    virtual void start(IEstateSourceListener &listener) = 0;
    /// Reads the targets once; does nothing if a read is already running.
    virtual void readTargets() = 0;
    /// Position up to which the targets were read.
    virtual LogPosition targetsPosition() const = 0;
    /// Takes over a list that another instance read up to \a position, in a read that started at
    /// \a asOf; the next read continues there.
    virtual void adoptTargets(const TargetList &targets, const LogPosition &position,
                              TimePoint asOf) = 0;
    /// Reads the instances once.
    virtual void readInstances() = 0;
    /// Sets the timeout of the long polls by which the source continuously reads the operator's
    /// records. A shorter timeout than before also ends the poll in progress. Null stops polling;
    /// changes then arrive through applyOperatorRecords().
    virtual void setOperatorPollTimeout(std::optional<Duration> timeout) = 0;
    /// Time of the last successful read of the operator's records; null before the first one.
    virtual std::optional<TimePoint> operatorRecordsReadAt() const = 0;
    /// Position after the last known record of the operator; the lowest one before the first read.
    virtual LogPosition operatorRecordsPosition() const = 0;
    /// Number of changes of the operator's records that are known here.
    virtual std::uint64_t operatorRecordsRevision() const = 0;
    /// Returns the operator's records that changed after \a revision.
    virtual OperatorRecords operatorRecordsSince(std::uint64_t revision) const = 0;
    /// Applies records that another instance read.
    virtual void applyOperatorRecords(const OperatorRecords &records) = 0;
};

} // namespace lycheebay
