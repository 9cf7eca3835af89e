#include "estate/internal/estatefaults.h"
#include "estate/internal/text.h"
#include "estate/sheet.h"

#include <csv.h>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <map>

namespace lycheebay {

namespace {

constexpr std::size_t kMaxFieldBytes = 4096;
// A file of another kind has a fault on each line; more than this helps nobody.
constexpr std::size_t kMaxFaults = 1000;
constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";

using Fields = std::vector<std::string>;

/// Splits single CSV lines with libcsv in its strict mode.
class CsvLineParser
{
public:
    CsvLineParser() { csv_init(&m_parser, CSV_STRICT | CSV_STRICT_FINI); }
    ~CsvLineParser() { csv_free(&m_parser); }
    CsvLineParser(const CsvLineParser &) = delete;
    CsvLineParser &operator=(const CsvLineParser &) = delete;

    /// Returns false for a line that is not CSV; \a fields then holds those before the fault.
    bool parse(std::string_view line, Fields &fields)
    {
        const std::size_t n =
                csv_parse(&m_parser, line.data(), line.size(), &addField, nullptr, &fields);
        // After a fault, csv_fini() would add the faulty field too.
        if (n == line.size() && csv_fini(&m_parser, &addField, nullptr, &fields) == 0)
            return true;
        csv_free(&m_parser);
        csv_init(&m_parser, CSV_STRICT | CSV_STRICT_FINI);
        return false;
    }

private:
    static void addField(void *text, std::size_t n, void *fields)
    {
        static_cast<Fields *>(fields)->emplace_back(static_cast<const char *>(text), n);
    }

    csv_parser m_parser{};
};

template <typename T>
std::optional<T> parseNumber(std::string_view text)
{
    T value{};
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return value;
}

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> items;
    while (!text.empty()) {
        const std::size_t n = std::min(text.find(' '), text.size());
        if (n > 0)
            items.emplace_back(text.substr(0, n));
        text.remove_prefix(std::min(n + 1, text.size()));
    }
    return items;
}

class SheetReader
{
public:
    SheetReading run(std::string_view text)
    {
        if (text.size() > kMaxSheetBytes)
            return { std::nullopt, { { 0, 0, "the sheet is larger than 8 MiB" } } };
        if (text.starts_with(kByteOrderMark))
            text.remove_prefix(kByteOrderMark.size());
        while (!text.empty()) {
            const std::size_t n = std::min(text.find('\n'), text.size());
            readLine(text.substr(0, n));
            text.remove_prefix(std::min(n + 1, text.size()));
        }
        if (!m_hasHeader && m_faults.empty())
            report(0, 0, "the sheet is empty");
        checkEstate();
        if (m_faults.empty())
            return { std::move(m_sheet), {} };
        return { std::nullopt, sortedFaults() };
    }

private:
    struct RowKind
    {
        std::size_t fields = 0;
        void (SheetReader::*read)() = nullptr;
    };

    void report(std::size_t line, std::size_t column, std::string message)
    {
        if (m_faults.size() < kMaxFaults)
            m_faults.push_back({ line, column, std::move(message) });
        else
            m_omitted = true;
    }
    void reportField(std::size_t column, std::string message)
    {
        report(m_line, column, std::move(message));
    }

    std::vector<SheetFault> sortedFaults()
    {
        std::sort(m_faults.begin(), m_faults.end());
        if (m_omitted)
            m_faults.push_back({ 0, 0, "further faults were left out" });
        return std::move(m_faults);
    }

    void readLine(std::string_view line)
    {
        ++m_line;
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (line.find('\0') != std::string_view::npos)
            return reportField(1, "the line contains a NUL byte");
        if (!isUtf8(line))
            return reportField(1, "the line is not UTF-8");
        if (line.starts_with('#') || line.find_first_not_of(" \t") == std::string_view::npos)
            return;
        m_fields.clear();
        if (!m_parser.parse(line, m_fields)) {
            m_hasHeader = true;
            return reportField(m_fields.size() + 1, "a quote is misplaced or not closed");
        }
        for (std::size_t i = 0; i < m_fields.size(); ++i) {
            if (m_fields[i].size() > kMaxFieldBytes)
                return reportField(i + 1, "the field is longer than 4096 bytes");
        }
        if (!m_hasHeader)
            readHeader();
        else
            readRow();
    }

    void readHeader()
    {
        m_hasHeader = true;
        if (m_fields[0] != "lycheebay-sheet")
            return reportField(1, "the first row must begin with lycheebay-sheet");
        if (m_fields.size() < 3 || m_fields.size() > 4)
            return reportField(m_fields.size(), "the first row must have 3 or 4 fields");
        if (m_fields[1] != "1")
            return reportField(2, "unknown sheet version; this program reads version 1");
        m_sheet.baseRevision = number<std::uint64_t>(3);
        if (m_fields.size() < 4)
            return;
        for (const std::string &item : splitList(m_fields[3])) {
            const auto revision = parseNumber<std::uint64_t>(item);
            if (!revision)
                return reportField(4, fmt::format("\"{}\" is not a revision", item));
            m_sheet.supersedes.push_back(*revision);
        }
    }

    void readRow()
    {
        static const std::map<std::string, RowKind, std::less<>> kKinds{
            { "region", { 2, &SheetReader::readRegion } },
            { "domain", { 4, &SheetReader::readDomain } },
            { "service", { 2, &SheetReader::readService } },
            { "target", { 9, &SheetReader::readTarget } },
            { "route", { 7, &SheetReader::readRoute } },
            { "tenant", { 3, &SheetReader::readTenant } },
            { "stop", { 6, &SheetReader::readStop } },
        };
        const auto it = kKinds.find(m_fields[0]);
        if (it == kKinds.end())
            return reportField(1, fmt::format("unknown row kind \"{}\"", m_fields[0]));
        if (m_fields.size() != it->second.fields) {
            return reportField(std::min(m_fields.size(), it->second.fields) + 1,
                               fmt::format("a {} row has {} fields, this one has {}", it->first,
                                           it->second.fields, m_fields.size()));
        }
        (this->*it->second.read)();
    }

    const std::string &field(std::size_t column) const { return m_fields[column - 1]; }

    template <typename T>
    T number(std::size_t column)
    {
        const auto value = parseNumber<T>(field(column));
        if (!value)
            reportField(column, fmt::format("\"{}\" is not a number in range", field(column)));
        // Every range begins at 1 or below, so this gives no second fault for the field.
        return value.value_or(1);
    }

    /// Returns whether the field is \a yes; anything but \a yes and \a no is a fault.
    bool choice(std::size_t column, std::string_view yes, std::string_view no)
    {
        if (field(column) != yes && field(column) != no)
            reportField(column, fmt::format("the field must be {} or {}", yes, no));
        return field(column) == yes;
    }

    WallTime time(std::size_t column)
    {
        const auto value = parseWallTime(field(column));
        if (!value)
            reportField(column, "the field is no UTC time such as 2026-12-04T09:30:00Z");
        return value.value_or(WallTime());
    }

    void noteLine(EstateObject object) { m_lines[object].push_back(m_line); }

    void readRegion()
    {
        noteLine(EstateObject::Region);
        m_sheet.estate.regions.push_back(field(2));
    }
    void readDomain()
    {
        noteLine(EstateObject::FailureDomain);
        m_sheet.estate.failureDomains.push_back(
                { field(2), field(3), choice(4, "drained", "active") });
    }
    void readService()
    {
        noteLine(EstateObject::Service);
        m_sheet.estate.services.push_back(field(2));
    }
    void readTarget()
    {
        noteLine(EstateObject::Target);
        Target target;
        target.id = field(2);
        target.service = field(3);
        target.failureDomain = field(4);
        const auto address = parseAddress(field(5));
        // checkEstate() reports what is wrong with an address, so that each fault appears once.
        target.address = address.ok() ? *address : Address{ field(5), 0 };
        target.slots = number<int>(6);
        target.coldLimit = number<int>(7);
        target.maxConnections = number<int>(8);
        target.drained = choice(9, "drained", "active");
        m_sheet.estate.targets.push_back(std::move(target));
    }
    void readRoute()
    {
        noteLine(EstateObject::Route);
        Route route;
        route.service = field(2);
        route.method = field(3);
        route.pathPrefix = field(4);
        route.idempotent = choice(5, "idempotent", "non-idempotent");
        route.weight = number<int>(6);
        route.homeRegions = splitList(field(7));
        m_sheet.estate.routes.push_back(std::move(route));
    }
    void readTenant()
    {
        noteLine(EstateObject::Tenant);
        m_sheet.estate.tenants.push_back({ field(2), splitList(field(3)) });
    }
    void readStop()
    {
        noteLine(EstateObject::PlannedStop);
        PlannedStop stop;
        stop.id = field(2);
        if (field(3) == "target")
            stop.scope = StopScope::Target;
        else if (field(3) == "domain")
            stop.scope = StopScope::FailureDomain;
        else
            stop.scope = StopScope::Instance;
        if (stop.scope == StopScope::Instance && field(3) != "instance")
            reportField(3, "the scope must be target, domain or instance");
        stop.name = field(4);
        stop.start = time(5);
        stop.end = time(6);
        m_sheet.estate.plannedStops.push_back(std::move(stop));
    }

    /// Adds the faults of the whole estate; a field that already has a fault gets no second one.
    void checkEstate()
    {
        std::map<std::pair<std::size_t, std::size_t>, bool> known;
        for (const SheetFault &fault : m_faults)
            known[{ fault.line, fault.column }] = true;
        for (EstateFault &fault : findEstateFaults(m_sheet.estate)) {
            const std::size_t line = m_lines[fault.object][fault.index];
            if (!known.contains({ line, fault.column }))
                report(line, fault.column, std::move(fault.message));
        }
    }

    CsvLineParser m_parser;
    std::size_t m_line = 0;
    bool m_hasHeader = false;
    bool m_omitted = false;
    Fields m_fields;
    Sheet m_sheet;
    std::vector<SheetFault> m_faults;
    std::map<EstateObject, std::vector<std::size_t>> m_lines;
};

} // namespace

std::string SheetFault::toString() const
{
    if (line == 0)
        return message;
    return fmt::format("line {}, column {}: {}", line, column, message);
}

absl::Status SheetReading::status() const
{
    if (sheet)
        return absl::OkStatus();
    std::string text;
    for (const SheetFault &fault : faults)
        text += (text.empty() ? "" : "\n") + fault.toString();
    return absl::InvalidArgumentError(text);
}

SheetReading readSheet(std::string_view text)
{
    return SheetReader().run(text);
}

} // namespace lycheebay
