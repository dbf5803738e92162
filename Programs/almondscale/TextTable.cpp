#include "TextTable.h"

#include <algorithm>
#include <iostream>

namespace almondscale {

namespace {

    std::string cell(const JsonValue& row, const char* member)
    {
        const JsonValue* value = jsonMember(row, member);
        if (!value || value->IsNull())
            return "-";
        if (value->IsString())
            return value->GetStringLength() == 0 ? "-" : value->GetString();
        if (value->IsBool())
            return value->GetBool() ? "yes" : "no";
        return serializeJson(*value);
    }

    std::string line(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths)
    {
        std::string text;
        for (std::size_t i = 0; i < cells.size(); ++i) {
            text += cells[i];
            if (i + 1 < cells.size())
                text.append(widths[i] + 2 - cells[i].size(), ' ');
        }
        return text + "\n";
    }

} // namespace

std::string formatTable(const JsonValue& rows, const std::vector<Column>& columns)
{
    std::vector<std::vector<std::string>> lines(1);
    for (const Column& column : columns)
        lines.front().emplace_back(column.title);
    for (const JsonValue& row : rows.GetArray()) {
        lines.emplace_back();
        for (const Column& column : columns)
            lines.back().push_back(cell(row, column.member));
    }
    std::vector<std::size_t> widths(columns.size(), 0);
    for (const auto& cells : lines) {
        for (std::size_t i = 0; i < cells.size(); ++i)
            widths[i] = std::max(widths[i], cells[i].size());
    }
    std::string text;
    for (const auto& cells : lines)
        text += line(cells, widths);
    return text;
}

void printRows(const std::string& text, const char* member, const std::vector<Column>& columns, bool asJson)
{
    const auto json = parseJson(text);
    const JsonValue* rows = json ? jsonMember(*json, member) : nullptr;
    if (asJson || !rows || !rows->IsArray())
        std::cout << text << "\n";
    else
        std::cout << formatTable(*rows, columns);
}

} // namespace almondscale
