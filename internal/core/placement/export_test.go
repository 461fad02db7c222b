package placement

import "time"

// UseFixedRemotePenalty makes the penalty of instances in other zones a fixed multiple of
// the typical latency.
func (p *Picker) UseFixedRemotePenalty() {
	p.remotePenalty = func(time.Duration) float64 { return maxRemotePenalty }
}
