#include "marjoramfold/node/instance.h"

#include "marjoramfold/observability/asynclog.h"
#include "marjoramfold/observability/logline.h"
#include "platform/binding.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <gflags/gflags.h>
#include <sys/stat.h>

#include <csignal>
#include <iostream>

DEFINE_string(settings, "", "settings file in TOML; the platform's file when empty");
DEFINE_bool(check, false, "check the settings file and exit");

namespace
{
using namespace Marjoramfold;

constexpr int ExitUsageError = 2;
/// Interval of checks for a settings file that changed without a signal.
constexpr std::chrono::seconds SettingsCheckInterval{1};

/// Keeps SIGHUP pending, or delivers it; without a handler it would end the process.
auto holdReloadSignal(bool hold) -> void
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(hold ? SIG_BLOCK : SIG_UNBLOCK, &signals, nullptr);
}

/// Reloads the settings on SIGHUP and when the file has changed.
class SettingsWatcher
{
public:
    SettingsWatcher(asio::io_context &context, std::string path, Instance &instance)
        : path_(std::move(path))
        , instance_(instance)
        , signals_(context, SIGHUP)
        , timer_(context)
        , version_(fileVersion())
    {
        holdReloadSignal(false);
    }

    ~SettingsWatcher()
    {
        holdReloadSignal(true);
    }

    SettingsWatcher(const SettingsWatcher &) = delete;
    auto operator=(const SettingsWatcher &) -> SettingsWatcher & = delete;

    auto start() -> void
    {
        awaitSignal();
        awaitChange();
    }

    auto stop() -> void
    {
        signals_.cancel();
        timer_.cancel();
    }

private:
    /// Modification time and size of the file; a change nearly always alters one of them.
    [[nodiscard]] auto fileVersion() const -> std::pair<std::int64_t, std::int64_t>
    {
        struct stat status {
        };
        if (::stat(path_.c_str(), &status) != 0) {
            return {0, 0};
        }
        constexpr std::int64_t NanosecondsPerSecond = 1'000'000'000;
        return {status.st_mtim.tv_sec * NanosecondsPerSecond + status.st_mtim.tv_nsec, status.st_size};
    }

    auto awaitSignal() -> void
    {
        signals_.async_wait([this](const std::error_code &error, int /*signal*/) {
            if (!error) {
                reload("signal");
                awaitSignal();
            }
        });
    }

    auto awaitChange() -> void
    {
        timer_.expires_after(SettingsCheckInterval);
        timer_.async_wait([this](const std::error_code &error) {
            if (error) {
                return;
            }
            if (fileVersion() != version_) {
                reload("file changed");
            }
            awaitChange();
        });
    }

    auto reload(const std::string &cause) -> void
    {
        version_ = fileVersion();
        const auto settings = loadNodeSettings(path_);
        if (!isOk(settings)) {
            LogLine(LogSeverity::Error, "settings_refused").with("cause", cause).with("reason", errorOf(settings).message_);
            return;
        }
        instance_.reload(valueOf(settings));
    }

    std::string path_;
    Instance &instance_;
    asio::signal_set signals_;
    asio::steady_timer timer_;
    std::pair<std::int64_t, std::int64_t> version_;
};

auto run(const std::string &path, const NodeSettings &settings) -> int
{
    asio::io_context control(1);
    try {
        Instance instance(control, settings, &Wire::makeBinding);
        SettingsWatcher watcher(control, path, instance);
        asio::signal_set signals(control, SIGINT, SIGTERM);
        signals.async_wait([&](const std::error_code &error, int /*signal*/) {
            if (!error) {
                watcher.stop();
                instance.drain([&control] {
                    control.stop();
                });
            }
        });
        instance.start();
        watcher.start();
        control.run();
    } catch (const std::exception &exception) {
        LogLine(LogSeverity::Error, "instance_failed").with("reason", exception.what());
        return 1;
    }
    return 0;
}
} // namespace

auto main(int argc, char **argv) -> int
{
    holdReloadSignal(true);
    gflags::SetUsageMessage("Instance of marjoramfold on the platform: marjoramfold-instance [--settings FILE.toml] [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    // Writes to a closed connection return an error, so the signal is not needed.
    std::signal(SIGPIPE, SIG_IGN);
    const auto path = FLAGS_settings.empty() ? Marjoramfold::Wire::settingsPath() : FLAGS_settings;
    if (path.empty() || argc > 1) {
        std::cerr << "usage: marjoramfold-instance [--settings FILE.toml] [--check]\n";
        return ExitUsageError;
    }
    const auto settings = Marjoramfold::loadNodeSettings(path);
    if (!Marjoramfold::isOk(settings)) {
        std::cerr << path << ": " << Marjoramfold::errorOf(settings).message_ << "\n";
        return ExitUsageError;
    }
    if (FLAGS_check) {
        std::cout << path << ": ok\n";
        return 0;
    }
    Marjoramfold::logToStandardOutput();
    const auto status = run(path, Marjoramfold::valueOf(settings));
    Marjoramfold::finishLog();
    return status;
}
