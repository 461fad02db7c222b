package gateway

import (
	"sync"
	"time"

	"ryecourse.example/ryecourse/internal/core/routetable"
	"ryecourse.example/ryecourse/internal/eventlog"
)

const (
	// malformedLoadLogPeriod is the time between two lines about malformed load reports, of
	// which an upstream may send one with each response.
	malformedLoadLogPeriod = 10 * time.Second
	// maxLoggedReport bounds what is logged of a report, in bytes.
	maxLoggedReport = 64
)

// malformedLoads counts and logs the load reports that can't be read. Their requests go on
// as if there were none.
type malformedLoads struct {
	log     *eventlog.Log
	metrics *Metrics

	mu       sync.Mutex
	loggedAt time.Duration
	unlogged int // since the last line
}

// add records a report. now is the time since boot.
func (m *malformedLoads) add(now time.Duration, u routetable.Upstream, report string) {
	m.metrics.malformedLoads.Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loggedAt > 0 && now-m.loggedAt < malformedLoadLogPeriod {
		m.unlogged++
		return
	}
	m.log.Warning("malformed_load").Str("upstream", u.ID).Str("service", u.Service).
		Str("report", report[:min(len(report), maxLoggedReport)]).Int("unlogged", m.unlogged).Send()
	m.loggedAt, m.unlogged = now, 0
}
