/// The times of a graceful shutdown, from SIGTERM to the platform's kill. It owns the schedule only: the node
/// closes the connections and answers the requests. All times are monotonic, in seconds.
#pragma once

namespace brookrelay {

class GracefulShutdown {
  public:
    enum class Step {
        wait,                // look again after kCheckInterval
        fail_open_requests,  // the kill is near: answer all that is open with an error
        finish,
    };
    static constexpr double kCheckInterval = 0.05;

    /// `now` is the earliest time at which the signal may have come, since the kill counts from there.
    /// `longest_client_timeout` bounds how soon the kill may come. With a shared listener new clients go to
    /// the other processes, so connections close at once; else only once another node had time to start.
    void begin(double now, double longest_client_timeout, bool has_shared_listener);
    /// The configuration has changed meanwhile; a shorter timeout may bring the kill earlier.
    void on_configuration(double longest_client_timeout);
    bool has_begun() const { return closes_at_ > 0; }
    /// When the clients' connections are to be closed.
    double closes_at() const { return closes_at_; }
    /// Whether the front proxy has had the time to stop sending here.
    bool has_front_moved_away(double now) const;
    /// From when on no client may have sent anything, for the clients to count as gone by `now`.
    static double quiet_from(double now);
    Step next_step(double now, bool clients_are_gone, bool has_open_requests) const;

  private:
    double began_at_ = 0;
    double closes_at_ = 0;  // 0: the shutdown has not begun
    double last_answers_at_ = 0;
};

}  // namespace brookrelay
