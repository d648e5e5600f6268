#include "services/CountedStore.h"

#include "services/ServiceError.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"

#include <utility>

namespace Coltsfootwell {

namespace {

/// An answer that refuses the call still shows that the store is available.
std::string_view resultName(std::error_code ec)
{
    return ec == ServiceError::StoreUnavailable ? "-failed" : "-answered";
}

class CountedStore final : public StoreClient
{
public:
    CountedStore(Kernel &kernel, std::shared_ptr<StoreClient> store)
        : m_kernel(kernel), m_store(std::move(store))
    {
    }

    void readNewest(std::string_view topic, std::string_view after, std::size_t maxBytes,
                    std::function<void(NewestRecords)> done) override
    {
        m_store->readNewest(topic, after, maxBytes, counted("newest", std::move(done)));
    }

    void read(std::string_view topic, std::uint64_t offset,
              std::chrono::milliseconds longPollTimeout,
              std::function<void(RecordsRead)> done) override
    {
        m_store->read(topic, offset, longPollTimeout, counted("read", std::move(done)));
    }

    void append(std::string_view topic, const StoreRecord &record,
                std::optional<std::uint64_t> expectedEnd,
                std::function<void(RecordAppended)> done) override
    {
        m_store->append(topic, record, expectedEnd, counted("append", std::move(done)));
    }

    bool isReceiving() const override { return m_store->isReceiving(); }
    void cancelAll() override { m_store->cancelAll(); }

private:
    /// \param kind name of the call; a string literal.
    template <typename Result>
    std::function<void(Result)> counted(std::string_view kind, std::function<void(Result)> done)
    {
        return [&kernel = m_kernel, kind, done = std::move(done)](Result result) {
            std::error_code ignored;
            kernel.directory()
                .find<TelemetryMessage>(ServiceName::Telemetry, ignored)
                .send(IncrementCounter {"store_calls_total",
                                        std::string(kind).append(resultName(result.ec))});
            done(std::move(result));
        };
    }

    Kernel &m_kernel;
    std::shared_ptr<StoreClient> m_store;
};

} // namespace

std::shared_ptr<StoreClient> makeCountedStore(Kernel &kernel, std::shared_ptr<StoreClient> store)
{
    return std::make_shared<CountedStore>(kernel, std::move(store));
}

} // namespace Coltsfootwell
