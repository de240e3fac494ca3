#include "commands.h"
#include "marjoramfold/fleet/configdifferences.h"
#include "platform/configdocument.h"

#include <fstream>

namespace Marjoramfold::Ctl
{
namespace
{
using nlohmann::json;

/// Reads at most one byte more than a configuration may have, so that any file or device can be named.
auto readConfigFile(const std::string &path) -> std::optional<std::string>
{
    std::ifstream file(path, std::ios::binary);
    std::string content(Wire::MaxConfigFileBytes + 1, '\0');
    file.read(content.data(), static_cast<std::streamsize>(content.size()));
    if (!file && !file.eof()) {
        return std::nullopt;
    }
    content.resize(static_cast<std::size_t>(file.gcount()));
    return content;
}

/// Reads and checks a file; writes the error when it cannot be read.
auto checkFile(Invocation &invocation, const std::string &path) -> std::optional<Wire::CheckedConfig>
{
    const auto text = readConfigFile(path);
    if (!text) {
        reportWrongUse(invocation.terminal_, path + ": cannot read the file");
        return std::nullopt;
    }
    auto checked = Wire::checkConfigText(*text, invocation.options_.accelerators_);
    if (!isOk(checked)) {
        reportWrongUse(invocation.terminal_, path + ": " + errorOf(checked).message_);
        return std::nullopt;
    }
    return std::move(std::get<0>(checked));
}

auto toText(const std::string &path, const Wire::PlacedFinding &finding) -> std::string
{
    const auto position =
        finding.position_ ? std::to_string(finding.position_->line_) + ":" + std::to_string(finding.position_->column_) + ": " : std::string();
    return path + ":" + (position.empty() ? " " : position) + std::string(nameOf(finding.kind_)) + ": " + (finding.path_.empty() ? "" : finding.path_ + ": ")
        + finding.message_;
}

auto toJson(const Wire::PlacedFinding &finding) -> json
{
    return {{"kind", nameOf(finding.kind_)},
            {"line", finding.position_ ? json(finding.position_->line_) : json()},
            {"column", finding.position_ ? json(finding.position_->column_) : json()},
            {"path", finding.path_},
            {"message", finding.message_}};
}

auto runConfigCheck(Invocation &invocation) -> ExitCode
{
    const auto &path = invocation.arguments_.front();
    const auto &against = invocation.options_.against_;
    auto checked = checkFile(invocation, path);
    if (!checked) {
        return ExitCode::WrongUse;
    }
    std::vector<std::string> differences;
    if (!against.empty()) {
        const auto other = checkFile(invocation, against);
        if (!other) {
            return ExitCode::WrongUse;
        }
        differences = describeDifferences(other->config_, checked->config_);
        if (!differences.empty() && checked->config_.version() <= other->config_.version()) {
            checked->findings_.push_back(
                {ConfigFindingKind::Error,
                 std::nullopt,
                 "version",
                 "must be above " + std::to_string(other->config_.version()) + ", the version of " + against + "; instances ignore other versions"});
        }
    }
    auto &terminal = invocation.terminal_;
    if (terminal.json_) {
        json result{{"file", path}, {"clean", checked->findings_.empty()}, {"findings", json::array()}};
        for (const auto &finding : checked->findings_) {
            result["findings"].push_back(toJson(finding));
        }
        if (!against.empty()) {
            result["differences"] = differences;
        }
        terminal.out_ << result.dump(2, ' ', false, json::error_handler_t::replace) << '\n';
    } else {
        for (const auto &finding : checked->findings_) {
            terminal.err_ << printable(toText(path, finding)) << '\n';
        }
        for (const auto &difference : differences) {
            terminal.out_ << printable(difference) << '\n';
        }
        if (checked->findings_.empty()) {
            terminal.out_ << printable(path) << ": no findings\n";
        }
    }
    return checked->findings_.empty() ? ExitCode::Done : ExitCode::Refused;
}
} // namespace

auto configCommands() -> std::vector<Command>
{
    return {
        {{"config", "check"},
         {"FILE"},
         "check the operators' configuration before it is published",
         "Reports values that are wrong, entries that can never match, and limits that contradict each other, with their positions. With\n"
         "--against, also the differences from another version; they are not findings. API keys are not printed.\n"
         "Exit code: 0 clean, 1 findings, 2 the configuration cannot be read.\n",
         {"against", "accelerators"},
         false,
         runConfigCheck},
    };
}
} // namespace Marjoramfold::Ctl
