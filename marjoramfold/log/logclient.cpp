#include "marjoramfold/log/logclient.h"

namespace Marjoramfold
{
auto toString(LogStream stream) -> std::string
{
    switch (stream) {
    case LogStream::Config:
        return "config";
    case LogStream::Control:
        return "control";
    case LogStream::Intents:
        return "intents";
    }
    return "control";
}
} // namespace Marjoramfold
