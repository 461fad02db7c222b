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
	inc      *incarnation
	ctx      *fasthttp.RequestCtx
	conn     *conn
	id       string
	request  string
	service  string
	shard    int
	wanted   string
	digest   uint64
	deadline time.Time
	secret   bool
	// snapshot is what the attempt is answered from; held is what the leaf had.
	snapshot Snapshot
	held     []Snapshot
	logged   int
}

func (inc *incarnation) parse(ctx *fasthttp.RequestCtx, now time.Time) *attempt {
	h := &ctx.Request.Header
	c, _ := ctx.Conn().(*conn)
	a := &attempt{
		inc:      inc,
		ctx:      ctx,
		conn:     c,
		id:       string(h.Peek("X-Attempt-Id")),
		request:  string(h.Peek("X-Request-Id")),
		service:  string(h.Peek("X-Service")),
		shard:    -1,
		wanted:   string(h.Peek("X-Snapshot")),
		digest:   QueryDigest(ExtractQuery(ctx.PostBody())),
		deadline: now.Add(defaultDeadline),
		secret:   carriesSecret(ctx, inc.leaf.cfg.Secrets),
		logged:   -1,
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
	if a.secret {
		l.counters.SecretsSeen++
	}
	d := a.decide(now)
	a.logged = l.truth.add(AttemptRecord{
		Attempt:     a.id,
		Request:     a.request,
		QueryDigest: a.digest,
		Service:     a.service,
		Shard:       a.shard,
		Snapshot:    a.snapshot.ID,
		ReceivedUS:  now.UnixMicro(),
		Started:     d.outcome == OutcomeRunning,
		Outcome:     d.outcome,
		SecretSeen:  a.secret,
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
	a.held = l.snapshots
	if len(l.snapshots) == 0 {
		return a.wanted == ""
	}
	for _, s := range l.snapshots {
		if (a.wanted == "" || a.wanted == s.ID) && a.shard < s.Shards {
			a.snapshot = s
			return true
		}
	}
	return false
}

// gone tells whether nobody waits for the attempt any more.
func (a *attempt) gone() bool {
	return a.conn != nil && a.conn.closedByPeer()
}

// wait waits for a slot in the queue. It returns the time of the work and
// whether there is any.
func (a *attempt) wait(w *waiter) (time.Duration, bool) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-w.granted:
			a.end(OutcomeRunning)
			return w.work, true
		case now := <-tick.C:
			outcome := a.interrupted(now, OutcomeExpired, OutcomeCanceledQueued)
			if outcome == "" {
				continue
			}
			if !a.leaveQueue(w, outcome) {
				<-w.granted
				a.end(OutcomeRunning)
				return w.work, true
			}
			a.refuse(outcome)
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
	l.truth.set(a.logged, false, outcome)
	return true
}

// interrupted returns the given outcome for a passed deadline or a closed
// connection, or nothing.
func (a *attempt) interrupted(now time.Time, expired, canceled Outcome) Outcome {
	if now.After(a.deadline) {
		return expired
	}
	if a.gone() {
		return canceled
	}
	return ""
}

// work takes the time of the request. It returns how the request ended.
func (a *attempt) work(d time.Duration) Outcome {
	end := time.Now().Add(d)
	for left := d; left > 0; left = time.Until(end) {
		time.Sleep(min(left, checkInterval))
		if left <= checkInterval {
			continue
		}
		outcome := a.interrupted(time.Now(), OutcomeTimedOut, OutcomeCanceled)
		if outcome != "" {
			return outcome
		}
	}
	a.inc.waitThawed()
	if a.inc.isCrashed() {
		return OutcomeCrashed
	}
	if outcome := a.interrupted(time.Now(), OutcomeTimedOut, OutcomeCanceled); outcome != "" {
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
	l.truth.set(a.logged, true, o)
	a.inc.finish(time.Now())
}

// end logs a state of the attempt.
func (a *attempt) end(o Outcome) {
	l := a.inc.leaf
	l.mu.Lock()
	defer l.mu.Unlock()
	l.truth.set(a.logged, o == OutcomeRunning, o)
}

func (inc *incarnation) isCrashed() bool {
	inc.leaf.mu.Lock()
	defer inc.leaf.mu.Unlock()
	return inc.crashed
}

// waitThawed returns when the leaf isn't frozen.
func (inc *incarnation) waitThawed() {
	inc.leaf.mu.Lock()
	thawed := inc.thawed
	inc.leaf.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}
