#include "net/tap.hpp"

namespace gatetiller::net {

class TapLoop::Tapped final : public Stream, public StreamEvents {
public:
    Tapped(TapLoop& loop, std::uint64_t number) : loop_(loop), number_(number) {}
    ~Tapped() override {
        tell_closed();
    }
    void take(std::unique_ptr<Stream> below) {
        below_ = std::move(below);
        peer_ = below_->peer();
    }

    void events(StreamEvents& to) override {
        owner_ = &to;
        below_->events(*this);
    }
    SendId send(std::string bytes) override {
        loop_.tell(number_, TapEvent::What::sent, peer_, bytes);
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
    // What was told as sent stays so: the sink hears of no retreat.
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
    const std::string& peer() const override {
        return peer_;
    }

    void on_connected() override {
        loop_.tell(number_, TapEvent::What::connected, peer_);
        owner_->on_connected();
    }
    void on_data(Buffer& in) override {
        if (in.size() > seen_)
            loop_.tell(number_, TapEvent::What::received, peer_, in.view().substr(seen_));
        const std::weak_ptr<char> alive = alive_;
        owner_->on_data(in);
        if (!alive.expired())
            seen_ = in.size();  // what its owner left is not new when it comes again
    }
    void on_sending(std::size_t most) override {
        owner_->on_sending(most);
    }
    void on_sent() override {
        owner_->on_sent();
    }
    void on_closed(Closed how) override {
        tell_closed();
        owner_->on_closed(how);
    }

private:
    void tell_closed() {
        if (!std::exchange(closed_, true))
            loop_.tell(number_, TapEvent::What::closed, peer_);
    }

    TapLoop& loop_;
    std::uint64_t number_;
    std::unique_ptr<Stream> below_;
    StreamEvents* owner_ = nullptr;
    std::string peer_;
    std::size_t seen_ = 0;
    bool closed_ = false;
    std::shared_ptr<char> alive_ = std::make_shared<char>();

    friend class TapLoop;
};

Result<std::unique_ptr<Listener>> TapLoop::listen(const Address& at,
                                                  std::function<void(std::unique_ptr<Stream>)> accepted) {
    return below_.listen(at, [this, accepted = std::move(accepted)](std::unique_ptr<Stream> stream) {
        auto tapped = std::make_unique<Tapped>(*this, ++last_);
        tapped->take(std::move(stream));
        tell(last_, TapEvent::What::accepted, tapped->peer());
        accepted(std::move(tapped));
    });
}

std::unique_ptr<Stream> TapLoop::connect(const Address& to, StreamEvents& events, Micros time_out) {
    auto tapped = std::make_unique<Tapped>(*this, ++last_);
    tapped->owner_ = &events;
    tell(last_, TapEvent::What::connecting, to.text());
    tapped->take(below_.connect(to, *tapped, time_out));
    return tapped;
}

}  // namespace gatetiller::net
