#include "Membership/FrameCodec.h"

#include "Membership/Frames_generated.h"

namespace almondscale {

namespace {

    // Tables, offsets and padding in addition to the strings of one record.
    constexpr std::size_t recordOverheadBytes = 100;
    constexpr std::size_t itemOverheadBytes = 72;
    constexpr flatbuffers::uoffset_t maxTablesInFrame = 4096;
    constexpr flatbuffers::uoffset_t maxDepthOfFrame = 8;

    using Builder = flatbuffers::FlatBufferBuilder;

    // Equal strings in a frame are shared.
    flatbuffers::Offset<flatbuffers::String> text(Builder& builder, const std::string& value)
    {
        if (value.empty())
            return 0;
        return builder.CreateSharedString(value);
    }

    flatbuffers::Offset<wire::MemberRecord> encodeRecord(Builder& builder, const MemberRecord& record)
    {
        const auto host = text(builder, record.host.text());
        const auto ip = text(builder, record.address.ip);
        const auto dataCentre = text(builder, record.dataCentre.text());
        const auto accuser = text(builder, record.accuser.text());
        return wire::CreateMemberRecord(builder, host, ip, record.address.port, dataCentre,
            record.incarnation.count(), record.refutation, static_cast<wire::State>(record.state), accuser,
            record.itemFloor, record.rules.count());
    }

    flatbuffers::Offset<wire::Item> encodeItem(Builder& builder, const SharedItem& item)
    {
        const auto host = text(builder, item.host.text());
        const auto key = text(builder, item.key);
        const auto value = builder.CreateVector(
            reinterpret_cast<const std::uint8_t*>(item.value.data()), item.value.size());
        return wire::CreateItem(builder, host, item.incarnation.count(), key, item.version,
            static_cast<std::uint8_t>(item.scope), value);
    }

    template <typename Wire, typename Items, typename Encode>
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<Wire>>> encodeAll(
        Builder& builder, const Items& items, Encode encode)
    {
        if (items.empty())
            return 0;
        std::vector<flatbuffers::Offset<Wire>> offsets;
        offsets.reserve(items.size());
        for (const auto& item : items)
            offsets.push_back(encode(builder, item));
        return builder.CreateVector(offsets);
    }

    bool readName(const flatbuffers::String* name, std::string& value, std::size_t limit = maxNameBytes)
    {
        value = name ? name->str() : std::string();
        return value.size() <= limit;
    }

    template <typename Id> bool readId(const flatbuffers::String* name, Id& id)
    {
        std::string value;
        if (!readName(name, value))
            return false;
        id = Id(std::move(value));
        return true;
    }

    bool decodeRecord(const wire::MemberRecord* from, MemberRecord& record)
    {
        if (!from || !readId(from->host(), record.host) || !readId(from->data_centre(), record.dataCentre))
            return false;
        if (!readName(from->ip(), record.address.ip) || !readId(from->accuser(), record.accuser))
            return false;
        if (record.host.empty() || record.dataCentre.empty() || record.address.ip.empty())
            return false;
        if (from->state() > wire::State_MAX)
            return false;
        record.address.port = from->port();
        record.incarnation = Incarnation(from->incarnation());
        record.refutation = from->refutation();
        record.state = static_cast<MemberState>(from->state());
        record.itemFloor = from->item_floor();
        record.rules = RulesVersion(from->rules_version());
        return true;
    }

    bool decodeItem(const wire::Item* from, SharedItem& item)
    {
        if (!from || !readId(from->host(), item.host) || !readName(from->key(), item.key, maxItemKeyBytes))
            return false;
        if (item.host.empty() || item.key.empty() || from->scope() > 1)
            return false;
        if (from->value() && from->value()->size() > maxItemValueBytes)
            return false;
        item.incarnation = Incarnation(from->incarnation());
        item.version = from->version();
        item.scope = static_cast<ItemScope>(from->scope());
        if (from->value())
            item.value.assign(from->value()->begin(), from->value()->end());
        return true;
    }

    template <typename Vector, typename Items, typename Decode>
    bool decodeAll(const Vector* from, Items& items, Decode decode)
    {
        if (!from)
            return true;
        items.reserve(from->size());
        for (const auto* entry : *from) {
            items.emplace_back();
            if (!decode(entry, items.back()))
                return false;
        }
        return true;
    }

    void decodeContacts(const wire::Frame& from, Frame& frame)
    {
        if (!from.contacts())
            return;
        for (const auto* contact : *from.contacts())
            frame.contacts.push_back({ contact->data_centre(), contact->age_ms() });
    }

    bool decodeDigests(const wire::Frame& from, Frame& frame)
    {
        const std::size_t hosts = from.digest_hosts() ? from.digest_hosts()->size() : 0;
        const std::size_t hashes = from.digest_hashes() ? from.digest_hashes()->size() : 0;
        if (hosts != hashes)
            return false;
        for (flatbuffers::uoffset_t i = 0; i < hosts; ++i)
            frame.digests.push_back({ from.digest_hosts()->Get(i), from.digest_hashes()->Get(i) });
        if (from.wanted())
            frame.wanted.assign(from.wanted()->begin(), from.wanted()->end());
        return true;
    }

    bool decodeHead(const wire::Frame& from, Frame& frame)
    {
        if (from.kind() > wire::FrameKind_MAX || !decodeRecord(from.sender(), frame.sender))
            return false;
        frame.kind = static_cast<FrameKind>(from.kind());
        frame.sequence = from.sequence();
        frame.reconnect = from.reconnect();
        frame.view = from.view();
        frame.everywhereView = from.everywhere_view();
        frame.partial = from.partial();
        if (!from.subject())
            return readId(from.target(), frame.target);
        frame.subject.port = from.subject()->port();
        return readId(from.target(), frame.target) && readName(from.subject()->ip(), frame.subject.ip);
    }

    bool decodeRequest(const wire::Frame& from, Frame& frame)
    {
        frame.offset = from.offset();
        frame.total = from.total();
        frame.answerHash = from.answer_hash();
        if (from.body())
            frame.body.assign(from.body()->begin(), from.body()->end());
        return readName(from.topic(), frame.topic, maxItemKeyBytes);
    }

    bool decodeBody(const wire::Frame& from, Frame& frame)
    {
        decodeContacts(from, frame);
        return decodeAll(from.members(), frame.members, decodeRecord)
            && decodeAll(from.items(), frame.items, decodeItem) && decodeDigests(from, frame)
            && decodeRequest(from, frame);
    }

} // namespace

std::string encodeFrame(const Frame& frame)
{
    Builder builder(1024);
    const auto sender = encodeRecord(builder, frame.sender);
    const auto target = text(builder, frame.target.text());
    flatbuffers::Offset<wire::Endpoint> subject = 0;
    if (!frame.subject.empty()) {
        const auto ip = text(builder, frame.subject.ip);
        subject = wire::CreateEndpoint(builder, ip, frame.subject.port);
    }
    const auto members = encodeAll<wire::MemberRecord>(builder, frame.members, encodeRecord);
    const auto items = encodeAll<wire::Item>(builder, frame.items, encodeItem);
    std::vector<wire::Contact> ages;
    ages.reserve(frame.contacts.size());
    for (const auto& contact : frame.contacts)
        ages.emplace_back(contact.dataCentre, contact.ageMs);
    const auto contacts = ages.empty() ? 0 : builder.CreateVectorOfStructs(ages);
    std::vector<std::uint64_t> hosts;
    std::vector<std::uint32_t> hashes;
    for (const auto& digest : frame.digests) {
        hosts.push_back(digest.host);
        hashes.push_back(digest.hash);
    }
    const auto digestHosts = hosts.empty() ? 0 : builder.CreateVector(hosts);
    const auto digestHashes = hashes.empty() ? 0 : builder.CreateVector(hashes);
    const auto wanted = frame.wanted.empty() ? 0 : builder.CreateVector(frame.wanted);
    const auto topic = text(builder, frame.topic);
    const auto body = frame.body.empty()
        ? 0
        : builder.CreateVector(reinterpret_cast<const std::uint8_t*>(frame.body.data()), frame.body.size());
    const auto root = wire::CreateFrame(builder, static_cast<wire::FrameKind>(frame.kind), frame.sequence,
        sender, target, subject, frame.reconnect, frame.view, frame.everywhereView, frame.partial, members,
        items, contacts, digestHosts, digestHashes, wanted, topic, frame.offset, frame.total,
        frame.answerHash, body);
    wire::FinishFrameBuffer(builder, root);
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

Result<Frame> decodeFrame(const std::string& bytes)
{
    if (bytes.size() > maxFrameBytes || bytes.size() < 2 * sizeof(flatbuffers::uoffset_t))
        return ErrorKind::FrameInvalid;
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size(), maxDepthOfFrame, maxTablesInFrame);
    if (!wire::VerifyFrameBuffer(verifier))
        return ErrorKind::FrameInvalid;
    Frame frame;
    const auto& from = *wire::GetFrame(data);
    if (!decodeHead(from, frame) || !decodeBody(from, frame))
        return ErrorKind::FrameInvalid;
    return frame;
}

std::size_t encodedBytes(const MemberRecord& record)
{
    return recordOverheadBytes + record.host.text().size() + record.address.ip.size();
}

std::size_t encodedBytes(const SharedItem& item)
{
    return itemOverheadBytes + item.host.text().size() + item.key.size() + item.value.size();
}

} // namespace almondscale
