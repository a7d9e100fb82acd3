#include "net/tap.hpp"

namespace gatetiller::net {

class TapLoop::Tapped final : public Stream, public StreamEvents {
public:
    Tapped(TapLoop& loop, std::uint64_t number) : loop_(loop), number_(number) {}
    ~Tapped() override {
        report_closed();
    }
    void attach(std::unique_ptr<Stream> below) {
        below_ = std::move(below);
        peer_ = below_->peer();
    }

    void events(StreamEvents& to) override {
        owner_ = &to;
        below_->events(*this);
    }
    SendId send(std::string bytes) override {
        loop_.report(number_, TapEvent::What::sent, peer_, bytes);
        return below_->send(std::move(bytes));
    }
    std::size_t unsent() const override {
        return below_->unsent();
    }
    Written written(SendId id) const override {
        return below_->written(id);
    }
    std::optional<std::size_t> unacknowledged() const override {
        return below_->unacknowledged();
    }
    // Never cancels: bytes are reported as sent when send() is called, and the sink has no event for a
    // cancellation.
    bool cancel_send(SendId) override {
        return false;
    }
    void finish() override {
        below_->finish();
    }
    bool replace(SendId, std::string) override {
        return false;
    }
    void discard_unsent() override {
        below_->discard_unsent();
    }
    void discard() override {
        below_->discard();
    }
    bool read_now() override {
        return below_->read_now();
    }
    void read(bool on) override {
        below_->read(on);
    }
    Micros resource_delay() const override {
        return below_->resource_delay();
    }
    void schedule_delivery() override {
        below_->schedule_delivery();
    }
    void set_input_budget(const InputBudget& budget) override {
        below_->set_input_budget(budget);
    }
    void discard_input() override {
        below_->discard_input();
        reported_size_ = 0;
    }
    const std::string& peer() const override {
        return peer_;
    }

    void on_connected() override {
        loop_.report(number_, TapEvent::What::connected, peer_);
        owner_->on_connected();
    }
    void on_data(Buffer& in) override {
        if (in.size() > reported_size_)
            loop_.report(number_, TapEvent::What::received, peer_, in.view().substr(reported_size_));
        const std::weak_ptr<char> alive = alive_;
        owner_->on_data(in);
        if (!alive.expired())
            reported_size_ = in.size();  // unconsumed bytes are passed again and must not be reported twice
    }
    void on_sending(std::size_t size) override {
        owner_->on_sending(size);
    }
    void on_sent() override {
        owner_->on_sent();
    }
    void on_closed(Closed how) override {
        report_closed();
        owner_->on_closed(how);
    }

private:
    void report_closed() {
        if (!std::exchange(closed_, true))
            loop_.report(number_, TapEvent::What::closed, peer_);
    }

    TapLoop& loop_;
    std::uint64_t number_;
    std::unique_ptr<Stream> below_;
    StreamEvents* owner_ = nullptr;
    std::string peer_;
    std::size_t reported_size_ = 0;
    bool closed_ = false;
    std::shared_ptr<char> alive_ = std::make_shared<char>();

    friend class TapLoop;
};

Result<std::unique_ptr<Listener>> TapLoop::listen(const Address& at,
                                                  std::function<void(std::unique_ptr<Stream>)> accepted) {
    return ForwardingLoop::listen(at, [this, accepted = std::move(accepted)](std::unique_ptr<Stream> stream) {
        auto tapped = std::make_unique<Tapped>(*this, ++last_);
        tapped->attach(std::move(stream));
        report(last_, TapEvent::What::accepted, tapped->peer());
        accepted(std::move(tapped));
    });
}

std::unique_ptr<Stream> TapLoop::connect(const Address& to, StreamEvents& events, Micros time_out) {
    auto tapped = std::make_unique<Tapped>(*this, ++last_);
    tapped->owner_ = &events;
    report(last_, TapEvent::What::connecting, to.text());
    tapped->attach(ForwardingLoop::connect(to, *tapped, time_out));
    return tapped;
}

}  // namespace gatetiller::net
