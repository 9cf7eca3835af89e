#include "tools/load/historycheck.h"

#include <map>

namespace lycheebay::load {

namespace {

struct KeyHistory
{
    Outcome last = Outcome::NotRun;
    bool isAlwaysNotRun = true;
};

std::uint64_t runsOf(const RunCounts &runs, const std::string &key)
{
    const auto it = runs.find(key);
    return it == runs.end() ? 0 : it->second;
}

void countOutcome(const RequestRecord &record, HistoryCheck &check)
{
    ++check.sent;
    check.wrong += record.isWrong ? 1 : 0;
    if (record.outcome == Outcome::Done)
        ++check.answered;
    else
        ++check.refused;
    check.refusedUnknown += record.outcome == Outcome::Unknown ? 1 : 0;
}

void checkRequest(const RequestRecord &record, const RunCounts &runs, HistoryCheck &check)
{
    std::map<std::string, KeyHistory> keys;
    for (const Try &it : record.tries) {
        KeyHistory &key = keys[it.key];
        key.last = it.outcome;
        key.isAlwaysNotRun = key.isAlwaysNotRun && it.outcome == Outcome::NotRun;
    }
    const bool isOrder = record.kind == Kind::Order;
    std::uint64_t total = 0;
    bool isFalse = false;
    for (const auto &[name, key] : keys) {
        const std::uint64_t count = runsOf(runs, name);
        total += count;
        const bool saysNotRun = key.isAlwaysNotRun || (isOrder && key.last == Outcome::NotRun);
        isFalse = isFalse || (saysNotRun && count > 0);
    }
    if (isOrder && total > 1)
        check.doubled.push_back(record.id);
    if (isFalse)
        check.falseNotRun.push_back(record.id);
    const bool isSuccess = record.status() >= 200 && record.status() < 300;
    const bool isDone = record.outcome == Outcome::Done && isSuccess;
    if (isDone && runsOf(runs, record.tries.back().key) == 0)
        check.lost.push_back(record.id);
}

} // namespace

HistoryCheck checkHistory(const std::vector<RequestRecord> &history, const RunCounts &runs)
{
    HistoryCheck check;
    for (const RequestRecord &it : history) {
        countOutcome(it, check);
        checkRequest(it, runs, check);
    }
    return check;
}

} // namespace lycheebay::load
