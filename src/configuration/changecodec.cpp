#include "configuration/change.h"
#include "configuration/internal/jsonfields.h"
#include "estate/estate.h"
#include "estate/sheet.h"

#include <algorithm>

namespace lycheebay {

namespace {

using Json = JsonFields::Json;

// Records begin with their kind, so that snapshots are found without parsing every record.
constexpr std::string_view kSnapshotPrefix = R"({"kind":"snapshot",)";
constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxAuthorLength = 128;
constexpr const char *kKinds[] = { "sheet",        "drain-domain",   "restore-domain",
                                   "drain-target", "restore-target", "add-stop",
                                   "remove-stop",  "join",           "leave",
                                   "snapshot" };
constexpr const char *kScopes[] = { "target", "domain", "instance" };

std::uint64_t milliseconds(WallTime time)
{
    return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

Json toJson(const RosterMember &member)
{
    return { { "instance", member.instanceId },  { "incarnation", member.incarnation },
             { "region", member.region },        { "domain", member.failureDomain },
             { "http", member.http.toString() }, { "peer", member.peer.toString() },
             { "joinedAt", member.joinedAt } };
}

Json toJson(const AuditEntry &entry)
{
    return { { "offset", entry.offset },     { "change", entry.changeId },
             { "author", entry.author },     { "time", milliseconds(entry.time) },
             { "base", entry.baseRevision }, { "kind", entry.kind },
             { "summary", entry.summary },   { "accepted", entry.accepted },
             { "reason", entry.reason } };
}

Json toJson(const SeenChange &seen)
{
    return { { "id", seen.id },
             { "offset", seen.offset },
             { "accepted", seen.accepted },
             { "conflictsWith", seen.conflictsWith } };
}

Json toJson(const ConfigurationHistory &history)
{
    Json seen = Json::array();
    for (const SeenChange &change : history.seen)
        seen.push_back(toJson(change));
    Json objects = Json::array();
    for (const auto &[key, revision] : history.objectRevisions)
        objects.push_back(Json{ { "key", key }, { "revision", revision } });
    return { { "seen", std::move(seen) },
             { "objects", std::move(objects) },
             { "operatorChanges", history.operatorChanges },
             { "forgottenOperatorChange", history.forgottenOperatorChange },
             { "forgottenObject", history.forgottenObject },
             { "snapshotOffset", history.snapshotOffset },
             { "snapshotTime", milliseconds(history.snapshotTime) },
             { "changesSinceSnapshot", history.changesSinceSnapshot } };
}

/// Turns each body into the JSON of its fields.
struct BodyWriter
{
    Json operator()(const SheetBody &body) const
    {
        return { { "sheet", writeSheet({ 0, body.supersedes, body.estate }) } };
    }
    Json operator()(const DrainDomainBody &body) const { return { { "name", body.name } }; }
    Json operator()(const RestoreDomainBody &body) const { return { { "name", body.name } }; }
    Json operator()(const DrainTargetBody &body) const { return { { "id", body.id } }; }
    Json operator()(const RestoreTargetBody &body) const { return { { "id", body.id } }; }
    Json operator()(const AddStopBody &body) const
    {
        return { { "id", body.stop.id },
                 { "scope", kScopes[static_cast<std::size_t>(body.stop.scope)] },
                 { "name", body.stop.name },
                 { "start", milliseconds(body.stop.start) },
                 { "end", milliseconds(body.stop.end) } };
    }
    Json operator()(const RemoveStopBody &body) const { return { { "id", body.id } }; }
    Json operator()(const JoinBody &body) const { return toJson(body.member); }
    Json operator()(const LeaveBody &body) const
    {
        return { { "instance", body.instanceId }, { "incarnation", body.incarnation } };
    }
    Json operator()(const SnapshotBody &body) const
    {
        Json roster = Json::array();
        for (const RosterMember &member : body.roster)
            roster.push_back(toJson(member));
        Json audit = Json::array();
        for (const AuditEntry &entry : body.audit)
            audit.push_back(toJson(entry));
        return { { "revision", body.revision },
                 { "nextOffset", body.nextOffset },
                 { "sheet", writeSheet({ 0, {}, body.estate }) },
                 { "roster", std::move(roster) },
                 { "audit", std::move(audit) },
                 { "history", toJson(body.history) } };
    }
};

/// Reads one record; the first fault stays in m_fault.
class ChangeReader
{
public:
    absl::StatusOr<Change> run(std::string_view record)
    {
        const Json document = Json::parse(record, nullptr, false);
        if (document.is_discarded())
            return absl::InvalidArgumentError("the record is not JSON");
        Change change;
        JsonFields fields(document, m_fault);
        std::string kind;
        fields.read("kind", kind);
        fields.read("id", change.id);
        fields.read("author", change.author);
        fields.read("time", change.time);
        fields.read("base", change.baseRevision);
        if (const Json *body = fields.readObject("body"))
            change.body = readBody(kind, *body);
        fields.finish();
        checkName("change id", change.id);
        if (change.author.empty() || change.author.size() > kMaxAuthorLength)
            fail("the author is empty or too long");
        if (!m_fault.empty())
            return absl::InvalidArgumentError(m_fault);
        return change;
    }

private:
    using ReadBody = ChangeBody (ChangeReader::*)(JsonFields &);

    void fail(std::string fault)
    {
        if (m_fault.empty())
            m_fault = std::move(fault);
    }

    void checkName(const char *what, const std::string &name)
    {
        const bool plain = std::all_of(name.begin(), name.end(), [](char c) {
            return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
                   || c == '.' || c == '_' || c == '-';
        });
        if (name.empty() || name.size() > kMaxNameLength || !plain)
            fail(fmt::format("the {} is not 1 to 64 characters of A-Z a-z 0-9 . _ -", what));
    }

    ChangeBody readBody(const std::string &kind, const Json &json)
    {
        static constexpr ReadBody kReaders[] = {
            &ChangeReader::readSheetBody,
            &ChangeReader::readNamed<DrainDomainBody, &DrainDomainBody::name>,
            &ChangeReader::readNamed<RestoreDomainBody, &RestoreDomainBody::name>,
            &ChangeReader::readIdentified<DrainTargetBody, &DrainTargetBody::id>,
            &ChangeReader::readIdentified<RestoreTargetBody, &RestoreTargetBody::id>,
            &ChangeReader::readAddStop,
            &ChangeReader::readIdentified<RemoveStopBody, &RemoveStopBody::id>,
            &ChangeReader::readJoin,
            &ChangeReader::readLeave,
            &ChangeReader::readSnapshot,
        };
        const auto it = std::find(std::begin(kKinds), std::end(kKinds), kind);
        if (it == std::end(kKinds)) {
            fail("unknown kind of change");
            return {};
        }
        JsonFields fields(json, m_fault);
        ChangeBody body = (this->*kReaders[it - std::begin(kKinds)])(fields);
        fields.finish();
        return body;
    }

    template <typename Body, std::string Body::*Member>
    ChangeBody readNamed(JsonFields &fields)
    {
        Body body;
        fields.read("name", body.*Member);
        checkName("name", body.*Member);
        return body;
    }

    template <typename Body, std::string Body::*Member>
    ChangeBody readIdentified(JsonFields &fields)
    {
        Body body;
        fields.read("id", body.*Member);
        checkName("id", body.*Member);
        return body;
    }

    SheetReading readEstate(JsonFields &fields)
    {
        std::string text;
        fields.read("sheet", text);
        if (!m_fault.empty())
            return { Sheet{}, {} };
        SheetReading reading = readSheet(text);
        if (!reading.sheet) {
            fail(reading.faults.front().toString());
            reading.sheet.emplace();
        }
        return reading;
    }

    ChangeBody readSheetBody(JsonFields &fields)
    {
        SheetReading reading = readEstate(fields);
        return SheetBody{ std::move(reading.sheet->estate), std::move(reading.sheet->supersedes) };
    }

    ChangeBody readAddStop(JsonFields &fields)
    {
        PlannedStop stop;
        std::string scope;
        fields.read("id", stop.id);
        fields.read("scope", scope);
        fields.read("name", stop.name);
        fields.read("start", stop.start);
        fields.read("end", stop.end);
        checkName("id", stop.id);
        const auto it = std::find(std::begin(kScopes), std::end(kScopes), scope);
        if (it == std::end(kScopes))
            fail("unknown scope of a planned stop");
        else
            stop.scope = static_cast<StopScope>(it - std::begin(kScopes));
        return AddStopBody{ std::move(stop) };
    }

    RosterMember readMember(JsonFields &fields)
    {
        RosterMember member;
        fields.read("instance", member.instanceId);
        fields.read("incarnation", member.incarnation);
        fields.read("region", member.region);
        fields.read("domain", member.failureDomain);
        fields.read("http", member.http);
        fields.read("peer", member.peer);
        fields.read("joinedAt", member.joinedAt);
        checkName("instance", member.instanceId);
        checkName("region", member.region);
        checkName("failure domain", member.failureDomain);
        return member;
    }

    ChangeBody readJoin(JsonFields &fields) { return JoinBody{ readMember(fields) }; }

    ChangeBody readLeave(JsonFields &fields)
    {
        LeaveBody body;
        fields.read("instance", body.instanceId);
        fields.read("incarnation", body.incarnation);
        checkName("instance", body.instanceId);
        return body;
    }

    template <typename Read>
    auto itemReader(Read read)
    {
        return [this, read](const Json &json) {
            JsonFields fields(json, m_fault);
            auto item = (this->*read)(fields);
            fields.finish();
            return item;
        };
    }

    AuditEntry readAuditEntry(JsonFields &fields)
    {
        AuditEntry entry;
        fields.read("offset", entry.offset);
        fields.read("change", entry.changeId);
        fields.read("author", entry.author);
        fields.read("time", entry.time);
        fields.read("base", entry.baseRevision);
        fields.read("kind", entry.kind);
        fields.read("summary", entry.summary);
        fields.read("accepted", entry.accepted);
        fields.read("reason", entry.reason);
        return entry;
    }

    SeenChange readSeen(JsonFields &fields)
    {
        SeenChange seen;
        fields.read("id", seen.id);
        fields.read("offset", seen.offset);
        fields.read("accepted", seen.accepted);
        fields.read("conflictsWith", seen.conflictsWith);
        return seen;
    }

    std::pair<std::string, Revision> readObject(JsonFields &fields)
    {
        std::pair<std::string, Revision> item;
        fields.read("key", item.first);
        fields.read("revision", item.second);
        return item;
    }

    Revision readRevision(const Json &json)
    {
        if (json.is_number_unsigned())
            return json.get<Revision>();
        fail("a revision is no number");
        return 0;
    }

    void readHistory(const Json &json, ConfigurationHistory &history)
    {
        JsonFields fields(json, m_fault);
        fields.readArray("seen", history.seen, itemReader(&ChangeReader::readSeen));
        std::vector<std::pair<std::string, Revision>> objects;
        fields.readArray("objects", objects, itemReader(&ChangeReader::readObject));
        history.objectRevisions.insert(objects.begin(), objects.end());
        fields.readArray("operatorChanges", history.operatorChanges,
                         [this](const Json &item) { return readRevision(item); });
        fields.read("forgottenOperatorChange", history.forgottenOperatorChange);
        fields.read("forgottenObject", history.forgottenObject);
        fields.read("snapshotOffset", history.snapshotOffset);
        fields.read("snapshotTime", history.snapshotTime);
        fields.read("changesSinceSnapshot", history.changesSinceSnapshot);
        fields.finish();
    }

    ChangeBody readSnapshot(JsonFields &fields)
    {
        SnapshotBody body;
        fields.read("revision", body.revision);
        fields.read("nextOffset", body.nextOffset);
        body.estate = std::move(readEstate(fields).sheet->estate);
        fields.readArray("roster", body.roster, itemReader(&ChangeReader::readMember));
        fields.readArray("audit", body.audit, itemReader(&ChangeReader::readAuditEntry));
        if (const Json *history = fields.readObject("history"))
            readHistory(*history, body.history);
        if (body.nextOffset == 0 || body.revision >= body.nextOffset)
            fail("a snapshot's revision is not before its next offset");
        return body;
    }

    std::string m_fault;
};

} // namespace

const char *changeKind(const ChangeBody &body)
{
    return kKinds[body.index()];
}

bool isOperatorChange(const ChangeBody &body)
{
    return !std::holds_alternative<JoinBody>(body) && !std::holds_alternative<LeaveBody>(body)
           && !std::holds_alternative<SnapshotBody>(body);
}

absl::StatusOr<std::string> encodeChange(const Change &change)
{
    const Json document{
        { "kind", changeKind(change.body) }, { "id", change.id },
        { "author", change.author },         { "time", milliseconds(change.time) },
        { "base", change.baseRevision },     { "body", std::visit(BodyWriter{}, change.body) }
    };
    // Replacing keeps text that is not UTF-8 from raising an exception.
    std::string record = document.dump(-1, ' ', false, Json::error_handler_t::replace);
    const absl::StatusOr<Change> decoded = decodeChange(record);
    if (!decoded.ok())
        return decoded.status();
    return record;
}

absl::StatusOr<Change> decodeChange(std::string_view record)
{
    if (record.size() > kMaxRecordBytes)
        return absl::InvalidArgumentError("the record is larger than 8 MiB");
    return ChangeReader().run(record);
}

bool looksLikeSnapshot(std::string_view record)
{
    return record.starts_with(kSnapshotPrefix);
}

} // namespace lycheebay
