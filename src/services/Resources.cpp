#include "services/Resources.h"

#include "decisions/HeldMemoryTable.h"
#include "decisions/ResourceLevel.h"
#include "services/ProcessUsage.h"
#include "services/ResourceMessages.h"
#include "services/ServiceError.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"

#include <chrono>
#include <utility>

namespace Coltsfootwell {

namespace {

/// Interval between measurements.
constexpr std::chrono::seconds MeasureInterval {1};

class Resources final : public Service
{
public:
    Resources(Kernel &kernel, std::size_t maxMemoryBytes)
        : m_kernel(kernel), m_maxMemoryBytes(maxMemoryBytes),
          m_mailbox(kernel.executor(), [this](HeldMemory message) { handle(message); })
    {
        kernel.directory().publish(name(), m_mailbox.address());
    }

    std::string_view name() const override { return ServiceName::Resources; }

    std::error_code start() override
    {
        std::error_code ec;
        m_telemetry = m_kernel.directory().find<TelemetryMessage>(ServiceName::Telemetry, ec);
        if (ec) {
            return ServiceError::MissingService;
        }
        // Later, so that the parts have reported what they hold.
        scheduleMeasurement();
        return {};
    }

    void stop(Task done) override
    {
        m_kernel.executor().cancel(m_timer);
        done();
    }

private:
    /// The use of one resource, and what has been told of it.
    struct Resource
    {
        /// Value of the field "resource"; a string literal.
        std::string_view name;
        /// File from which the use is read; a string literal.
        std::string_view file;
        ResourceLevel level;
        std::optional<std::uint64_t> used = {};
        std::optional<std::uint64_t> limit = {};
        bool isUnreadableLogged = false;
    };

    void handle(const HeldMemory &message)
    {
        m_held.set(message.kind, message.bytes);
        m_telemetry.send(SetGauge {"held_bytes", std::string(message.kind), double(message.bytes)});
    }

    void scheduleMeasurement()
    {
        m_timer = m_kernel.executor().scheduleAfter(MeasureInterval, [this] { measure(); });
    }

    void measure()
    {
        scheduleMeasurement();
        m_memory.used = m_usage.residentBytes();
        m_memory.limit = m_maxMemoryBytes;
        m_descriptors.used = m_usage.openDescriptors();
        m_descriptors.limit = ProcessUsage::descriptorLimit();
        sendGauges();
        update(m_memory);
        update(m_descriptors);
    }

    void sendGauges() const
    {
        if (m_memory.used) {
            m_telemetry.send(SetGauge {"process_resident_bytes", "", double(*m_memory.used)});
        }
        m_telemetry.send(SetGauge {"process_memory_limit_bytes", "", double(*m_memory.limit)});
        if (m_descriptors.used) {
            m_telemetry.send(
                SetGauge {"process_open_descriptors", "", double(*m_descriptors.used)});
        }
        if (m_descriptors.limit) {
            m_telemetry.send(
                SetGauge {"process_descriptor_limit", "", double(*m_descriptors.limit)});
        }
    }

    void update(Resource &resource)
    {
        if (!resource.used) {
            if (!std::exchange(resource.isUnreadableLogged, true)) {
                m_telemetry.send(
                    LogEvent {"resources.unreadable", "", "file=" + std::string(resource.file)});
            }
            return;
        }
        const ResourceChange change
            = resource.level.update(*resource.used, resource.limit.value_or(0));
        if (change == ResourceChange::BecameHigh) {
            m_telemetry.send(LogEvent {"resources.high", "", logFields(resource)});
        } else if (change == ResourceChange::BecameNormal) {
            m_telemetry.send(LogEvent {"resources.normal", "", logFields(resource)});
        }
    }

    std::string logFields(const Resource &resource) const
    {
        return "resource=" + std::string(resource.name) + valueField("residentBytes", m_memory.used)
            + valueField("memoryLimitBytes", m_memory.limit)
            + valueField("descriptors", m_descriptors.used)
            + valueField("descriptorLimit", m_descriptors.limit) + " held=" + m_held.text();
    }

    static std::string valueField(std::string_view key, std::optional<std::uint64_t> value)
    {
        return " " + std::string(key) + "=" + (value ? std::to_string(*value) : "unknown");
    }

    Kernel &m_kernel;
    std::size_t m_maxMemoryBytes;
    ProcessUsage m_usage;
    HeldMemoryTable m_held;
    Resource m_memory {"memory", ProcessUsage::MemoryFile, {}};
    Resource m_descriptors {"descriptors", ProcessUsage::DescriptorDirectory, {}};
    TimerId m_timer = 0;
    Address<TelemetryMessage> m_telemetry;
    Mailbox<HeldMemory> m_mailbox;
};

} // namespace

std::unique_ptr<Service> makeResources(Kernel &kernel, std::size_t maxMemoryBytes)
{
    return std::make_unique<Resources>(kernel, maxMemoryBytes);
}

} // namespace Coltsfootwell
