#include "commands.h"
#include "marjoramfold/rules/rulechecker.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <ctime>
#include <set>
#include <thread>

namespace Marjoramfold::Ctl
{
namespace
{
using nlohmann::json;

/// Start of the first line that `rules show` prints. `rules publish` reads the base version from this line and removes it.
constexpr std::string_view BaseVersionPrefix = "# base version: ";

constexpr std::chrono::milliseconds InForcePollInterval{200};

auto toJsonList(const std::vector<RuleProblem> &problems) -> json
{
    auto list = json::array();
    for (const auto &problem : problems) {
        list.push_back({{"line", problem.line_}, {"column", problem.column_}, {"message", problem.message_}});
    }
    return list;
}

/// A rules file: its text without the line of the base version, and that version.
struct RulesFile {
    std::string text_;
    std::optional<std::uint64_t> baseVersion_;
    /// Number of lines that were removed from the start of the text.
    int removedLines_ = 0;
};

auto readRulesFile(const std::string &path) -> std::optional<RulesFile>
{
    auto content = readFile(path);
    if (!content) {
        return std::nullopt;
    }
    RulesFile file{std::move(*content), std::nullopt, 0};
    if (!file.text_.starts_with(BaseVersionPrefix)) {
        return file;
    }
    const auto end = std::min(file.text_.find('\n'), file.text_.size());
    auto version = std::uint64_t(0);
    const auto *digits = file.text_.data() + BaseVersionPrefix.size();
    if (const auto [next, error] = std::from_chars(digits, file.text_.data() + end, version); error == std::errc()) {
        file.baseVersion_ = version;
    }
    file.text_.erase(0, end + 1);
    file.removedLines_ = 1;
    return file;
}

/// Checks a file and writes its errors and warnings, with positions in the file on disk; true when it has no errors.
auto checkFile(Terminal &terminal, const std::string &path, const RulesFile &file, bool writeJson) -> bool
{
    auto check = checkRules(file.text_);
    for (auto *problems : {&check.errors_, &check.warnings_}) {
        for (auto &problem : *problems) {
            problem.line_ += problem.line_ > 0 ? file.removedLines_ : 0;
        }
    }
    if (terminal.json_) {
        if (writeJson || !check.isClean()) {
            const json result{{"file", path}, {"clean", check.isClean()}, {"errors", toJsonList(check.errors_)}, {"warnings", toJsonList(check.warnings_)}};
            terminal.out_ << result.dump(2, ' ', false, json::error_handler_t::replace) << '\n';
        }
        return check.isClean();
    }
    for (const auto &problem : check.errors_) {
        terminal.err_ << printable(toString(path, problem)) << '\n';
    }
    for (const auto &problem : check.warnings_) {
        terminal.err_ << printable(toString(path, problem)) << " (warning)\n";
    }
    return check.isClean();
}

auto runCheck(Invocation &invocation) -> ExitCode
{
    const auto &path = invocation.arguments_.front();
    const auto file = readRulesFile(path);
    if (!file) {
        return reportWrongUse(invocation.terminal_, path + ": cannot read the file");
    }
    if (!checkFile(invocation.terminal_, path, *file, true)) {
        return ExitCode::WrongUse;
    }
    if (!invocation.terminal_.json_) {
        invocation.terminal_.out_ << path << ": no errors\n";
    }
    return ExitCode::Done;
}

/// Polls until a version is in force in every availability zone, and writes each zone that confirms.
class InForcePoller
{
public:
    InForcePoller(Invocation &invocation, std::int64_t version)
        : invocation_(invocation)
        , version_(version)
        , startedAt_(std::chrono::steady_clock::now())
    {
    }

    /// Polls until all zones have confirmed or --wait_s has passed; returns the zones of the last answer.
    auto run() -> json
    {
        const auto deadline = startedAt_ + invocation_.options_.wait_;
        while (true) {
            poll();
            if (allInForce_ || std::chrono::steady_clock::now() >= deadline) {
                break;
            }
            std::this_thread::sleep_for(InForcePollInterval);
        }
        return zones_;
    }

    [[nodiscard]] auto allInForce() const -> bool
    {
        return allInForce_;
    }

private:
    auto poll() -> void
    {
        const auto answer = invocation_.entries_.send({"GET", "/v1/rules/in-force?version=" + std::to_string(version_), nullptr, Retry::Safe});
        if (answer.index() != 0) {
            return;
        }
        zones_ = listOf(std::get<0>(answer), "zones");
        allInForce_ = !zones_.empty();
        for (const auto &zone : zones_) {
            const auto isInForce = flagOr(zone, "in_force", false);
            allInForce_ = allInForce_ && isInForce;
            const auto name = textOr(zone, "availability_zone", "?");
            if (isInForce && confirmed_.insert(name).second && !invocation_.terminal_.json_) {
                writeInForce(zone, name);
            }
        }
    }

    auto writeInForce(const json &zone, const std::string &name) -> void
    {
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - startedAt_);
        // The entry reports how long ago the zone confirmed. A confirmation before this command started to poll counts as 0 ms.
        const auto ago = numberOr(zone, "confirmed_ms", 0);
        invocation_.terminal_.out_ << "in force in " << name << " after " << std::max<std::int64_t>(0, elapsed.count() - ago) << " ms\n" << std::flush;
    }

    Invocation &invocation_;
    std::int64_t version_;
    std::chrono::steady_clock::time_point startedAt_;
    json zones_ = json::array();
    std::set<std::string> confirmed_;
    bool allInForce_ = false;
};

auto publish(Invocation &invocation, const RulesFile &file, std::uint64_t base) -> ExitCode
{
    const auto id = invocation.options_.id_.empty() ? generateId("publish-") : invocation.options_.id_;
    const json body{{"publish_id", id}, {"base_version", base}, {"author", invocation.options_.author_}, {"text", file.text_}};
    const auto answer = invocation.entries_.send({"POST", "/v1/rules", body, Retry::Safe});
    if (const auto *error = std::get_if<EntryError>(&answer)) {
        if (error->ran_ != "no" && !invocation.terminal_.json_) {
            invocation.terminal_.err_ << "marjoramctl: to find out whether it ran, repeat with --id=" << id << "; a publish id is accepted only once\n";
        }
        return reportError(invocation.terminal_, *error);
    }
    const auto version = numberOr(std::get<0>(answer), "version", 0);
    if (!invocation.terminal_.json_) {
        invocation.terminal_.out_ << "accepted as version " << version << '\n' << std::flush;
    }

    InForcePoller poller(invocation, version);
    const auto zones = poller.run();
    const json result{{"publish_id", id}, {"version", version}, {"in_force_everywhere", poller.allInForce()}, {"zones", zones}};
    return report(invocation.terminal_, result, [&] {
        if (zones.empty()) {
            invocation.terminal_.out_ << "no availability zone has confirmed yet\n";
        }
        for (const auto &zone : zones) {
            if (!flagOr(zone, "in_force", false)) {
                invocation.terminal_.out_ << "not confirmed by " << textOr(zone, "availability_zone", "?") << " (" << numberOr(zone, "unconfirmed", 0)
                                          << " instances)\n";
            }
        }
    });
}

auto runPublish(Invocation &invocation) -> ExitCode
{
    const auto &path = invocation.arguments_.front();
    const auto file = readRulesFile(path);
    if (!file) {
        return reportWrongUse(invocation.terminal_, path + ": cannot read the file");
    }
    if (!checkFile(invocation.terminal_, path, *file, false)) {
        return ExitCode::WrongUse;
    }
    const auto base = invocation.options_.baseVersion_ ? invocation.options_.baseVersion_ : file->baseVersion_;
    if (!base) {
        return reportWrongUse(invocation.terminal_, "--base_version is missing, and the file does not start with the version line that `rules show` prints");
    }
    if (invocation.options_.author_.empty()) {
        return reportWrongUse(invocation.terminal_, "--author is missing");
    }
    return publish(invocation, *file, *base);
}

auto runShow(Invocation &invocation) -> ExitCode
{
    const auto answer = invocation.entries_.send({"GET", "/v1/rules", nullptr, Retry::Safe});
    if (const auto *error = std::get_if<EntryError>(&answer)) {
        return reportError(invocation.terminal_, *error);
    }
    const auto &rules = std::get<0>(answer);
    return report(invocation.terminal_, rules, [&] {
        // Written unchanged, since the operator edits and republishes this text.
        invocation.terminal_.out_ << BaseVersionPrefix << numberOr(rules, "version", 0) << '\n';
        const auto text = rules.is_object() && rules.contains("text") && rules["text"].is_string() ? rules["text"].get<std::string>() : std::string();
        invocation.terminal_.out_ << text << (text.empty() || text.back() == '\n' ? "" : "\n");
    });
}

/// Date and time in UTC, in ISO 8601 form.
auto timeText(std::int64_t unixMilliseconds) -> std::string
{
    const std::time_t seconds = unixMilliseconds / 1'000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text.data();
}

/// Writes one publish of the history, followed by the rule lines that it changed or that collided.
auto writePublish(std::ostream &out, const json &publish) -> void
{
    out << "version " << textOr(publish, "version", "?") << "  " << textOr(publish, "decision", "?") << "  by " << textOr(publish, "author", "?") << "  from "
        << textOr(publish, "base_version", "?") << "  " << timeText(numberOr(publish, "time_ms", 0)) << '\n';
    const auto writeLine = [&out](const char *prefix, const json &change, const char *side) {
        if (change.is_object() && change.contains(side) && change[side].is_object()) {
            out << "  " << prefix << ' ' << textOr(change[side], "text", "") << '\n';
        }
    };
    for (const auto &change : listOf(publish, "changes")) {
        writeLine("-", change, "before");
        writeLine("+", change, "after");
    }
    for (const auto &collision : listOf(publish, "collisions")) {
        writeLine("in force: ", collision, "in_force");
        writeLine("published:", collision, "published");
    }
}

auto runHistory(Invocation &invocation) -> ExitCode
{
    const auto answer = invocation.entries_.send({"GET", "/v1/rules/history", nullptr, Retry::Safe});
    if (const auto *error = std::get_if<EntryError>(&answer)) {
        return reportError(invocation.terminal_, *error);
    }
    return report(invocation.terminal_, std::get<0>(answer), [&] {
        for (const auto &publish : listOf(std::get<0>(answer), "publishes")) {
            writePublish(invocation.terminal_.out_, publish);
        }
    });
}
} // namespace

auto rulesCommands() -> std::vector<Command>
{
    return {
        {{"rules", "check"},
         {"FILE"},
         "check a rules file without contacting a server",
         "Errors are written as FILE:LINE:COLUMN: REASON.\n",
         {},
         false,
         runCheck},
        {{"rules", "publish"},
         {"FILE"},
         "publish a rules file and wait until it is in force",
         "The base version is the version that was edited. It comes from --base_version, or from the first line of the\n"
         "file as `rules show` prints it. A publish whose base is no longer in force is rejected with the lines that\n"
         "collide. Availability zones that have not confirmed within --wait_s are listed; the publish remains valid.\n",
         {"base_version", "author", "id", "wait_s"},
         true,
         runPublish},
        {{"rules", "show"}, {}, "print the rules in force", "The first line contains the version, which `rules publish` reads.\n", {}, true, runShow},
        {{"rules", "history"}, {}, "list publishes and whether they were accepted", "", {}, true, runHistory},
    };
}
} // namespace Marjoramfold::Ctl
