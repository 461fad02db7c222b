package routing

import "time"

// Config holds the policy of a Router. The zero value of a field stands for
// its default.
type Config struct {
	// HoldDown is the time for which a VM that left the list is still counted. A
	// new VM uses no shares for one and a half hold-downs. It must be at least
	// twice the lag between any two VMs' views, and at least that lag plus the
	// longest deadline.
	HoldDown time.Duration
	// MaxViewAge is the age of the control view beyond which nothing is
	// dispatched.
	MaxViewAge time.Duration
	// AnswersPerStage is the number of good answers that end a stage of a ramp.
	AnswersPerStage int
	// MinStageDuration is the shortest time for one stage of a ramp.
	MinStageDuration time.Duration
	// IdleLimit is the time without an answer after which an upstream counts
	// as cold.
	IdleLimit time.Duration
	// MaxNoticeDelay is the longest time that a peer's notice may travel.
	MaxNoticeDelay time.Duration
	// Notify is called, if set, after actions were queued outside Tick. It must
	// not block and must not call the Router.
	Notify func()
}

const (
	defaultHoldDown      = 4 * time.Second
	defaultMaxViewAge    = 2 * time.Second
	defaultRampAnswers   = 4
	defaultRampStage     = 100 * time.Millisecond
	defaultSilenceLimit  = time.Minute
	defaultNoticeTransit = 250 * time.Millisecond
)

func (c Config) withDefaults() Config {
	setDuration(&c.HoldDown, defaultHoldDown)
	setDuration(&c.MaxViewAge, defaultMaxViewAge)
	setDuration(&c.MinStageDuration, defaultRampStage)
	setDuration(&c.IdleLimit, defaultSilenceLimit)
	setDuration(&c.MaxNoticeDelay, defaultNoticeTransit)
	if c.AnswersPerStage <= 0 {
		c.AnswersPerStage = defaultRampAnswers
	}
	return c
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
