package pace

import "time"

// Policy holds the settings of a Tracker.
type Policy struct {
	// StartLevel is the first level of an instance that has started or has announced that
	// it is cold. Other returns begin at level 0 and go on from StartLevel after a good
	// answer, unless the instance did harm before at such a level.
	StartLevel int
	// TrialPerSecond is the rate at level 0 of the requests of all VMs together, whatever
	// the demand; it doubles with each level. Without it, an instance with little demand
	// would wait for its first request for long.
	TrialPerSecond float64
	// MaxSpacing bounds the time for which a VM without requests saves up its part of the
	// trial rate, and so the burst of a fleet whose VMs all receive a request at once.
	MaxSpacing time.Duration
	// Dwell is the least time at a level. It is that of some answers and of a report, so
	// that in a small fleet the harm that one VM sees stops the others' next raise.
	Dwell time.Duration
	// FastStep is the number of levels of a raise until requests have been harmed, and
	// HarmStep that by which lost or rejected requests lower the pace. Other changes are
	// of one level.
	FastStep, HarmStep int
	// CeilingHold is how long the pace stays HarmStep below the level at which requests
	// were harmed. It doubles with each such harm, up to CeilingHold << MaxHoldDoublings.
	CeilingHold      time.Duration
	MaxHoldDoublings int
	// SlowRatio is the latency, in multiples of the typical latency and of the peers', from
	// which an answer is slow; an answer is good below GoodRatio. SlowFraction is the fraction of slow answers at a level from
	// which the pace isn't raised; pauses of a healthy instance stay below it.
	SlowRatio, GoodRatio, SlowFraction float64
	// LostRun is the number of requests lost in a row after which an instance counts as
	// one that has to return. SlowRun is that of slow answers and rejections, each
	// SlowSpacing after the one before: one pause of an instance counts once.
	LostRun, SlowRun int
	SlowSpacing      time.Duration
	// Retention is how long a stage is in all reports, and how long a finished return is
	// known. Older stages are in the reports for RepeatTime in each RepeatInterval, for
	// VMs that join.
	Retention, RepeatTime, RepeatInterval time.Duration
	// JoinTime is how long after its start a VM takes over the paces of single peers, and
	// IdleTimeout when a return without requests ends.
	JoinTime, IdleTimeout time.Duration
	// MaxReported bounds the number of paces in a report.
	MaxReported int
}

// DefaultPolicy suits a report interval of a quarter of a second.
func DefaultPolicy() Policy {
	return Policy{
		StartLevel:     5,
		TrialPerSecond: 0.2, MaxSpacing: 10 * time.Second,
		Dwell: 250 * time.Millisecond, FastStep: 2, HarmStep: 2,
		CeilingHold: 5 * time.Second, MaxHoldDoublings: 1,
		SlowRatio: 3, GoodRatio: 2, SlowFraction: 0.3,
		LostRun: 2, SlowRun: 4, SlowSpacing: 400 * time.Millisecond,
		Retention: 3 * time.Second, RepeatTime: 2 * time.Second, RepeatInterval: 8 * time.Second,
		JoinTime: 10 * time.Second, IdleTimeout: 30 * time.Second,
		MaxReported: 16,
	}
}
