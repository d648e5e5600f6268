#include "programs/OperatorSession.h"

#include "kernel/AsioExecutor.h"
#include "kernel/Kernel.h"
#include "platform/PlatformInterface.h"
#include "services/DaemonRecords.h"
#include "services/HttpExchange.h"
#include "services/ServiceError.h"
#include "wire/ConfigurationJson.h"
#include "wire/ControlFormat.h"
#include "wire/EndpointText.h"
#include "wire/OwnDialect.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace Coltsfootwell {

namespace {

constexpr std::chrono::milliseconds StatusTimeout {1000};
constexpr unsigned StatusOk = 200;

/// \return true if an answer of the store is known to be of another epoch than a state.
bool isOtherEpoch(std::optional<StoreEpoch> named, const PublishedState &state)
{
    return named && state.epoch && named != state.epoch;
}

} // namespace

struct OperatorSession::Runtime
{
    explicit Runtime(const Endpoint &endpoint) : store(makePlatformStore(kernel, context, endpoint))
    {
    }

    /// Runs the event loop until an operation has delivered its result.
    template <typename Value>
    Value wait(const std::function<void(std::function<void(Value)>)> &start)
    {
        auto result = std::make_shared<std::optional<Value>>();
        start([result](Value value) { *result = std::move(value); });
        while (!*result) {
            context.run_one();
        }
        return std::move(**result);
    }

    boost::asio::io_context context {1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard
        = boost::asio::make_work_guard(context);
    AsioExecutor executor {context};
    SeededRandom random {1};
    Kernel kernel {executor, random};
    std::shared_ptr<StoreClient> store;
};

OperatorSession::OperatorSession(const Endpoint &store)
    : m_runtime(std::make_unique<Runtime>(store))
{
}

OperatorSession::~OperatorSession() = default;

PublishedState OperatorSession::read(std::error_code &ec)
{
    const auto newest
        = m_runtime->wait<NewestRecords>([this](std::function<void(NewestRecords)> done) {
              m_runtime->store->readNewest(OwnControlTopic, "", StoreClient::MaxAnswerBytes,
                                           std::move(done));
          });
    ec = newest.ec;
    PublishedState state;
    state.end = newest.end;
    state.epoch = newest.epoch;
    for (const StoreRecord &record : newest.records) {
        ControlRecord decoded = ownControlFormat().decode(record.key, record.value);
        if (auto *published = std::get_if<ConfigurationPublished>(&decoded)) {
            state.configuration = std::move(published->configuration);
        }
    }
    return state;
}

PublishOutcome OperatorSession::publish(const Configuration &configuration,
                                        const PublishedState &state)
{
    const StoreRecord record {std::string(OwnConfigurationKey), encodeConfiguration(configuration),
                              0};
    const auto appended
        = m_runtime->wait<RecordAppended>([&](std::function<void(RecordAppended)> done) {
              m_runtime->store->append(OwnControlTopic, record, state.end, std::move(done));
          });
    if (isOtherEpoch(appended.epoch, state)) {
        return PublishOutcome::StoreReturned;
    }
    if (!appended.ec) {
        return PublishOutcome::Published;
    }
    // The append may have succeeded although its answer was lost.
    std::error_code readError;
    const PublishedState current = read(readError);
    if (!readError && isOtherEpoch(current.epoch, state)) {
        return PublishOutcome::StoreReturned;
    }
    if (!readError && current.configuration
        && encodeConfiguration(*current.configuration) == *record.value) {
        return PublishOutcome::Published;
    }
    return appended.ec == ServiceError::Conflict ? PublishOutcome::Conflict
                                                 : PublishOutcome::Unknown;
}

std::vector<Endpoint> OperatorSession::readRegisteredDaemons(std::error_code &ec)
{
    const auto newest
        = m_runtime->wait<NewestRecords>([this](std::function<void(NewestRecords)> done) {
              m_runtime->store->readNewest(DaemonRecordsTopic, "", StoreClient::MaxAnswerBytes,
                                           std::move(done));
          });
    ec = newest.ec;
    std::vector<Endpoint> endpoints;
    for (const StoreRecord &record : newest.records) {
        if (const auto addresses = decodeAddresses(record.value.value_or(""))) {
            endpoints.push_back(addresses->callers);
        }
    }
    return endpoints;
}

std::vector<DaemonAnswer> OperatorSession::queryStatus(std::span<const Endpoint> endpoints)
{
    Runtime &runtime = *m_runtime;
    auto answers = std::make_shared<std::vector<DaemonAnswer>>();
    auto pending = std::make_shared<std::size_t>(endpoints.size());
    for (const Endpoint &endpoint : endpoints) {
        const std::size_t index = answers->size();
        answers->push_back({endpoint, std::nullopt});
        ExchangeRequest request;
        request.method = "GET";
        request.target = "/coltsfootwell/status";
        request.headers = {{"Host", formatEndpoint(endpoint)}};
        request.deadline = runtime.executor.now() + StatusTimeout;
        std::make_shared<HttpExchange>(
            runtime.context, runtime.executor,
            std::make_shared<HttpPool>(runtime.context, endpoint), ownDialect(), std::move(request),
            [] { return true; },
            [answers, pending, index](const ExchangeOutcome &outcome) {
                if (outcome.status == StatusOk) {
                    (*answers)[index].status = decodeStatus(outcome.body);
                }
                --*pending;
            })
            ->start();
    }
    while (*pending > 0) {
        runtime.context.run_one();
    }
    return std::move(*answers);
}

void OperatorSession::sleepFor(Duration delay)
{
    m_runtime->wait<bool>([this, delay](std::function<void(bool)> done) {
        m_runtime->executor.scheduleAfter(delay, [done = std::move(done)] { done(true); });
    });
}

} // namespace Coltsfootwell
