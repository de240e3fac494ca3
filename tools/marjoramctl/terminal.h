#pragma once

#include <nlohmann/json.hpp>

#include <iostream>
#include <string>
#include <string_view>
#include <vector>

namespace Marjoramfold::Ctl
{
enum class ExitCode {
    Done = 0,
    /// The request was rejected, no entry could be reached, or the expected result did not occur.
    Refused = 1,
    /// Invalid command line or input file.
    WrongUse = 2,
};

/// Output streams of a command, and whether it writes JSON.
struct Terminal {
    std::ostream &out_;
    std::ostream &err_;
    bool json_ = false;
};

/// Writes a table; each column is as wide as its widest cell.
auto writeTable(std::ostream &out, const std::vector<std::string> &header, const std::vector<std::vector<std::string>> &rows) -> void;

/// Writes JSON as readable text: objects as lines `key  value`, arrays of objects as tables.
auto writeReadable(std::ostream &out, const nlohmann::json &value, int indent = 0) -> void;

/// Formats a JSON value as a table cell.
[[nodiscard]] auto toCell(const nlohmann::json &value) -> std::string;

/// Like printable(), but keeps line breaks and indents the lines after the first.
[[nodiscard]] auto printableLines(std::string_view text) -> std::string;

/// Replaces control characters by '?', since they could alter what the terminal shows.
[[nodiscard]] auto printable(std::string_view text) -> std::string;
} // namespace Marjoramfold::Ctl
