package leaf

// Outcome is the latest state of a received attempt.
type Outcome string

// The outcomes. Only attempts with an outcome marked as started did any work.
const (
	OutcomeRunning         Outcome = "running"          // started, not ended
	OutcomeAnswered        Outcome = "answered"         // started
	OutcomeCanceled        Outcome = "canceled"         // started, connection closed
	OutcomeTimedOut        Outcome = "timed_out"        // started, deadline passed
	OutcomeCrashed         Outcome = "crashed"          // started, leaf crashed
	OutcomeQueued          Outcome = "queued"           // waits for a slot
	OutcomeShed            Outcome = "shed"             // queue full
	OutcomeDraining        Outcome = "draining"         // leaf draining
	OutcomeExpired         Outcome = "expired"          // deadline passed in the queue
	OutcomeCanceledQueued  Outcome = "canceled_queued"  // connection closed in the queue
	OutcomeSnapshotMissing Outcome = "snapshot_missing" // 409
	OutcomeMisrouted       Outcome = "misrouted"        // sent for another shard or service
)

// AttemptRecord is the log entry of one received attempt.
type AttemptRecord struct {
	Attempt string `json:"attempt"`
	Request string `json:"request"`
	// QueryDigest is the digest of the query.
	QueryDigest uint64 `json:"query"`
	Service     string `json:"service"`
	Shard       int    `json:"shard"`
	Snapshot    string `json:"snapshot"`
	// ReceivedUS is the time of receipt, in microseconds of Unix time.
	ReceivedUS int64   `json:"received_us"`
	Started    bool    `json:"started"`
	Outcome    Outcome `json:"outcome"`
	// SecretSeen reports whether the request contained a credential header or a
	// configured secret.
	SecretSeen bool `json:"secret,omitempty"`
}

// attemptLog holds the first limit records and counts the others. The leaf's
// lock guards it.
type attemptLog struct {
	limit   int
	records []AttemptRecord
	dropped uint64
}

// add returns the record's index, or -1 beyond the limit.
func (l *attemptLog) add(r AttemptRecord) int {
	if len(l.records) >= l.limit {
		l.dropped++
		return -1
	}
	l.records = append(l.records, r)
	return len(l.records) - 1
}

func (l *attemptLog) setOutcome(i int, started bool, o Outcome) {
	if i < 0 {
		return
	}
	l.records[i].Started = l.records[i].Started || started
	l.records[i].Outcome = o
}

// AttemptLog is a part of a leaf's log of received attempts.
type AttemptLog struct {
	Leaf    string          `json:"leaf"`
	Zone    string          `json:"zone"`
	Service string          `json:"service"`
	Shard   int             `json:"shard"`
	Records []AttemptRecord `json:"records"`
	// Dropped counts the records beyond the limit.
	Dropped uint64 `json:"dropped"`
}

// AttemptLog returns the records from the given index on.
func (l *Leaf) AttemptLog(from int) AttemptLog {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := AttemptLog{Leaf: l.cfg.ID, Zone: l.cfg.Zone, Service: l.cfg.Service, Shard: l.cfg.Shard, Dropped: l.attempts.dropped}
	from = min(max(from, 0), len(l.attempts.records))
	t.Records = append([]AttemptRecord{}, l.attempts.records[from:]...)
	return t
}
