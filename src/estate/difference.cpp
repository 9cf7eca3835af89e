#include "estate/difference.h"

#include "estate/internal/sheetrows.h"

#include <fmt/format.h>

#include <map>

namespace lycheebay {

namespace {

struct RowPair
{
    std::string before;
    std::string after;
};

std::map<std::string, RowPair> differingRows(const EstateData &before, const EstateData &after)
{
    std::map<std::string, RowPair> pairs;
    for (SheetRow &row : sheetRows(before))
        pairs[row.key].before = std::move(row.text);
    for (SheetRow &row : sheetRows(after))
        pairs[row.key].after = std::move(row.text);
    std::erase_if(pairs, [](const auto &item) { return item.second.before == item.second.after; });
    return pairs;
}

} // namespace

std::vector<std::string> describeDifference(const EstateData &before, const EstateData &after)
{
    std::vector<std::string> lines;
    for (const auto &[key, rows] : differingRows(before, after)) {
        if (rows.before.empty())
            lines.push_back("added " + rows.after);
        else if (rows.after.empty())
            lines.push_back("removed " + rows.before);
        else
            lines.push_back(fmt::format("changed {} to {}", rows.before, rows.after));
    }
    return lines;
}

std::vector<std::string> changedObjects(const EstateData &before, const EstateData &after)
{
    std::vector<std::string> keys;
    for (const auto &[key, rows] : differingRows(before, after))
        keys.push_back(key);
    return keys;
}

} // namespace lycheebay
