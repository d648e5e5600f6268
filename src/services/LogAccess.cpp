#include "services/LogAccess.h"

#include "services/LogMessages.h"
#include "services/ServiceNames.h"

namespace Coltsfootwell {

namespace {

/// A round trip between regions takes 60 ms; a log that is slower than this counts as down.
constexpr std::chrono::milliseconds LogTimeout {800};

class LogAccess final : public Service
{
public:
    LogAccess(Kernel &kernel, std::unique_ptr<LogClient> client)
        : m_client(std::move(client)), m_mailbox(kernel.executor(), [this](LogMessage message) {
              std::visit([this](auto &&body) { handle(std::move(body)); }, std::move(message));
          })
    {
        kernel.directory().publish(name(), m_mailbox.address());
    }

    std::string_view name() const override { return ServiceName::Log; }
    std::error_code start() override { return {}; }

    void stop(Task done) override
    {
        m_client.reset();
        done();
    }

private:
    void handle(AppendRecord append)
    {
        if (m_client) {
            m_client->append(append.stream, append.id, append.bytes, LogTimeout,
                             [reply = append.reply](const AppendResult &result) {
                                 reply(RecordAppended {!result.ec, result.offset});
                             });
        }
    }

    void handle(ReadRecords read)
    {
        if (m_client) {
            m_client->read(
                read.stream, read.from, read.max, std::chrono::milliseconds(0), LogTimeout,
                [reply = read.reply](ReadResult result) { reply(recordsOf(std::move(result))); });
        }
    }

    static RecordsRead recordsOf(ReadResult result)
    {
        RecordsRead read;
        read.reached = !result.ec;
        for (LogRecord &record : result.part.records) {
            read.records.push_back({record.offset, std::move(record.content)});
        }
        return read;
    }

    std::unique_ptr<LogClient> m_client;
    Mailbox<LogMessage> m_mailbox;
};

} // namespace

std::unique_ptr<Service> makeLogAccess(Kernel &kernel, std::unique_ptr<LogClient> client)
{
    return std::make_unique<LogAccess>(kernel, std::move(client));
}

} // namespace Coltsfootwell
