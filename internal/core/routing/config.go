package routing

import "time"

// Config holds the policy of a Router. The zero value of a field stands for
// its default.
type Config struct {
	// HoldDown is the time for which a VM that left the list still counts in
	// the sharing. A new VM doesn't use its shares for the first one and a half
	// hold-downs. HoldDown must be at least twice the lag between any two VMs'
	// views, and at least that lag plus the longest deadline.
	HoldDown time.Duration
	// MaxViewAge is the time since the last confirmation of the control view
	// after which Pick refuses every request.
	MaxViewAge time.Duration
	// AnswersPerStage is the number of good answers that complete a ramp stage.
	AnswersPerStage int
	// MinStageDuration is the minimum duration of a ramp stage.
	MinStageDuration time.Duration
	// IdleLimit is the time without an answer after which a warm upstream
	// counts as cold.
	IdleLimit time.Duration
	// MaxNoticeDelay is the maximum network delay assumed for a peer's notice.
	MaxNoticeDelay time.Duration
	// Notify, if set, is called whenever an action is queued. It must not block
	// and must not call the Router.
	Notify func()
}

const (
	defaultHoldDown         = 4 * time.Second
	defaultMaxViewAge       = 2 * time.Second
	defaultAnswersPerStage  = 4
	defaultMinStageDuration = 100 * time.Millisecond
	defaultIdleLimit        = time.Minute
	defaultMaxNoticeDelay   = 250 * time.Millisecond
)

func (c Config) withDefaults() Config {
	setDuration(&c.HoldDown, defaultHoldDown)
	setDuration(&c.MaxViewAge, defaultMaxViewAge)
	setDuration(&c.MinStageDuration, defaultMinStageDuration)
	setDuration(&c.IdleLimit, defaultIdleLimit)
	setDuration(&c.MaxNoticeDelay, defaultMaxNoticeDelay)
	if c.AnswersPerStage <= 0 {
		c.AnswersPerStage = defaultAnswersPerStage
	}
	return c
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
