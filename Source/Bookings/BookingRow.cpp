#include "Bookings/BookingRow.h"

#include "Platform/RowValue.h"

#include <cxxtools/serializationinfo.h>
#include <stdexcept>

namespace almondscale {

namespace {

    using cxxtools::SerializationInfo;

    std::string readString(const SerializationInfo& si, const char* name)
    {
        std::string value;
        si.getMember(name) >>= value;
        return value;
    }

    std::uint64_t readUnsigned(const SerializationInfo& si, const char* name)
    {
        std::uint64_t value = 0;
        si.getMember(name) >>= value;
        return value;
    }

    bool isUnreserved(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
            || c == '.' || c == '_';
    }

    // Callers choose keys freely; escaping keeps a '/' in one part from being read as a separator.
    std::string escaped(const std::string& text)
    {
        constexpr const char* digits = "0123456789ABCDEF";
        std::string result;
        for (const char c : text) {
            const auto byte = static_cast<unsigned char>(c);
            if (isUnreserved(c))
                result += c;
            else
                result.append({ '~', digits[byte / 16], digits[byte % 16] });
        }
        return result;
    }

} // namespace

static void operator<<=(SerializationInfo& si, const BookingRow& row)
{
    si.addMember("state") <<= std::string(bookingStateWord(row.state));
    si.addMember("attempt") <<= row.holder.attempt.text();
    si.addMember("host") <<= row.holder.host.text();
    si.addMember("incarnation") <<= row.holder.incarnation.count();
    si.addMember("fingerprint") <<= row.fingerprint;
    si.addMember("status") <<= row.answer.status;
    si.addMember("content_type") <<= row.answer.contentType;
    si.addMember("body") <<= row.answer.body;
}

static void operator>>=(const SerializationInfo& si, BookingRow& row)
{
    const auto state = parseBookingState(readString(si, "state"));
    if (!state)
        throw std::invalid_argument("booking row has an unknown state");
    row.state = *state;
    row.holder.attempt = AttemptId(readString(si, "attempt"));
    row.holder.host = HostId(readString(si, "host"));
    row.holder.incarnation = Incarnation(readUnsigned(si, "incarnation"));
    row.fingerprint = readUnsigned(si, "fingerprint");
    si.getMember("status") >>= row.answer.status;
    row.answer.contentType = readString(si, "content_type");
    row.answer.body = readString(si, "body");
}

const char* bookingStateWord(BookingState state)
{
    switch (state) {
    case BookingState::Recorded:
        return "recorded";
    case BookingState::Sent:
        return "sent";
    case BookingState::Answered:
        return "answered";
    case BookingState::Lost:
        return "lost";
    case BookingState::Released:
        break;
    }
    return "released";
}

std::optional<BookingState> parseBookingState(const std::string& word)
{
    for (const auto state : { BookingState::Recorded, BookingState::Sent, BookingState::Answered,
             BookingState::Lost, BookingState::Released }) {
        if (word == bookingStateWord(state))
            return state;
    }
    return std::nullopt;
}

std::string bookingRowKey(const BookingRequest& request)
{
    return bookingRowPrefix + escaped(request.organisation.text()) + "/" + escaped(request.service.text())
        + "/" + escaped(request.key.text());
}

std::string encodeBookingRow(const BookingRow& row) { return encodeRowValue(row); }

std::optional<BookingRow> decodeBookingRow(const std::string& text)
{
    return decodeRowValue<BookingRow>(text);
}

} // namespace almondscale
