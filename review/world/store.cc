#include "review/world/store.hh"

#include "marjoramfold/http/httpmessage.h"

#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <utility>

using namespace Marjoramfold;

namespace Review
{
namespace
{
constexpr std::chrono::milliseconds AppendTime{4};
constexpr std::size_t RepeatableAppends = 5;
constexpr std::size_t PageRecords = 500;
constexpr std::size_t PageBytes = 1U << 20U;

auto numberOf(const RawRequest &request, const char *name) -> std::uint64_t
{
    const auto text = queryParameter(request.target_, name);
    return text && !text->empty() ? std::stoull(*text) : 0;
}

auto bigEndian(std::uint64_t value, int bytes) -> std::string
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        text.push_back(static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xffU));
    }
    return text;
}

auto base64(const std::string &bytes) -> std::string
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const auto length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

auto unescape(const std::string &text) -> std::string
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            plain.push_back(static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
            i += 2;
        } else {
            plain.push_back(text[i]);
        }
    }
    return plain;
}

auto json(int status, const nlohmann::json &body) -> RawAnswer
{
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}
} // namespace

Store::Store(asio::io_context &context)
    : context_(context)
{
}

auto Store::listen() -> std::string
{
    const auto address = std::make_shared<std::string>();
    servers_.push_back(std::make_unique<RawHttpServer>(
        context_, "127.0.0.1", 0, [this, address](const RawRequest &request, std::size_t /*open*/, const RawResponder &respond) {
            if (silent_.contains(*address)) {
                unanswered_.push_back(respond);
                return;
            }
            handle(request, respond);
        }));
    *address = "127.0.0.1:" + std::to_string(servers_.back()->port());
    return *address;
}

auto Store::setSilent(const std::string &address, bool silent) -> void
{
    if (silent) {
        silent_.insert(address);
    } else {
        silent_.erase(address);
    }
}

auto Store::oversizedAppends() const -> std::size_t
{
    return oversized_;
}

auto Store::largestRecord() const -> std::size_t
{
    return largest_;
}

auto Store::put(const std::string &topic, const std::string &key, const std::optional<std::string> &value) -> void
{
    add(topic, {key, value});
    answerWaiting(topic);
}

auto Store::add(const std::string &name, Record record) -> void
{
    auto &topic = topics_[name];
    if (record.value_) {
        topic.newest_[record.key_] = topic.records_.size();
    } else {
        topic.newest_.erase(record.key_);
    }
    topic.records_.push_back(std::move(record));
}

auto Store::handle(const RawRequest &request, const RawResponder &respond) -> void
{
    const auto path = pathOf(request.target_);
    if (path == "/marjoramfold/log-append") {
        // A partition processes its appends one at a time.
        auto &topic = topics_[queryParameter(request.target_, "topic").value_or("")];
        const auto now = std::chrono::steady_clock::now();
        topic.busyUntil_ = std::max(topic.busyUntil_, now) + AppendTime;
        auto timer = std::make_shared<asio::steady_timer>(context_, topic.busyUntil_);
        timer->async_wait([this, timer, request, respond](const std::error_code &error) {
            if (!error) {
                respond(append(request));
            }
        });
    } else if (path == "/marjoramfold/log-newest") {
        respond(newest(request));
    } else if (path == "/marjoramfold/log-read") {
        read(request, respond);
    } else {
        respond(json(404, {{"reason", "unknown"}}));
    }
}

auto Store::append(const RawRequest &request) -> RawAnswer
{
    const auto name = queryParameter(request.target_, "topic").value_or("");
    if (name == "keyed.op" || name == "keyed.servers") {
        return json(403, {{"reason", "not yours"}});
    }
    auto &topic = topics_[name];
    const auto &body = request.body_;
    std::vector<Record> records;
    for (std::size_t at = 0; at < body.size();) {
        std::size_t size = 0;
        if (body.size() - at < 4) {
            return json(400, {{"reason", "truncated"}});
        }
        for (std::size_t i = 0; i < 4; ++i) {
            size = size << 8U | static_cast<unsigned char>(body[at + i]);
        }
        at += 4;
        if (size == 0 || size > body.size() - at) {
            return json(400, {{"reason", "truncated"}});
        }
        if (size > RecordBytes) {
            ++oversized_;
            largest_ = std::max(largest_, size);
            return json(400, {{"reason", "record"}});
        }
        const auto keySize = static_cast<unsigned char>(body[at]);
        Record record{body.substr(at + 1, keySize), std::nullopt};
        if (size > 1U + keySize) {
            record.value_ = body.substr(at + 1 + keySize, size - 1 - keySize);
        }
        records.push_back(std::move(record));
        at += size;
    }
    if (body.size() > CallBytes) {
        ++oversized_;
        return json(400, {{"reason", "call"}});
    }
    auto &producer = topic.producers_[unescape(queryParameter(request.target_, "producer").value_or(""))];
    const auto epoch = numberOf(request, "epoch");
    const auto sequence = numberOf(request, "sequence");
    if (epoch < producer.epoch_) {
        return json(409, {{"reason", "fenced"}});
    }
    if (epoch > producer.epoch_) {
        producer = {epoch, std::nullopt, {}};
    }
    if (records.empty()) {
        return json(200, {{"offset", topic.records_.size()}, {"end", topic.records_.size()}});
    }
    if (const auto earlier = producer.offsets_.find(sequence); earlier != producer.offsets_.end()) {
        return json(200, {{"offset", earlier->second}, {"end", topic.records_.size()}});
    }
    if (producer.next_ && sequence != *producer.next_) {
        return json(409, {{"reason", "seq"}, {"expected", *producer.next_}});
    }
    const auto offset = topic.records_.size();
    for (auto &record : records) {
        add(name, std::move(record));
    }
    producer.offsets_[sequence] = offset;
    if (producer.offsets_.size() > RepeatableAppends) {
        producer.offsets_.erase(producer.offsets_.begin());
    }
    producer.next_ = sequence + 1;
    answerWaiting(name);
    return json(200, {{"offset", offset}, {"end", topic.records_.size()}});
}

auto Store::page(const std::string &name, std::uint64_t from) -> RawAnswer
{
    const auto &topic = topics_[name];
    RawAnswer answer;
    answer.body_ = bigEndian(topic.records_.size(), 8) + bigEndian(0, 8);
    for (auto offset = from; offset < topic.records_.size() && answer.body_.size() < PageBytes; ++offset) {
        const auto &record = topic.records_[offset];
        const auto value = record.value_.value_or("");
        answer.body_ += bigEndian(1 + record.key_.size() + value.size(), 4) + static_cast<char>(record.key_.size()) + record.key_ + value;
    }
    return answer;
}

auto Store::read(const RawRequest &request, const RawResponder &respond) -> void
{
    const auto name = queryParameter(request.target_, "topic").value_or("");
    const auto from = numberOf(request, "from");
    const auto wait = numberOf(request, "wait_ms");
    if (from < topics_[name].records_.size() || wait == 0) {
        respond(page(name, from));
        return;
    }
    const auto id = ++nextRead_;
    waiting_.push_back({name, from, id, respond});
    auto timer = std::make_shared<asio::steady_timer>(context_, std::chrono::milliseconds(wait));
    timer->async_wait([this, timer, id](const std::error_code &) {
        const auto found = std::find_if(waiting_.begin(), waiting_.end(), [id](const WaitingRead &waiting) {
            return waiting.id_ == id;
        });
        if (found != waiting_.end()) {
            const auto waiting = *found;
            waiting_.erase(found);
            waiting.respond_(page(waiting.topic_, waiting.from_));
        }
    });
}

auto Store::answerWaiting(const std::string &topic) -> void
{
    for (auto waiting = waiting_.begin(); waiting != waiting_.end();) {
        if (waiting->topic_ != topic) {
            ++waiting;
            continue;
        }
        const auto answerable = *waiting;
        waiting = waiting_.erase(waiting);
        answerable.respond_(page(topic, answerable.from_));
    }
}

auto Store::newest(const RawRequest &request) -> RawAnswer
{
    const auto &topic = topics_[queryParameter(request.target_, "topic").value_or("")];
    const auto after = unescape(queryParameter(request.target_, "depends_on").value_or(""));
    auto items = nlohmann::json::array();
    auto truncated = false;
    std::size_t bytes = 0;
    for (auto entry = topic.newest_.upper_bound(after); entry != topic.newest_.end(); ++entry) {
        if (items.size() == PageRecords || bytes > PageBytes) {
            truncated = true;
            break;
        }
        const auto value = base64(topic.records_[entry->second].value_.value_or(""));
        bytes += value.size();
        items.push_back({{"key", entry->first}, {"value", value}, {"offset", entry->second}});
    }
    return json(200, {{"items", items}, {"truncated", truncated}, {"end", topic.records_.size()}});
}
} // namespace Review
