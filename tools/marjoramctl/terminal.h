#pragma once

#include <nlohmann/json.hpp>

#include <iostream>
#include <string>
#include <string_view>
#include <vector>

namespace Marjoramfold::Ctl
{
/// Exit codes of the program.
enum class ExitCode {
    Done = 0,
    /// The system refused or could not be reached, or what was waited for did not happen.
    Refused = 1,
    /// Wrong use, or a wrong file.
    WrongUse = 2,
};

/// Where a command writes, and in which form.
struct Terminal {
    std::ostream &out_;
    std::ostream &err_;
    bool json_ = false;
};

/// Writes a table whose columns are as wide as their widest cell.
auto writeTable(std::ostream &out, const std::vector<std::string> &header, const std::vector<std::vector<std::string>> &rows) -> void;

/// Writes JSON for people: objects as lines `key  value`, lists of objects as tables.
auto writeReadable(std::ostream &out, const nlohmann::json &value, int indent = 0) -> void;

/// A JSON value as a cell of a table.
[[nodiscard]] auto toCell(const nlohmann::json &value) -> std::string;

/// As printable(), but keeps line breaks and indents what follows them.
[[nodiscard]] auto printableLines(std::string_view text) -> std::string;

/// Text for a terminal: control characters, which could change what it shows, are replaced by '?'.
[[nodiscard]] auto printable(std::string_view text) -> std::string;
} // namespace Marjoramfold::Ctl
