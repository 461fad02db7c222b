package leaf

// Outcome is the end of a received attempt.
type Outcome string

// The outcomes. Only those marked as started ran any work.
const (
	OutcomeRunning         Outcome = "running"          // started, not ended
	OutcomeAnswered        Outcome = "answered"         // started
	OutcomeCanceled        Outcome = "canceled"         // started, connection closed
	OutcomeTimedOut        Outcome = "timed_out"        // started, deadline passed
	OutcomeCrashed         Outcome = "crashed"          // started, leaf crashed
	OutcomeQueued          Outcome = "queued"           // waits for a slot
	OutcomeShed            Outcome = "shed"             // queue full
	OutcomeDraining        Outcome = "draining"         // leaf leaves
	OutcomeExpired         Outcome = "expired"          // deadline passed in the queue
	OutcomeCanceledQueued  Outcome = "canceled_queued"  // connection closed in the queue
	OutcomeSnapshotMissing Outcome = "snapshot_missing" // 409
	OutcomeMisrouted       Outcome = "misrouted"        // another shard's or service's
)

// Record is what a leaf knows of one received attempt.
type Record struct {
	Attempt string `json:"attempt"`
	Request string `json:"request"`
	// Query is the digest of the query.
	Query    uint64 `json:"query"`
	Service  string `json:"service"`
	Shard    int    `json:"shard"`
	Snapshot string `json:"snapshot"`
	// ReceivedUS is the time of receipt, in microseconds of Unix time.
	ReceivedUS int64   `json:"received_us"`
	Started    bool    `json:"started"`
	Outcome    Outcome `json:"outcome"`
	// Secret tells that the request carried something like a key.
	Secret bool `json:"secret,omitempty"`
}

// truthLog keeps the first limit records. The leaf's lock guards it.
type truthLog struct {
	limit   int
	records []Record
	dropped uint64
}

// add returns the record's index, or -1 beyond the limit.
func (l *truthLog) add(r Record) int {
	if len(l.records) >= l.limit {
		l.dropped++
		return -1
	}
	l.records = append(l.records, r)
	return len(l.records) - 1
}

func (l *truthLog) set(i int, started bool, o Outcome) {
	if i < 0 {
		return
	}
	l.records[i].Started = l.records[i].Started || started
	l.records[i].Outcome = o
}

// Truth is a page of a leaf's log.
type Truth struct {
	Leaf    string   `json:"leaf"`
	Zone    string   `json:"zone"`
	Service string   `json:"service"`
	Shard   int      `json:"shard"`
	Records []Record `json:"records"`
	// Dropped counts the records beyond the limit.
	Dropped uint64 `json:"dropped"`
}

// Truth returns the records from the index on.
func (l *Leaf) Truth(from int) Truth {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := Truth{Leaf: l.cfg.ID, Zone: l.cfg.Zone, Service: l.cfg.Service, Shard: l.cfg.Shard, Dropped: l.truth.dropped}
	from = min(max(from, 0), len(l.truth.records))
	t.Records = append([]Record{}, l.truth.records[from:]...)
	return t
}
