package leaf

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// defaultDeadline bounds a request that carries no deadline.
const defaultDeadline = time.Minute

// attempt is one received request. Its handler's goroutine owns it.
type attempt struct {
	inc               *incarnation
	ctx               *fasthttp.RequestCtx
	conn              *conn
	id                string
	requestID         string
	service           string
	shard             int
	requestedSnapshot string
	digest            uint64
	deadline          time.Time
	secretSeen        bool
	// snapshot is what the attempt is answered from; held is what the leaf had.
	snapshot      Snapshot
	heldSnapshots []Snapshot
	logIndex      int
}

func (inc *incarnation) parseAttempt(ctx *fasthttp.RequestCtx, now time.Time) *attempt {
	h := &ctx.Request.Header
	c, _ := ctx.Conn().(*conn)
	a := &attempt{
		inc:               inc,
		ctx:               ctx,
		conn:              c,
		id:                string(h.Peek("X-Attempt-Id")),
		requestID:         string(h.Peek("X-Request-Id")),
		service:           string(h.Peek("X-Service")),
		shard:             -1,
		requestedSnapshot: string(h.Peek("X-Snapshot")),
		digest:            QueryDigest(ExtractQuery(ctx.PostBody())),
		deadline:          now.Add(defaultDeadline),
		secretSeen:        carriesSecret(ctx, inc.leaf.cfg.Secrets),
		logIndex:          -1,
	}
	if n, err := strconv.Atoi(string(h.Peek("X-Shard"))); err == nil {
		a.shard = n
	}
	if ms, err := strconv.Atoi(string(h.Peek("X-Deadline-Ms"))); err == nil {
		a.deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	return a
}

// receive logs the attempt and decides on it.
func (a *attempt) receive(now time.Time) decision {
	l := a.inc.leaf
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.Received++
	l.counters.LastReceivedMS = now.UnixMilli()
	if a.secretSeen {
		l.counters.SecretsSeen++
	}
	d := a.decide(now)
	a.logIndex = l.attempts.add(AttemptRecord{
		Attempt:     a.id,
		Request:     a.requestID,
		QueryDigest: a.digest,
		Service:     a.service,
		Shard:       a.shard,
		Snapshot:    a.snapshot.ID,
		ReceivedUS:  now.UnixMicro(),
		Started:     d.outcome == OutcomeRunning,
		Outcome:     d.outcome,
		SecretSeen:  a.secretSeen,
	})
	return d
}

// decide checks where the attempt belongs before it asks for a slot. The
// leaf's lock is held.
func (a *attempt) decide(now time.Time) decision {
	l := a.inc.leaf
	if a.service != l.cfg.Service || a.shard != l.cfg.Shard {
		l.counters.Misrouted++
		return decision{outcome: OutcomeMisrouted}
	}
	if !a.chooseSnapshot() {
		l.counters.SnapshotMissing++
		return decision{outcome: OutcomeSnapshotMissing}
	}
	return a.inc.admit(now)
}

// chooseSnapshot returns false when the wanted snapshot isn't held, or has no
// such shard. The leaf's lock is held.
func (a *attempt) chooseSnapshot() bool {
	l := a.inc.leaf
	a.heldSnapshots = l.snapshots
	if len(l.snapshots) == 0 {
		return a.requestedSnapshot == ""
	}
	for _, s := range l.snapshots {
		if (a.requestedSnapshot == "" || a.requestedSnapshot == s.ID) && a.shard < s.Shards {
			a.snapshot = s
			return true
		}
	}
	return false
}

// disconnected tells whether nobody waits for the attempt any more.
func (a *attempt) disconnected() bool {
	return a.conn != nil && a.conn.closedByPeer()
}

// waitForSlot waits for a slot in the queue. It returns the time of the work and
// whether there is any.
func (a *attempt) waitForSlot(w *waiter) (time.Duration, bool) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-w.granted:
			a.setOutcome(OutcomeRunning)
			return w.work, true
		case now := <-tick.C:
			outcome := a.interruption(now, OutcomeExpired, OutcomeCanceledQueued)
			if outcome == "" {
				continue
			}
			if !a.leaveQueue(w, outcome) {
				<-w.granted
				a.setOutcome(OutcomeRunning)
				return w.work, true
			}
			a.reject(outcome)
			return 0, false
		}
	}
}

func (a *attempt) leaveQueue(w *waiter, outcome Outcome) bool {
	l := a.inc.leaf
	l.mu.Lock()
	defer l.mu.Unlock()
	if !a.inc.leaveQueue(w) {
		return false
	}
	if outcome == OutcomeExpired {
		l.counters.Expired++
	} else {
		l.counters.CanceledQueued++
	}
	l.attempts.setOutcome(a.logIndex, false, outcome)
	return true
}

// interruption returns the given outcome for a passed deadline or a closed
// connection, or nothing.
func (a *attempt) interruption(now time.Time, expired, canceled Outcome) Outcome {
	if now.After(a.deadline) {
		return expired
	}
	if a.disconnected() {
		return canceled
	}
	return ""
}

// runWork takes the time of the request. It returns how the request ended.
func (a *attempt) runWork(d time.Duration) Outcome {
	end := time.Now().Add(d)
	for left := d; left > 0; left = time.Until(end) {
		time.Sleep(min(left, checkInterval))
		if left <= checkInterval {
			continue
		}
		outcome := a.interruption(time.Now(), OutcomeTimedOut, OutcomeCanceled)
		if outcome != "" {
			return outcome
		}
	}
	a.inc.waitUntilThawed()
	if a.inc.isCrashed() {
		return OutcomeCrashed
	}
	if outcome := a.interruption(time.Now(), OutcomeTimedOut, OutcomeCanceled); outcome != "" {
		return outcome
	}
	return OutcomeAnswered
}

// finish frees the slot and logs the end.
func (a *attempt) finish(o Outcome) {
	l := a.inc.leaf
	l.mu.Lock()
	defer l.mu.Unlock()
	switch o {
	case OutcomeAnswered:
		l.counters.Answered++
	case OutcomeTimedOut:
		l.counters.TimedOut++
	case OutcomeCanceled:
		l.counters.Canceled++
	}
	l.attempts.setOutcome(a.logIndex, true, o)
	a.inc.finishRequest(time.Now())
}

// setOutcome logs a state of the attempt.
func (a *attempt) setOutcome(o Outcome) {
	l := a.inc.leaf
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts.setOutcome(a.logIndex, o == OutcomeRunning, o)
}

func (inc *incarnation) isCrashed() bool {
	inc.leaf.mu.Lock()
	defer inc.leaf.mu.Unlock()
	return inc.crashed
}

// waitUntilThawed returns when the leaf isn't frozen.
func (inc *incarnation) waitUntilThawed() {
	inc.leaf.mu.Lock()
	thawed := inc.thawed
	inc.leaf.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}
