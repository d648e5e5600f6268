// Guards against two daemons with different content for one version, and against a version that
// goes back, whatever parts of the log and which snapshots of peers they have seen.
#include "support/ConfigurationSamples.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace Coltsfootwell;

namespace {

using Contents = std::map<ConfigurationVersion, unsigned>;

unsigned slotsOf(const Configuration &configuration)
{
    return configuration.services.at("bookings").slots;
}

/// Publishes with bases at random, checkpoints of true states that come late, and resets. Each
/// publish has its own number of slots.
std::vector<ConfigurationEntry> makeLog(SeededRandom &random, std::size_t length)
{
    std::vector<ConfigurationEntry> log;
    std::vector<ConfigurationSnapshot> states;
    ConfigurationSnapshot reset;
    ConfigurationFold truth({}, random, TimePoint());
    for (LogOffset offset = 0; offset < length; ++offset) {
        ConfigurationRecord record;
        const std::uint64_t kind = random.below(12);
        const auto slots = static_cast<unsigned>(offset + 1);
        if (kind == 0) {
            record = MalformedRecord {"damaged"};
        } else if (kind <= 2 && !states.empty()) {
            const std::size_t late = std::min<std::size_t>(random.below(6), states.size() - 1);
            record = CheckpointRecord {states[states.size() - 1 - late], false, {}, {}};
        } else if (kind == 3) {
            // Half of the resets race with the one before: same version, other content.
            if (random.below(2) == 0 || reset.version == 0) {
                reset = {truth.version() + 1000 - random.below(3),
                         offset - std::min(offset, random.below(4)), nullptr};
            }
            reset.configuration = sampleConfiguration(reset.version, slots);
            record = CheckpointRecord {reset, true, "reset", {}};
        } else {
            const ConfigurationVersion base = truth.version()
                - std::min<ConfigurationVersion>(truth.version(), random.below(3) / 2);
            record = samplePublish(base, "operator", slots);
        }
        log.push_back({offset, record});
        truth.read({0, offset + 1, std::span(log).last(1)}, TimePoint());
        if (truth.state().configuration) {
            states.push_back(truth.state());
        }
    }
    return log;
}

/// Notes what came into force and checks that the version only rises.
void note(std::span<const FoldOutput> outputs, ConfigurationVersion &last, Contents &contents)
{
    for (const FoldOutput &output : outputs) {
        if (const auto *inForce = std::get_if<VersionInForce>(&output)) {
            const ConfigurationVersion version = inForce->configuration->version;
            RC_ASSERT(version > last);
            last = version;
            const auto [it, added] = contents.emplace(version, slotsOf(*inForce->configuration));
            RC_ASSERT(it->second == slotsOf(*inForce->configuration));
        }
    }
}

} // namespace

TEST_CASE("folds with different starts and snapshots agree on the content of each version")
{
    CHECK(rc::check("folds agree", [](std::uint64_t seed) {
        SeededRandom random(seed);
        const std::vector<ConfigurationEntry> log = makeLog(random, 1 + random.below(60));
        std::vector<ConfigurationFold> folds(4, ConfigurationFold({}, random, TimePoint()));
        std::vector<ConfigurationVersion> last(folds.size(), 0);
        Contents contents;
        LogOffset first = 0;
        for (unsigned step = 0; step < 200; ++step) {
            const std::size_t chosen = random.below(folds.size());
            ConfigurationFold &fold = folds[chosen];
            // The first fold reads everything in time, so that it shows what the log says.
            if (chosen != 0 && random.below(4) == 0) {
                const ConfigurationFold &peer = folds[random.below(folds.size())];
                note(fold.learn(peer.state()), last[chosen], contents);
                continue;
            }
            if (random.below(3) == 0) {
                first = std::min<LogOffset>(first + random.below(4), folds[0].readOffset());
            }
            const LogOffset from = std::max(first, fold.readOffset());
            const LogOffset to = std::min<LogOffset>(log.size(), from + random.below(8));
            const auto entries = std::span(log).subspan(from, to - from);
            note(fold.read({first, log.size(), entries}, TimePoint()), last[chosen], contents);
        }
    }));
}
