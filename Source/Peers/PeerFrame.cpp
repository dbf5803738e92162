#include "Peers/PeerFrame.h"

#include "Peers/PeerFrames_generated.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace almondscale {

namespace {

    // Loads with less prefill work and no open requests are left out to save bytes.
    constexpr double minReportedPrefillMs = 0.5;
    // Bounds the traffic of a host with many links: without it, a reader among 300 hosts and 3,000 servers
    // sent 12 MB/s.
    constexpr std::size_t maxLoadsPerFrame = 64;
    // Weight of an open request relative to prefill milliseconds, to select the most loaded engines.
    constexpr double requestWeightMs = 10;

    // Added to ages that are encoded in whole milliseconds and must not appear smaller.
    constexpr Nanoseconds roundUp = std::chrono::milliseconds(1);

    // The default of the field in the schema.
    constexpr std::uint32_t neverAnswered = std::numeric_limits<std::uint32_t>::max();

    double weightOf(const peerwire::Load& load)
    {
        return load.prefill_ms() + load.deferred_ms() + requestWeightMs * load.requests();
    }

    // The loads to report: those above the minimum, and of these the heaviest if they exceed the maximum.
    std::vector<peerwire::Load> encodeLoads(const BackendTable::Loads& from)
    {
        std::vector<peerwire::Load> loads;
        for (const auto& [backend, load] : from) {
            if (load.requests != 0
                || std::abs(load.prefillMs) + std::abs(load.deferredMs) >= minReportedPrefillMs)
                loads.emplace_back(backend, static_cast<float>(load.prefillMs),
                    static_cast<float>(load.contextTokens), load.requests,
                    static_cast<float>(load.deferredMs));
        }
        if (loads.size() <= maxLoadsPerFrame)
            return loads;
        std::nth_element(loads.begin(), loads.begin() + maxLoadsPerFrame, loads.end(),
            [](const auto& a, const auto& b) { return weightOf(a) > weightOf(b); });
        loads.resize(maxLoadsPerFrame);
        return loads;
    }

    std::uint32_t wholeMs(Nanoseconds duration)
    {
        const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
        return static_cast<std::uint32_t>(
            std::clamp<std::int64_t>(count, 0, std::numeric_limits<std::uint32_t>::max()));
    }

    std::string textOf(const flatbuffers::String* text) { return text ? text->str() : std::string(); }

    flatbuffers::Offset<peerwire::TableNews> encodeTableUpdate(
        flatbuffers::FlatBufferBuilder& builder, const TableUpdate& update)
    {
        std::vector<flatbuffers::Offset<peerwire::Row>> rows;
        rows.reserve(update.rows.rows.size());
        for (const auto& row : update.rows.rows)
            rows.push_back(peerwire::CreateRow(builder, builder.CreateString(row.key),
                builder.CreateString(row.value), row.version.count(), row.removed));
        return peerwire::CreateTableNews(builder, static_cast<std::uint8_t>(update.table),
            update.rows.newest.version.count(), update.rows.whole,
            wholeMs(std::chrono::ceil<std::chrono::milliseconds>(update.age)), builder.CreateVector(rows),
            update.rows.newest.era.count());
    }

    flatbuffers::Offset<peerwire::Demand> encodeDemandOf(
        flatbuffers::FlatBufferBuilder& builder, const ServiceName& service, const EngineDemand& demand)
    {
        const auto name = builder.CreateString(service.text());
        const auto& learned = demand.speed.sums;
        const auto sums = builder.CreateVector(std::vector<float>(learned.begin(), learned.end()));
        return peerwire::CreateDemand(builder, name, static_cast<float>(demand.prefillMs),
            static_cast<float>(demand.requests), static_cast<float>(demand.contextTokens),
            static_cast<float>(demand.decodeMs), static_cast<float>(demand.speed.weight), sums);
    }

    LearnedSpeed decodeSpeed(const peerwire::Demand& from)
    {
        LearnedSpeed speed;
        if (!from.speed_sums() || from.speed_sums()->size() != speed.sums.size())
            return speed;
        speed.weight = from.speed_weight();
        std::copy(from.speed_sums()->begin(), from.speed_sums()->end(), speed.sums.begin());
        return speed;
    }

    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<peerwire::Demand>>> encodeDemand(
        flatbuffers::FlatBufferBuilder& builder, const ServiceDemands& from)
    {
        std::vector<flatbuffers::Offset<peerwire::Demand>> demands;
        for (const auto& entry : from)
            demands.push_back(encodeDemandOf(builder, entry.first, entry.second));
        return builder.CreateVector(demands);
    }

    flatbuffers::Offset<flatbuffers::Vector<const peerwire::Part*>> encodeParts(
        flatbuffers::FlatBufferBuilder& builder, const std::set<SentPrefix>& from)
    {
        std::vector<peerwire::Part> parts;
        parts.reserve(from.size());
        for (const auto& part : from)
            parts.emplace_back(part.backend, part.prefix);
        return builder.CreateVectorOfStructs(parts);
    }

    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<peerwire::RequestRate>>> encodeRequestRates(
        flatbuffers::FlatBufferBuilder& builder, const std::map<ServiceName, double>& from)
    {
        std::vector<flatbuffers::Offset<peerwire::RequestRate>> rates;
        rates.reserve(from.size());
        for (const auto& [service, perSecond] : from)
            rates.push_back(peerwire::CreateRequestRate(
                builder, builder.CreateString(service.text()), static_cast<float>(perSecond)));
        return builder.CreateVector(rates);
    }

    flatbuffers::Offset<flatbuffers::Vector<const peerwire::LimitedSends*>> encodeLimitedSends(
        flatbuffers::FlatBufferBuilder& builder, const FleetTraffic& from)
    {
        std::vector<peerwire::LimitedSends> sends;
        sends.reserve(from.limitedSends.size());
        for (const auto& [backend, requests] : from.limitedSends) {
            if (requests > 0)
                sends.emplace_back(backend, requests);
        }
        return builder.CreateVectorOfStructs(sends);
    }

    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<peerwire::UsageRecord>>> encodeUsage(
        flatbuffers::FlatBufferBuilder& builder, const std::vector<UsageRecord>& from)
    {
        if (from.empty())
            return {};
        std::vector<flatbuffers::Offset<peerwire::UsageRecord>> records;
        records.reserve(from.size());
        for (const auto& record : from) {
            std::vector<flatbuffers::Offset<peerwire::UsageCount>> counts;
            counts.reserve(record.counts.size());
            for (const auto& [organisation, requests] : record.counts)
                counts.push_back(peerwire::CreateUsageCount(
                    builder, builder.CreateSharedString(organisation.text()), requests));
            const auto host = builder.CreateSharedString(record.id.host.text());
            records.push_back(peerwire::CreateUsageRecord(builder, host, record.id.incarnation.count(),
                record.id.window.count(), record.closed, builder.CreateVector(counts)));
        }
        return builder.CreateVector(records);
    }

    UsageRecord decodeUsage(const peerwire::UsageRecord& from)
    {
        UsageRecord record;
        record.id
            = { HostId(textOf(from.host())), Incarnation(from.incarnation()), UsageWindow(from.window()) };
        record.closed = from.closed();
        if (from.counts()) {
            for (const auto* count : *from.counts())
                record.counts[Organisation(textOf(count->organisation()))] = count->requests();
        }
        return record;
    }

    flatbuffers::Offset<flatbuffers::Vector<const peerwire::ServerSpeed*>> encodeServerSpeeds(
        flatbuffers::FlatBufferBuilder& builder, const std::unordered_map<std::uint64_t, ServerSpeed>& from)
    {
        if (from.empty())
            return {};
        std::vector<peerwire::ServerSpeed> speeds;
        speeds.reserve(from.size());
        for (const auto& [backend, speed] : from)
            speeds.emplace_back(backend, static_cast<float>(speed.prefillSum),
                static_cast<float>(speed.prefillWeight), static_cast<float>(speed.decodeSum),
                static_cast<float>(speed.decodeWeight));
        return builder.CreateVectorOfStructs(speeds);
    }

    bool isFinite(const peerwire::ServerSpeed& speed)
    {
        return std::isfinite(speed.prefill_sum()) && std::isfinite(speed.prefill_weight())
            && std::isfinite(speed.decode_sum()) && std::isfinite(speed.decode_weight());
    }

    std::uint32_t msAgo(MonotonicTime at, MonotonicTime now)
    {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count();
        return static_cast<std::uint32_t>(std::max<std::int64_t>(0, age));
    }

    std::uint32_t msLeft(Deadline until, MonotonicTime now)
    {
        return static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(until.remaining(now)).count());
    }

    flatbuffers::Offset<peerwire::Lifetime> encodeLifetime(
        flatbuffers::FlatBufferBuilder& builder, const BackendLifetime& server)
    {
        const auto name = builder.CreateString(server.backend.text());
        return peerwire::CreateLifetime(builder, name, server.startedAtMs);
    }

    BackendLifetime decodeLifetime(const peerwire::Lifetime& from)
    {
        return { BackendId(textOf(from.server())), from.started_at_ms() };
    }

    flatbuffers::Offset<peerwire::CrashRecord> encodeCrash(
        flatbuffers::FlatBufferBuilder& builder, const CrashRecord& record, MonotonicTime now)
    {
        std::vector<flatbuffers::Offset<peerwire::ServerEnd>> ends;
        ends.reserve(record.ends.size());
        for (const auto& end : record.ends) {
            const auto name = builder.CreateString(end.server.backend.text());
            std::vector<std::uint64_t> contents;
            contents.reserve(end.contents.size());
            for (const auto content : end.contents)
                contents.push_back(content.count());
            flatbuffers::Offset<flatbuffers::Vector<std::uint64_t>> contentList;
            if (!contents.empty())
                contentList = builder.CreateVector(contents);
            ends.push_back(peerwire::CreateServerEnd(builder, name, end.server.startedAtMs,
                msAgo(end.sentAt, now), msAgo(end.endedAt, now),
                static_cast<peerwire::Evidence>(end.evidence), static_cast<std::uint16_t>(end.step),
                end.prefill, end.apart, end.withdrawn, contentList));
        }
        const auto answered = record.answeredAt ? msAgo(*record.answeredAt, now) : neverAnswered;
        return peerwire::CreateCrashRecord(
            builder, record.subject.id.count(), builder.CreateVector(ends), record.subject.isPart, answered);
    }

    EndEvidence decodeEvidence(peerwire::Evidence evidence)
    {
        return static_cast<EndEvidence>(std::min(evidence, peerwire::Evidence_MAX));
    }

    CrashRecord decodeCrash(const peerwire::CrashRecord& from, MonotonicTime now)
    {
        CrashRecord record;
        record.subject = from.part() ? CrashSubject(PromptPartId(from.content()))
                                     : CrashSubject(Fingerprint(from.content()));
        if (from.answered_ms_ago() != neverAnswered)
            record.answeredAt = now - std::chrono::milliseconds(from.answered_ms_ago());
        if (!from.ends())
            return record;
        for (const auto* entry : *from.ends()) {
            ServerEnd end;
            end.server = { BackendId(textOf(entry->server())), entry->started_at_ms() };
            end.sentAt = now - std::chrono::milliseconds(entry->sent_ms_ago());
            end.endedAt = now - std::chrono::milliseconds(entry->ended_ms_ago());
            end.evidence = decodeEvidence(entry->evidence());
            end.step = entry->step();
            end.prefill = entry->prefill();
            end.apart = entry->apart();
            end.withdrawn = entry->withdrawn();
            if (entry->contents()) {
                for (const auto content : *entry->contents())
                    end.contents.emplace_back(content);
            }
            record.ends.push_back(std::move(end));
        }
        return record;
    }

    std::optional<TableUpdate> decodeTableUpdate(const peerwire::TableNews& from)
    {
        if (from.table() >= sharedTables.size())
            return std::nullopt;
        TableUpdate update;
        update.table = sharedTables.at(from.table());
        update.rows.newest = { StoreEra(from.era()), RowVersion(from.newest()) };
        update.rows.whole = from.whole();
        update.age = std::chrono::milliseconds(from.age_ms());
        if (!from.rows())
            return update;
        for (const auto* row : *from.rows())
            update.rows.rows.push_back(
                { textOf(row->key()), textOf(row->value()), RowVersion(row->version()), row->removed() });
        return update;
    }

    PeerWork decodeWork(const peerwire::PeerFrame& frame)
    {
        PeerWork work;
        if (frame.loads()) {
            for (const auto* load : *frame.loads())
                work.loads[load->backend()]
                    = { load->prefill_ms(), load->requests(), load->context_tokens(), load->deferred_ms() };
        }
        if (frame.demand()) {
            for (const auto* demand : *frame.demand())
                work.demand[ServiceName(textOf(demand->service()))] = { demand->prefill_ms(),
                    demand->requests(), demand->context_tokens(), demand->decode_ms(), decodeSpeed(*demand) };
        }
        if (frame.limited_sends()) {
            for (const auto* sends : *frame.limited_sends())
                work.traffic.limitedSends[sends->backend()] = sends->requests();
        }
        work.traffic.hosts = frame.host_count();
        if (frame.request_rates()) {
            for (const auto* rate : *frame.request_rates())
                work.traffic.requestRates[ServiceName(textOf(rate->service()))] = rate->per_second();
        }
        if (frame.parts()) {
            for (const auto* part : *frame.parts())
                work.sentPrefixes.insert({ part->backend(), part->part() });
        }
        return work;
    }

} // namespace

PeerWork& PeerWork::operator+=(const PeerWork& other)
{
    for (const auto& load : other.loads)
        loads[load.first] += load.second;
    for (const auto& entry : other.demand)
        demand[entry.first] += entry.second;
    sentPrefixes.insert(other.sentPrefixes.begin(), other.sentPrefixes.end());
    traffic += other.traffic;
    return *this;
}

PeerWork& PeerWork::operator-=(const PeerWork& other)
{
    for (const auto& load : other.loads)
        loads[load.first] -= load.second;
    for (const auto& entry : other.demand) {
        auto less = entry.second;
        demand[entry.first] += (less *= -1);
    }
    traffic -= other.traffic;
    return *this;
}

std::string encodePeerFrame(const PeerFrame& frame, MonotonicTime now)
{
    flatbuffers::FlatBufferBuilder builder(1024);
    std::vector<flatbuffers::Offset<peerwire::TableNews>> updates;
    for (const auto& each : frame.tableUpdates)
        updates.push_back(encodeTableUpdate(builder, each));
    // Fields without an offset are left out of the frame.
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<peerwire::TableNews>>> updateList;
    if (!updates.empty())
        updateList = builder.CreateVector(updates);
    std::vector<flatbuffers::Offset<peerwire::CrashRecord>> crashes;
    for (const auto& each : frame.crashes)
        crashes.push_back(encodeCrash(builder, each, now));
    std::vector<flatbuffers::Offset<peerwire::HeldTable>> held;
    for (const auto& each : frame.held)
        held.push_back(peerwire::CreateHeldTable(builder, static_cast<std::uint8_t>(each.table),
            each.newest.version.count(), each.newest.era.count(), each.digest));
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<peerwire::HeldTable>>> heldList;
    if (!held.empty())
        heldList = builder.CreateVector(held);
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<peerwire::CrashRecord>>> crashList;
    if (!crashes.empty())
        crashList = builder.CreateVector(crashes);
    std::vector<flatbuffers::Offset<peerwire::Lifetime>> leaving;
    for (const auto& server : frame.leaving)
        leaving.push_back(encodeLifetime(builder, server));
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<peerwire::Lifetime>>> leavingList;
    if (!leaving.empty())
        leavingList = builder.CreateVector(leaving);
    std::vector<flatbuffers::Offset<peerwire::Turn>> transitions;
    for (const auto& transition : frame.roleTransitions)
        transitions.push_back(peerwire::CreateTurn(builder, encodeLifetime(builder, transition.engine),
            transition.role == EngineRole::Decode, msLeft(transition.until, now)));
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<peerwire::Turn>>> transitionList;
    if (!transitions.empty())
        transitionList = builder.CreateVector(transitions);
    std::vector<flatbuffers::Offset<peerwire::Limit>> limits;
    limits.reserve(frame.limits.size());
    for (const auto& statement : frame.limits)
        limits.push_back(peerwire::CreateLimit(builder, encodeLifetime(builder, statement.server),
            statement.rate.value_or(RequestRate()).perSecond(), msAgo(statement.statedAt, now)));
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<peerwire::Limit>>> limitList;
    if (!limits.empty())
        limitList = builder.CreateVector(limits);
    const auto loadList = builder.CreateVectorOfStructs(
        frame.work ? encodeLoads(frame.work->loads) : std::vector<peerwire::Load>());
    flatbuffers::Offset<flatbuffers::String> host;
    flatbuffers::Offset<flatbuffers::String> dataCentre;
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<peerwire::Demand>>> demandList;
    flatbuffers::Offset<flatbuffers::Vector<const peerwire::Part*>> partList;
    flatbuffers::Offset<flatbuffers::Vector<const peerwire::LimitedSends*>> sendsList;
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<peerwire::RequestRate>>> rateList;
    if (frame.work && !frame.work->traffic.limitedSends.empty())
        sendsList = encodeLimitedSends(builder, frame.work->traffic);
    if (frame.whole) {
        host = builder.CreateString(frame.host.text());
        dataCentre = builder.CreateString(frame.dataCentre.text());
    }
    if (frame.whole && frame.work) {
        demandList = encodeDemand(builder, frame.work->demand);
        partList = encodeParts(builder, frame.work->sentPrefixes);
        rateList = encodeRequestRates(builder, frame.work->traffic.requestRates);
    }
    const auto usageList = encodeUsage(builder, frame.usage);
    std::vector<UsageRecord> stored;
    for (const auto& id : frame.storedUsage)
        stored.push_back({ id, {}, true });
    const auto storedList = encodeUsage(builder, stored);
    const auto manifest
        = frame.manifest ? builder.CreateString(*frame.manifest) : flatbuffers::Offset<flatbuffers::String>();
    const auto sent = frame.usageSent.value_or(SentReport());
    const auto speedList = encodeServerSpeeds(builder, frame.serverSpeeds);
    builder.Finish(peerwire::CreatePeerFrame(builder, host, dataCentre, frame.work.has_value(), loadList,
        demandList, updateList, partList, frame.whole, crashList, leavingList, transitionList, limitList,
        sendsList, frame.whole && frame.work ? frame.work->traffic.hosts : 0, rateList, frame.probe,
        frame.echoedProbe, frame.manifestProvenAge.has_value(),
        frame.manifestProvenAge ? wholeMs(*frame.manifestProvenAge + roundUp) : 0, usageList, storedList,
        speedList, frame.manifestProvenVersion.version.count(), frame.manifestProvenVersion.era.count(),
        wholeMs(frame.echoedProbeAge), sent.window.count(), sent.body, frame.provenManifest.version,
        frame.provenManifest.text, manifest, frame.greeting, heldList));
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

std::optional<PeerFrame> decodePeerFrame(const std::string& bytes, MonotonicTime now)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    if (!peerwire::VerifyPeerFrameBuffer(verifier))
        return std::nullopt;
    const auto* from = peerwire::GetPeerFrame(bytes.data());
    PeerFrame frame;
    frame.whole = from->whole();
    frame.host = HostId(textOf(from->host()));
    frame.dataCentre = DataCentre(textOf(from->data_centre()));
    if (from->has_work())
        frame.work = decodeWork(*from);
    if (from->news()) {
        for (const auto* each : *from->news()) {
            if (auto update = decodeTableUpdate(*each))
                frame.tableUpdates.push_back(std::move(*update));
        }
    }
    frame.greeting = from->greeting();
    if (from->held()) {
        for (const auto* each : *from->held()) {
            if (each->table() < sharedTables.size())
                frame.held.push_back({ sharedTables.at(each->table()),
                    { StoreEra(each->era()), RowVersion(each->newest()) }, each->digest() });
        }
    }
    if (from->crashes()) {
        for (const auto* each : *from->crashes())
            frame.crashes.push_back(decodeCrash(*each, now));
    }
    if (from->leaving()) {
        for (const auto* each : *from->leaving())
            frame.leaving.push_back(decodeLifetime(*each));
    }
    if (from->limits()) {
        for (const auto* each : *from->limits()) {
            // A number that is not positive and finite is no rate.
            if (!each->server() || !std::isfinite(each->per_second()) || each->per_second() < 0)
                continue;
            LimitStatement statement;
            statement.server = decodeLifetime(*each->server());
            if (each->per_second() > 0)
                statement.rate = RequestRate(each->per_second());
            statement.statedAt = now - std::chrono::milliseconds(each->stated_ms_ago());
            frame.limits.push_back(std::move(statement));
        }
    }
    frame.probe = from->probe();
    frame.echoedProbe = from->echoed_probe();
    frame.echoedProbeAge = std::chrono::milliseconds(from->echoed_probe_age_ms());
    if (from->manifest_proven())
        frame.manifestProvenAge = std::chrono::milliseconds(from->manifest_proven_age_ms());
    frame.manifestProvenVersion
        = { StoreEra(from->manifest_proven_era()), RowVersion(from->manifest_proven_version()) };
    if (from->usage()) {
        for (const auto* each : *from->usage())
            frame.usage.push_back(decodeUsage(*each));
    }
    if (from->stored_usage()) {
        for (const auto* each : *from->stored_usage())
            frame.storedUsage.push_back(decodeUsage(*each).id);
    }
    frame.provenManifest = { from->proven_manifest(), from->proven_manifest_text() };
    if (from->manifest())
        frame.manifest = std::make_shared<const std::string>(textOf(from->manifest()));
    if (from->usage_sent() > 0)
        frame.usageSent = SentReport { UsageWindow(from->usage_sent()), from->usage_sent_body() };
    if (from->server_speeds()) {
        for (const auto* each : *from->server_speeds()) {
            if (isFinite(*each))
                frame.serverSpeeds[each->backend()] = { each->prefill_sum(), each->prefill_weight(),
                    each->decode_sum(), each->decode_weight() };
        }
    }
    if (from->turns()) {
        for (const auto* each : *from->turns()) {
            if (!each->engine())
                continue;
            RoleTransition transition;
            transition.engine = decodeLifetime(*each->engine());
            transition.role = each->decode() ? EngineRole::Decode : EngineRole::Prefill;
            transition.until = Deadline::after(now, std::chrono::milliseconds(each->left_ms()));
            frame.roleTransitions.push_back(std::move(transition));
        }
    }
    return frame;
}

} // namespace almondscale
