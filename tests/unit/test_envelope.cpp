#include "marjoramfold/membership/envelope.h"
#include "marjoramfold/membership/peerprotocol.h"

#include <catch2/catch.hpp>

#include <random>
#include <set>

using namespace Marjoramfold;
using namespace std::chrono_literals;

namespace
{
constexpr std::uint32_t FuzzSeed = 20'261'204;
const SteadyTime Now{1h};

auto keysWith(KeyId id) -> KeyRing
{
    KeyRing keys;
    keys.accept(id, "a secret of enough bytes " + std::to_string(id));
    keys.signWith(id);
    return keys;
}

auto codecFor(const std::string &id, const KeyRing &keys, Incarnation incarnation = 5, PeerChannels channels = {}) -> EnvelopeCodec
{
    return {channels, {InstanceId(id), incarnation}, keys};
}

auto dropOf(const std::variant<OpenedMessage, DropReason> &result) -> std::string
{
    const auto *reason = std::get_if<DropReason>(&result);
    return reason == nullptr ? "accepted" : std::string(toString(*reason));
}

auto sampleEntry(const std::string &id) -> MemberEntry
{
    return {InstanceId(id), AvailabilityZoneId("zone-a"), "10.0.0.1:7000", 17, 3, MemberStatus::Dead, 40s};
}

auto sampleDigest() -> ZoneDigest
{
    ZoneDigest digest;
    digest.zone_ = AvailabilityZoneId("zone-a");
    digest.counter_ = 77;
    digest.age_ = 12ms;
    digest.confirmationAge_ = 340ms;
    digest.confirmedVersion_ = 1'000'000'007;
    digest.logState_ = ZoneLogState::Unreadable;
    digest.delegateHasNewest_ = true;
    digest.liveInstances_ = 3;
    digest.drainingInstances_ = 1;
    digest.membersFingerprint_ = 0xdeadbeef;
    digest.versions_ = {{1'000'000'007, 2}, {5, 1}};
    return digest;
}

/// One message of every type, with every field set.
auto sampleMessages() -> std::vector<PeerMessage>
{
    const AdvertisedCapacity capacity{AvailabilityZoneId("zone-a"), {31, 2}, 4, 5, 6, 7};
    const DigestRefresh refresh{1, 2, 3, 4ms, 5ms};
    const NodeState state{42, 250ms, true, {capacity}};
    return {
        Heartbeat{2, MemberStatus::Leaving, state},
        DigestMessage{sampleDigest(), refresh, {capacity}, 6, 90ms},
        ZoneGossip{{sampleDigest(), sampleDigest()}, {refresh}, {capacity}},
        MemberUpdate{{sampleEntry("a1"), sampleEntry("a2")}},
        SyncRequest{sampleEntry("a3")},
        Ping{8},
        PingAck{9},
        ProbeRequest{InstanceId("a2"), "10.0.0.2:7000"},
        ProbeAnswer{InstanceId("a2"), 44},
        RuleSetRequest{45},
        RuleSetReply{46, std::string(100'000, 'r')},
        ForwardRequest{"key", 900ms, std::string("body\0with zero", 14)},
        ForwardReply{"answer"},
        TargetListMessage{{TargetId("t1"), TargetId("t2")}},
        Acknowledgement{},
        PeerRefusal{"not_run", "why"},
    };
}

/// Channels of the sender of a message.
auto channelsOf(const PeerMessage &message) -> PeerChannels
{
    if (isDatagramMessage(message)) {
        return {};
    }
    const auto isRequest = std::holds_alternative<RuleSetRequest>(message) || std::holds_alternative<ForwardRequest>(message)
        || std::holds_alternative<TargetListMessage>(message);
    return isRequest ? PeerChannels{PeerChannel::StreamRequest, PeerChannel::StreamReply} : PeerChannels{PeerChannel::StreamReply, PeerChannel::StreamRequest};
}

auto opposite(PeerChannels channels) -> PeerChannels
{
    return {channels.receive_, channels.send_};
}
} // namespace

SCENARIO("every message type is decoded as it was encoded", "[envelope]")
{
    const auto samples = sampleMessages();
    REQUIRE(samples.size() == std::variant_size_v<PeerMessage>);
    std::set<std::string_view> names;
    for (const auto &message : samples) {
        const auto bytes = encodePeerMessage(message);
        const auto decoded = decodePeerMessage(bytes);
        CAPTURE(peerMessageName(message));
        REQUIRE(decoded);
        // Comparing the encoded bytes compares all fields.
        REQUIRE(encodePeerMessage(*decoded) == bytes);
        REQUIRE(decoded->index() == message.index());
        REQUIRE(names.insert(peerMessageName(message)).second);
    }
    const auto decoded = decodePeerMessage(encodePeerMessage(samples.at(1)));
    const auto &digest = std::get<DigestMessage>(decoded.value()).digest_.value();
    REQUIRE(digest.confirmationAge_ == 340ms);
    REQUIRE(digest.versions_ == sampleDigest().versions_);
    REQUIRE(digest.logState_ == ZoneLogState::Unreadable);
}

SCENARIO("an envelope is accepted once, by its recipient, on its channel", "[envelope]")
{
    const auto keys = keysWith(1);
    auto sender = codecFor("a1", keys);
    auto receiver = codecFor("b1", keys);
    const auto bytes = sender.seal(InstanceId("b1"), Ping{8});

    REQUIRE(dropOf(receiver.open(bytes, Now)) == "accepted");
    WHEN("the same bytes are received again")
    {
        REQUIRE(dropOf(receiver.open(bytes, Now)) == "replayed");
        REQUIRE(receiver.drops().at(static_cast<std::size_t>(DropReason::Replayed)) == 1);
    }
    WHEN("another instance receives them")
    {
        // Otherwise a captured message could be replayed once to every other instance.
        auto third = codecFor("c1", keys);
        REQUIRE(dropOf(third.open(bytes, Now)) == "bad_mac");
    }
    WHEN("they are received on another channel")
    {
        auto stream = codecFor("b1", keys, 5, {PeerChannel::StreamReply, PeerChannel::StreamRequest});
        REQUIRE(dropOf(stream.open(bytes, Now)) == "bad_mac");
    }
    WHEN("a message is received by its sender")
    {
        auto self = codecFor("b1", keys);
        const auto own = self.seal(InstanceId("b1"), Ping{8});
        REQUIRE(dropOf(self.open(own, Now)) == "from_self");
    }
    WHEN("the recipient is unknown")
    {
        THEN("only a sync request is accepted")
        {
            REQUIRE(dropOf(receiver.open(sender.seal({}, SyncRequest{sampleEntry("a1")}), Now)) == "accepted");
            REQUIRE(dropOf(receiver.open(sender.seal({}, Ping{8}), Now)) == "wrong_type");
        }
    }
    WHEN("messages are reordered")
    {
        std::vector<std::string> sent;
        for (auto i = 0; i < 1'500; ++i) {
            sent.push_back(sender.seal(InstanceId("b1"), Ping{8}));
        }
        THEN("each is accepted once within the window, and older ones are rejected")
        {
            REQUIRE(dropOf(receiver.open(sent[1'499], Now)) == "accepted");
            REQUIRE(dropOf(receiver.open(sent[1'400], Now)) == "accepted");
            REQUIRE(dropOf(receiver.open(sent[1'400], Now)) == "replayed");
            REQUIRE(dropOf(receiver.open(sent[1'499 - ReplayGuard::WindowSize + 1], Now)) == "accepted");
            REQUIRE(dropOf(receiver.open(sent[1'499 - ReplayGuard::WindowSize], Now)) == "replayed");
        }
    }
    WHEN("the sender restarts")
    {
        auto restarted = codecFor("a1", keys, 6);
        REQUIRE(dropOf(receiver.open(restarted.seal(InstanceId("b1"), Ping{8}), Now)) == "accepted");
        THEN("messages of the earlier incarnation are stale")
        {
            REQUIRE(dropOf(receiver.open(sender.seal(InstanceId("b1"), Ping{8}), Now)) == "stale_incarnation");
        }
    }
    WHEN("a message exceeds the datagram limit")
    {
        MemberUpdate update;
        for (auto i = 0; i < 30; ++i) {
            update.members_.push_back(sampleEntry("instance-with-a-long-name-" + std::to_string(i)));
        }
        REQUIRE(sender.seal(InstanceId("b1"), update).empty());
        REQUIRE(dropOf(receiver.open(std::string(MaxDatagramBytes + 1, 'x'), Now)) == "too_long");
    }
}

SCENARIO("keys are rotated without downtime", "[envelope]")
{
    KeyRing left = keysWith(1);
    KeyRing right = keysWith(1);
    auto sender = codecFor("a1", left);
    auto receiver = codecFor("b1", right);
    const auto arrives = [&] {
        return dropOf(receiver.open(sender.seal(InstanceId("b1"), Ping{1}), Now));
    };
    const std::string secret = "the next secret, also long enough";

    REQUIRE_FALSE(left.accept(2, "too short"));
    REQUIRE_FALSE(left.signWith(2));
    REQUIRE(left.accept(2, secret));
    REQUIRE(left.signWith(2));
    // Signing with a key that the receiver does not accept yet loses messages; they are counted as unknown_key.
    REQUIRE(arrives() == "unknown_key");
    REQUIRE(right.accept(2, secret));
    REQUIRE(arrives() == "accepted");
    REQUIRE_FALSE(left.remove(2));
    REQUIRE(right.signWith(2));
    REQUIRE(right.remove(1));
    REQUIRE(arrives() == "accepted");
    left.signWith(1);
    REQUIRE(arrives() == "unknown_key");
}

SCENARIO("the replay guard evicts the sender with the oldest message first", "[envelope]")
{
    ReplayGuard guard;
    for (std::size_t i = 0; i <= ReplayGuard::MaxSenders; ++i) {
        REQUIRE(guard.check(InstanceId("s" + std::to_string(i)), 1, 1, Now + std::chrono::seconds(i)) == ReplayCheckResult::Fresh);
    }
    REQUIRE(guard.check(InstanceId("s1"), 1, 1, Now + 2h) == ReplayCheckResult::Replayed);
    REQUIRE(guard.check(InstanceId("s0"), 1, 1, Now + 2h) == ReplayCheckResult::Fresh);
}

SCENARIO("no altered envelope is accepted", "[envelope][fuzz]")
{
    std::mt19937 random(FuzzSeed);
    const auto keys = keysWith(1);
    std::size_t accepted = 0;
    for (const auto &message : sampleMessages()) {
        const auto channels = channelsOf(message);
        auto sender = codecFor("a1", keys, 5, channels);
        auto receiver = codecFor("b1", keys, 5, opposite(channels));
        const auto original = sender.seal(InstanceId("b1"), message, 3);
        REQUIRE_FALSE(original.empty());
        const auto tryBytes = [&](const std::string &bytes) {
            accepted += receiver.open(bytes, Now).index() == 0 ? 1U : 0U;
        };
        // Flips every bit of the first and last bytes, and random bits elsewhere.
        for (std::size_t i = 0; i < 4'000; ++i) {
            auto bytes = original;
            const auto position = i < 800 ? (i / 8) % bytes.size() : i < 1'200 ? bytes.size() - 1 - ((i - 800) / 8) % bytes.size() : random() % bytes.size();
            bytes[position] = static_cast<char>(bytes[position] ^ static_cast<char>(1U << (i % 8)));
            tryBytes(bytes);
        }
        for (std::size_t size = 0; size < std::min<std::size_t>(original.size(), 1'500); ++size) {
            tryBytes(original.substr(0, size));
            tryBytes(original.substr(original.size() - size));
        }
        for (auto i = 0; i < 200; ++i) {
            tryBytes(original + std::string(1 + random() % 300, static_cast<char>(random())));
            std::string randomBytes(random() % 1'300, '\0');
            std::generate(randomBytes.begin(), randomBytes.end(), [&random] {
                return static_cast<char>(random());
            });
            tryBytes(randomBytes);
            // Random bytes after a valid prefix pass the first checks.
            tryBytes(original.substr(0, 4 + random() % 40) + randomBytes);
        }
        REQUIRE(accepted == 0);
        REQUIRE(dropOf(receiver.open(original, Now)) == "accepted");
        tryBytes(original);
        REQUIRE(accepted == 0);
    }
}

SCENARIO("decoders of authenticated bodies handle arbitrary bytes", "[envelope][fuzz]")
{
    // A faulty peer has a valid key, so decoders must not rely on the MAC: no crash, and no allocation larger than the input.
    std::mt19937 random(FuzzSeed);
    for (const auto &message : sampleMessages()) {
        const auto original = encodePeerMessage(message);
        CAPTURE(peerMessageName(message));
        for (std::size_t size = 0; size < std::min<std::size_t>(original.size(), 2'000); ++size) {
            REQUIRE_FALSE(decodePeerMessage(original.substr(0, size)));
        }
        REQUIRE_FALSE(decodePeerMessage(original + '\0'));
        for (auto i = 0; i < 5'000; ++i) {
            auto bytes = original;
            for (auto flips = 1 + random() % 4; flips > 0; --flips) {
                bytes[random() % std::min<std::size_t>(bytes.size(), 400)] = static_cast<char>(random());
            }
            // A decoded message must be within its limits: encoding it again yields the same size.
            if (const auto decoded = decodePeerMessage(bytes)) {
                REQUIRE(encodePeerMessage(*decoded).size() == bytes.size());
            }
        }
    }
    for (auto i = 0; i < 200'000; ++i) {
        std::string randomBytes(random() % 200, '\0');
        std::generate(randomBytes.begin(), randomBytes.end(), [&random] {
            return static_cast<char>(random());
        });
        if (randomBytes.size() >= 2) {
            randomBytes[0] = static_cast<char>(random() % 2);
            randomBytes[1] = static_cast<char>(random() % 17);
        }
        if (const auto decoded = decodePeerMessage(randomBytes)) {
            REQUIRE(encodePeerMessage(*decoded).size() == randomBytes.size());
        }
    }
}

SCENARIO("lengths larger than the input are rejected before memory is allocated", "[envelope][fuzz]")
{
    // Valid messages whose length or count is overwritten with a large one.
    const auto bytesOf = [](const PeerMessage &message) {
        return encodePeerMessage(message);
    };
    auto reply = bytesOf(RuleSetReply{1, "x"});
    reply.resize(reply.size() - 1);
    for (auto i = reply.size() - 4; i < reply.size(); ++i) {
        reply[i] = '\x7f';
    }
    REQUIRE_FALSE(decodePeerMessage(reply));
    auto targets = bytesOf(TargetListMessage{});
    targets[targets.size() - 1] = '\x0f';
    targets[targets.size() - 2] = '\x0f';
    REQUIRE_FALSE(decodePeerMessage(targets));
}

SCENARIO("frames are reassembled from any chunks of a stream", "[envelope][fuzz]")
{
    std::mt19937 random(FuzzSeed);
    std::vector<std::string> frames;
    std::string stream;
    for (auto i = 0; i < 50; ++i) {
        frames.emplace_back(1 + random() % 3'000, static_cast<char>(i));
        stream += withFrameLength(frames.back());
    }
    FrameAssembler assembler;
    std::vector<std::string> cut;
    for (std::size_t at = 0; at < stream.size();) {
        const auto size = std::min<std::size_t>(1 + random() % 2'000, stream.size() - at);
        assembler.append(stream.data() + at, size);
        at += size;
        std::string frame;
        while (assembler.next(frame) == FrameAssembler::State::Complete) {
            cut.push_back(frame);
        }
    }
    REQUIRE(cut == frames);

    const auto length = GENERATE(std::string("\0\0\0\0", 4), std::string("\0\x10\0\x01", 4), std::string("\xff\xff\xff\xff", 4));
    FrameAssembler invalid;
    invalid.append(length.data(), length.size());
    std::string frame;
    REQUIRE(invalid.next(frame) == FrameAssembler::State::Invalid);
}
