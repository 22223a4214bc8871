/// Tracks since when the close of a peer could be hidden from this host. A close follows all that the peer
/// has sent before it, and if this host's buffer for the connection is full, the peer's kernel keeps the rest
/// and the close. No I/O and no clock: times are arguments, in seconds on the monotonic clock.
#pragma once

namespace brookrelay {

/// The state of one connection. Its owner reports each change of reading; the first input, and all that is
/// received in pieces smaller than asked for, leaves nothing in the kernel.
class CloseVisibility {
  public:
    /// Input was received. `may_have_more`: the kernel may hold more of it.
    void on_received(double now, bool may_have_more) {
        if (!may_have_more) return (void)hidden_since(now, false);
        if (hidden_since_ == 0) hidden_since_ = now;
    }
    /// Reading is paused, so that from now on input stays in the kernel.
    void on_paused(double now) {
        is_paused_ = true;
        if (hidden_since_ == 0) hidden_since_ = now;
    }
    void on_resumed(double now) {
        if (!is_paused_) return;
        is_paused_ = false;
        resumed_at_ = now;
    }
    /// Whether a close is visible whatever the kernel holds, so that hidden_since() need not be asked.
    bool is_visible() const { return hidden_since_ == 0; }
    /// Returns the time since which a close could be hidden, or 0 if it would be seen.
    /// `has_unreceived_input`: the kernel of this host holds input.
    double hidden_since(double now, bool has_unreceived_input) {
        // The peer's kernel sends what it holds only once there is space here.
        const bool may_peer_hold_input = now - resumed_at_ < kPeerSendSeconds;
        if (hidden_since_ == 0 || has_unreceived_input || may_peer_hold_input) return hidden_since_;
        hidden_since_ = is_paused_ ? now : 0;  // while paused, input may arrive from now on
        return 0;
    }

  private:
    // Once there is space here again, the peer's kernel begins to send what it holds within this time.
    static constexpr double kPeerSendSeconds = 0.01;
    double hidden_since_ = 0;
    double resumed_at_ = -kPeerSendSeconds;
    bool is_paused_ = false;
};

}  // namespace brookrelay
