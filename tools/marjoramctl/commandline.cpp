#include "commandline.h"

#include "commands.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <sstream>

DEFINE_string(entry, "127.0.0.1:8080", "HOST:PORT of an entry instance; may be repeated or a list with commas, tried in turn");
DEFINE_bool(json, false, "write JSON");
DEFINE_int32(timeout_ms, 10'000, "time for one request to one entry, in milliseconds");
DEFINE_int32(wait_s, 0, "how long to wait, in seconds; 0 takes 15 for rules publish and 86400 for job wait");
DEFINE_string(id, "", "id of the publish or job, to repeat a command whose outcome is not known; made here by default");
DEFINE_string(author, "", "who publishes; by default the user's name");
DEFINE_int64(base_version, -1, "version of the rules that was edited; 0 when there was none");

namespace Marjoramfold::Ctl
{
namespace
{
constexpr std::array CommonFlags{"entry", "json", "timeout_ms"};
constexpr std::array CommandFlags{"wait_s", "id", "author", "base_version"};

constexpr std::chrono::seconds DefaultPublishWait{15};
constexpr std::chrono::seconds DefaultJobWait{86'400};

/// A command line taken apart.
struct Parsed {
    std::vector<std::string> words_;
    std::vector<std::string> usedFlags_;
    std::string entries_;
    bool help_ = false;
    /// Why the line is wrong; empty when it is not.
    std::string fault_;
};

template<typename Names>
auto contains(const Names &names, const std::string &name) -> bool
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// Puts flags back to their defaults, so that several command lines can run in one process.
auto resetFlags() -> void
{
    const auto reset = [](const char *name) {
        gflags::CommandLineFlagInfo info;
        gflags::GetCommandLineFlagInfo(name, &info);
        gflags::SetCommandLineOption(name, info.default_value.c_str());
    };
    std::for_each(CommonFlags.begin(), CommonFlags.end(), reset);
    std::for_each(CommandFlags.begin(), CommandFlags.end(), reset);
}

/// Sets one flag; gflags' own parser would end the program with another exit code and does not know repeated flags.
auto setFlag(Parsed &parsed, const std::string &name, const std::string &value) -> void
{
    if (name == "entry") {
        parsed.entries_ += (parsed.entries_.empty() ? "" : ",") + value;
    } else if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
        parsed.fault_ = "--" + name + ": '" + value + "' is no valid value";
    }
    parsed.usedFlags_.push_back(name);
}

auto parse(const std::vector<std::string> &arguments) -> Parsed
{
    Parsed parsed;
    for (std::size_t i = 0; i < arguments.size() && parsed.fault_.empty(); ++i) {
        const auto &argument = arguments[i];
        if (argument == "--help" || argument == "-help" || argument == "-h") {
            parsed.help_ = true;
        } else if (argument.size() < 2 || argument.front() != '-') {
            parsed.words_.push_back(argument);
        } else {
            const auto start = argument.find_first_not_of('-');
            const auto equals = argument.find('=');
            const auto name = start == std::string::npos ? std::string() : argument.substr(start, equals - start);
            const auto isBoolean = name == "json";
            if (start > 2 || !(contains(CommonFlags, name) || contains(CommandFlags, name))) {
                parsed.fault_ = "unknown flag " + argument;
            } else if (equals != std::string::npos) {
                setFlag(parsed, name, argument.substr(equals + 1));
            } else if (isBoolean) {
                setFlag(parsed, name, "true");
            } else if (i + 1 < arguments.size()) {
                setFlag(parsed, name, arguments[++i]);
            } else {
                parsed.fault_ = "--" + name + " needs a value";
            }
        }
    }
    return parsed;
}

auto joined(const std::vector<std::string> &words) -> std::string
{
    std::string text;
    for (const auto &word : words) {
        text += (text.empty() ? "" : " ") + word;
    }
    return text;
}

auto usageOf(const Command &command) -> std::string
{
    return joined(command.words_) + (command.arguments_.empty() ? "" : " " + joined(command.arguments_));
}

auto writeFlag(std::ostream &out, const std::string &name) -> void
{
    gflags::CommandLineFlagInfo info;
    gflags::GetCommandLineFlagInfo(name.c_str(), &info);
    out << "  --" << name << "  " << info.description << (info.default_value.empty() ? "" : " (default " + info.default_value + ")") << '\n';
}

auto writeHelp(std::ostream &out) -> void
{
    out << "usage: marjoramctl [FLAGS] COMMAND [ARGUMENTS]\n\ncommands:\n";
    std::size_t width = 0;
    const auto commands = allCommands();
    for (const auto &command : commands) {
        width = std::max(width, usageOf(command).size());
    }
    for (const auto &command : commands) {
        auto usage = usageOf(command);
        usage.resize(width, ' ');
        out << "  " << usage << "  " << command.summary_ << '\n';
    }
    out << "\nflags:\n";
    std::for_each(CommonFlags.begin(), CommonFlags.end(), [&out](const char *name) {
        writeFlag(out, name);
    });
    out << "\n`marjoramctl COMMAND --help` tells more. Exit code: 0 done, 1 refused, 2 wrong use or wrong file.\n";
}

auto writeHelp(std::ostream &out, const Command &command) -> void
{
    out << "usage: marjoramctl [FLAGS] " << usageOf(command) << "\n\n" << command.summary_ << '\n' << command.details_ << "\nflags:\n";
    for (const auto &name : command.flags_) {
        writeFlag(out, name);
    }
    if (command.needsEntry_) {
        writeFlag(out, "entry");
        writeFlag(out, "timeout_ms");
    }
    writeFlag(out, "json");
}

auto findCommand(const std::vector<Command> &commands, const std::vector<std::string> &words) -> const Command *
{
    const auto found = std::find_if(commands.begin(), commands.end(), [&words](const Command &command) {
        return words.size() >= command.words_.size() && std::equal(command.words_.begin(), command.words_.end(), words.begin());
    });
    return found == commands.end() ? nullptr : &*found;
}

auto splitEntries(const std::string &list) -> std::vector<std::string>
{
    std::vector<std::string> entries;
    std::istringstream stream(list);
    std::string entry;
    while (std::getline(stream, entry, ',')) {
        if (!entry.empty()) {
            entries.push_back(entry);
        }
    }
    return entries;
}

auto defaultAuthor() -> std::string
{
    for (const auto *name : {"USER", "LOGNAME"}) {
        if (const auto *value = std::getenv(name); value != nullptr && *value != '\0') {
            return value;
        }
    }
    return {};
}

auto optionsFor(const Command &command, const Parsed &parsed) -> Options
{
    Options options;
    options.entries_ = splitEntries(parsed.entries_.empty() ? FLAGS_entry : parsed.entries_);
    options.timeout_ = std::chrono::milliseconds(FLAGS_timeout_ms);
    options.wait_ = std::chrono::seconds(FLAGS_wait_s);
    if (FLAGS_wait_s == 0) {
        options.wait_ = command.words_.front() == "rules" ? DefaultPublishWait : DefaultJobWait;
    }
    options.id_ = FLAGS_id;
    options.author_ = FLAGS_author.empty() ? defaultAuthor() : FLAGS_author;
    if (FLAGS_base_version >= 0) {
        options.baseVersion_ = static_cast<std::uint64_t>(FLAGS_base_version);
    }
    return options;
}

/// Why the arguments do not fit a command; empty when they do.
auto findFault(const Command &command, const Parsed &parsed) -> std::string
{
    if (parsed.words_.size() != command.words_.size() + command.arguments_.size()) {
        return "usage: marjoramctl " + usageOf(command);
    }
    for (const auto &flag : parsed.usedFlags_) {
        if (!contains(CommonFlags, flag) && !contains(command.flags_, flag)) {
            return "--" + flag + " does not belong to " + joined(command.words_);
        }
    }
    return FLAGS_timeout_ms <= 0 || FLAGS_wait_s < 0 ? "times must be positive" : "";
}
} // namespace

auto runCommandLine(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err) -> ExitCode
{
    resetFlags();
    const auto parsed = parse(arguments);
    Terminal terminal{out, err, FLAGS_json};
    if (!parsed.fault_.empty()) {
        return reportWrongUse(terminal, parsed.fault_);
    }
    const auto commands = allCommands();
    const auto *command = findCommand(commands, parsed.words_);
    if (parsed.help_) {
        command == nullptr ? writeHelp(out) : writeHelp(out, *command);
        return ExitCode::Done;
    }
    if (command == nullptr) {
        return reportWrongUse(terminal,
                              parsed.words_.empty() ? "a command is missing; see --help" : "unknown command '" + joined(parsed.words_) + "'; see --help");
    }
    if (const auto fault = findFault(*command, parsed); !fault.empty()) {
        return reportWrongUse(terminal, fault);
    }
    const auto options = optionsFor(*command, parsed);
    if (command->needsEntry_ && options.entries_.empty()) {
        return reportWrongUse(terminal, "--entry is empty");
    }
    EntryClient entries(options.entries_, options.timeout_);
    Invocation call{options, {parsed.words_.begin() + static_cast<std::ptrdiff_t>(command->words_.size()), parsed.words_.end()}, terminal, entries};
    return command->run_(call);
}
} // namespace Marjoramfold::Ctl
