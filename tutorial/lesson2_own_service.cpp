// Lesson 2: a custom service on the micro-kernel, which another service finds by its name.
//
// A service publishes a mailbox in its constructor, and looks up the mailboxes of other services in
// start(). No service has a pointer to another one, so only the service itself can access its
// state.
#include "kernel/Kernel.h"
#include "kernel/ManualExecutor.h"

#include <cstdlib>
#include <iostream>

using namespace Coltsfootwell;

namespace {

/// Message to the counter: adds a number to the sum.
struct Add
{
    int number = 0;
    /// Receives the new sum.
    Reply<int> reply;
};

/// Owns a sum, which changes only when the counter handles a message.
class Counter final : public Service
{
public:
    explicit Counter(Kernel &kernel)
        : m_mailbox(kernel.executor(), [this](Add message) { handle(std::move(message)); })
    {
        kernel.directory().publish(name(), m_mailbox.address());
    }

    std::string_view name() const override { return "counter"; }
    std::error_code start() override { return {}; }
    void stop(Task done) override { done(); }

private:
    void handle(Add message)
    {
        m_sum += message.number;
        message.reply(m_sum);
    }

    int m_sum = 0;
    Mailbox<Add> m_mailbox;
};

/// Sends a number to the counter once per second.
class Sender final : public Service
{
public:
    explicit Sender(Kernel &kernel) : m_kernel(kernel) { }

    std::string_view name() const override { return "sender"; }

    std::error_code start() override
    {
        std::error_code ec;
        m_counter = m_kernel.directory().find<Add>("counter", ec);
        if (!ec) {
            sendNumber();
        }
        return ec;
    }

    void stop(Task done) override
    {
        m_kernel.executor().cancel(m_timer);
        done();
    }

    int lastSum() const { return m_lastSum; }

private:
    void sendNumber()
    {
        m_counter.send({2, Reply<int>(m_kernel.executor(), [this](std::optional<int> sum) {
                            // The reply has no value if the counter no longer exists.
                            m_lastSum = sum.value_or(-1);
                        })});
        m_timer
            = m_kernel.executor().scheduleAfter(std::chrono::seconds(1), [this] { sendNumber(); });
    }

    Kernel &m_kernel;
    Address<Add> m_counter;
    TimerId m_timer = 0;
    int m_lastSum = 0;
};

/// Prints the result of a check, and ends the lesson with exit code 1 if the check has failed.
void expect(bool condition, std::string_view description)
{
    std::cout << (condition ? "ok: " : "FAILED: ") << description << '\n';
    if (!condition) {
        std::exit(1);
    }
}

} // namespace

int main()
{
    // In a daemon, an AsioExecutor runs the services. The lesson advances the clock itself instead.
    ManualExecutor executor;
    SeededRandom random(1);
    Kernel kernel(executor, random);
    kernel.add(std::make_unique<Counter>(kernel));
    auto ownedSender = std::make_unique<Sender>(kernel);
    // Only for the checks of the lesson; another service would send a message instead.
    const Sender &sender = *ownedSender;
    kernel.add(std::move(ownedSender));

    expect(!kernel.start(), "both services start");
    executor.runReady();
    expect(sender.lastSum() == 2, "the sender sends the first number when it starts");
    executor.advance(std::chrono::seconds(3));
    expect(sender.lastSum() == 8, "the sender sends three more numbers in three seconds");

    std::error_code ec;
    kernel.directory().find<int>("counter", ec);
    expect(ec == KernelError::MessageTypeMismatch, "a lookup with another message type fails");
    kernel.directory().find<Add>("adder", ec);
    expect(ec == KernelError::NameUnknown, "a lookup of an unknown name fails");

    bool stopped = false;
    kernel.stop([&] { stopped = true; });
    executor.advance(std::chrono::seconds(3));
    expect(stopped, "the kernel stops the services in reverse order");
    expect(sender.lastSum() == 8, "a stopped service sends no further messages");
    return 0;
}
