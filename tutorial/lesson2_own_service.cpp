// Lesson 2: a service of our own on the kernel, found by its name.
//
// A service publishes a mailbox in its constructor and looks up others when it starts. Nobody holds
// a pointer to it, so nobody can touch its state.
#include "kernel/Kernel.h"
#include "kernel/ManualExecutor.h"

#include <cstdlib>
#include <iostream>

using namespace Coltsfootwell;

namespace {

/// The message that the counter understands: add a number, and answer with the sum.
struct Add
{
    int number = 0;
    Reply<int> reply;
};

/// Owns a sum. Only its mailbox changes it.
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

/// Sends one number each second.
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
            tick();
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
    void tick()
    {
        m_counter.send({2, Reply<int>(m_kernel.executor(), [this](std::optional<int> sum) {
                            // No value means that the counter has stopped.
                            m_lastSum = sum.value_or(-1);
                        })});
        m_timer = m_kernel.executor().scheduleAfter(std::chrono::seconds(1), [this] { tick(); });
    }

    Kernel &m_kernel;
    Address<Add> m_counter;
    TimerId m_timer = 0;
    int m_lastSum = 0;
};

void expect(bool holds, std::string_view what)
{
    std::cout << (holds ? "ok: " : "FAILED: ") << what << '\n';
    if (!holds) {
        std::exit(1);
    }
}

} // namespace

int main()
{
    // The same services would run on an AsioExecutor; here the lesson moves the clock.
    ManualExecutor executor;
    SeededRandom random(1);
    Kernel kernel(executor, random);
    kernel.add(std::make_unique<Counter>(kernel));
    auto owned = std::make_unique<Sender>(kernel);
    // Only for looking at the result; a service would ask by message.
    const Sender &sender = *owned;
    kernel.add(std::move(owned));

    expect(!kernel.start(), "both services start");
    executor.runReady();
    expect(sender.lastSum() == 2, "the first number was added at the start");
    executor.advance(std::chrono::seconds(3));
    expect(sender.lastSum() == 8, "three more came in three seconds");

    std::error_code ec;
    kernel.directory().find<int>("counter", ec);
    expect(ec == KernelError::MessageTypeMismatch, "an address has the type of its messages");
    kernel.directory().find<Add>("adder", ec);
    expect(ec == KernelError::NameUnknown, "an unknown name is an error");

    bool stopped = false;
    kernel.stop([&] { stopped = true; });
    executor.advance(std::chrono::seconds(3));
    expect(stopped, "the kernel stops the services in reverse order");
    expect(sender.lastSum() == 8, "a stopped service sends nothing more");
    return 0;
}
