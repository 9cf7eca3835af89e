#pragma once

#include "gateway/relay/keyedrecord.h"

namespace lycheebay {

/// Decides what a record of a log means for what is already known of its key. The platform's
/// adapter knows what the records say. Thread-safe.
class IRecordPolicy
{
public:
    virtual ~IRecordPolicy() = default;

    /// True if \a record takes the place of \a known. Precondition: they have the same key.
    virtual bool replaces(const KeyedRecord &known, const KeyedRecord &record) const = 0;
    /// True if a record of an earlier era ends when it is not written again in time.
    virtual bool lapses(const KeyedRecord &record) const = 0;
};

/// Takes the record with the later position; all records lapse.
class PositionPolicy final : public IRecordPolicy
{
public:
    bool replaces(const KeyedRecord &known, const KeyedRecord &record) const override
    {
        return record.position > known.position;
    }
    bool lapses(const KeyedRecord & /*record*/) const override { return true; }
};

} // namespace lycheebay
