#include "terminal.h"

#include <algorithm>

namespace Marjoramfold::Ctl
{
namespace
{
using nlohmann::json;

constexpr int IndentStep = 2;

auto padded(const std::string &text, std::size_t width) -> std::string
{
    return text.size() < width ? text + std::string(width - text.size(), ' ') : text;
}

auto isScalar(const json &value) -> bool
{
    return !value.is_object() && !value.is_array();
}

auto isTable(const json &value) -> bool
{
    return value.is_array() && !value.empty() && std::all_of(value.begin(), value.end(), [](const json &row) {
               return row.is_object() && std::all_of(row.begin(), row.end(), isScalar);
           });
}

/// Keys of all rows, in order of first appearance.
auto columnsOf(const json &rows) -> std::vector<std::string>
{
    std::vector<std::string> columns;
    for (const auto &row : rows) {
        for (const auto &[key, value] : row.items()) {
            if (std::find(columns.begin(), columns.end(), key) == columns.end()) {
                columns.push_back(key);
            }
        }
    }
    return columns;
}

auto writeRows(std::ostream &out, const json &rows, int indent) -> void
{
    const auto columns = columnsOf(rows);
    std::vector<std::vector<std::string>> cells;
    for (const auto &row : rows) {
        std::vector<std::string> line;
        for (const auto &column : columns) {
            line.push_back(row.contains(column) ? toCell(row[column]) : "-");
        }
        line.front().insert(0, static_cast<std::size_t>(indent), ' ');
        cells.push_back(std::move(line));
    }
    auto header = columns;
    header.front().insert(0, static_cast<std::size_t>(indent), ' ');
    writeTable(out, header, cells);
}

auto writeObject(std::ostream &out, const json &object, int indent) -> void
{
    std::size_t width = 0;
    for (const auto &[key, value] : object.items()) {
        width = std::max(width, isScalar(value) ? key.size() : 0);
    }
    const std::string margin(static_cast<std::size_t>(indent), ' ');
    for (const auto &[key, value] : object.items()) {
        if (isScalar(value)) {
            out << margin << padded(printable(key), width) << "  " << toCell(value) << '\n';
        } else if (value.empty()) {
            out << margin << printable(key) << "  none\n";
        } else {
            out << margin << printable(key) << ":\n";
            writeReadable(out, value, indent + IndentStep);
        }
    }
}
} // namespace

auto printable(std::string_view text) -> std::string
{
    std::string result(text);
    for (auto &c : result) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < 0x20U || byte == 0x7fU) {
            c = '?';
        }
    }
    return result;
}

auto printableLines(std::string_view text) -> std::string
{
    std::string result;
    while (true) {
        const auto end = text.find('\n');
        result += printable(text.substr(0, end));
        if (end == std::string_view::npos) {
            return result;
        }
        result += "\n  ";
        text.remove_prefix(end + 1);
    }
}

auto toCell(const json &value) -> std::string
{
    if (value.is_string()) {
        return printable(value.get<std::string>());
    }
    if (value.is_null()) {
        return "-";
    }
    if (value.is_boolean()) {
        return value.get<bool>() ? "yes" : "no";
    }
    return printable(value.dump(-1, ' ', false, json::error_handler_t::replace));
}

auto writeTable(std::ostream &out, const std::vector<std::string> &header, const std::vector<std::vector<std::string>> &rows) -> void
{
    std::vector<std::size_t> widths;
    for (std::size_t column = 0; column < header.size(); ++column) {
        auto width = header[column].size();
        for (const auto &row : rows) {
            width = std::max(width, row[column].size());
        }
        widths.push_back(width);
    }
    const auto writeLine = [&](const std::vector<std::string> &cells) {
        std::string line;
        for (std::size_t column = 0; column < cells.size(); ++column) {
            line += padded(cells[column], widths[column]) + "  ";
        }
        out << line.substr(0, line.find_last_not_of(' ') + 1) << '\n';
    };
    writeLine(header);
    for (const auto &row : rows) {
        writeLine(row);
    }
}

auto writeReadable(std::ostream &out, const json &value, int indent) -> void
{
    if (isTable(value)) {
        writeRows(out, value, indent);
    } else if (value.is_object()) {
        writeObject(out, value, indent);
    } else if (value.is_array()) {
        for (const auto &item : value) {
            writeReadable(out, item, indent);
        }
    } else {
        out << std::string(static_cast<std::size_t>(indent), ' ') << toCell(value) << '\n';
    }
}
} // namespace Marjoramfold::Ctl
