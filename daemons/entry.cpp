#include "marjoramfold/entry/entryinstance.h"

#include <asio/signal_set.hpp>
#include <gflags/gflags.h>
#include <glog/logging.h>

#include <iostream>

DEFINE_string(settings, "", "settings file in TOML");

namespace
{
constexpr int ExitUsageError = 2;
}

auto main(int argc, char **argv) -> int
{
    FLAGS_logtostderr = true;
    gflags::SetUsageMessage("Entry instance of marjoramfold: marjoramfold-entry --settings FILE.toml");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    google::InitGoogleLogging(argv[0]);
    if (FLAGS_settings.empty() || argc > 1) {
        std::cerr << "usage: marjoramfold-entry --settings FILE.toml\n";
        return ExitUsageError;
    }
    const auto settings = Marjoramfold::loadEntrySettings(FLAGS_settings);
    if (!Marjoramfold::isOk(settings)) {
        std::cerr << Marjoramfold::errorOf(settings).message_ << "\n";
        return ExitUsageError;
    }
    asio::io_context context(1);
    try {
        Marjoramfold::EntryInstance instance(context, Marjoramfold::valueOf(settings));
        instance.start();
        asio::signal_set signals(context, SIGINT, SIGTERM);
        signals.async_wait([&instance](const std::error_code &error, int /*signal*/) {
            if (!error) {
                instance.drain();
            }
        });
        context.run();
    } catch (const std::exception &exception) {
        std::cerr << FLAGS_settings << ": cannot start: " << exception.what() << "\n";
        return 1;
    }
    LOG(INFO) << "entry_stopped instance=" << Marjoramfold::valueOf(settings).id_.value();
    return 0;
}
