package leaf

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// defaultDeadline is the deadline of a request that has none.
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
	// snapshot is the one that the answer is computed from; heldSnapshots are
	// those that the leaf held at the receipt.
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

// receive decides how to handle the attempt and logs it.
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

// decide checks the attempt's service, shard and snapshot before it requests a
// slot. The leaf's lock is held.
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

// chooseSnapshot sets the snapshot to answer from. It returns false if the
// requested one isn't held or doesn't have the shard. The leaf's lock is held.
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

// disconnected reports whether the client has closed the attempt's connection.
func (a *attempt) disconnected() bool {
	return a.conn != nil && a.conn.closedByPeer()
}

// waitForSlot waits in the queue for a slot. It returns the duration of the work,
// or false if it has rejected the attempt.
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

// interruption returns expired if the deadline has passed, canceled if the client
// has disconnected, or else an empty outcome.
func (a *attempt) interruption(now time.Time, expired, canceled Outcome) Outcome {
	if now.After(a.deadline) {
		return expired
	}
	if a.disconnected() {
		return canceled
	}
	return ""
}

// runWork simulates work of duration d, up to the deadline or until the client
// disconnects. It returns the outcome of the attempt.
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

// finish releases the slot and logs the outcome.
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

// setOutcome logs a new outcome of the attempt.
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

// waitUntilThawed blocks while the leaf is frozen.
func (inc *incarnation) waitUntilThawed() {
	inc.leaf.mu.Lock()
	frozen := inc.frozen
	inc.leaf.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}
