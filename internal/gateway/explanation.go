package gateway

import "ryecourse.example/ryecourse/internal/core/placement"

// Question is a request that Explain is asked about. It isn't sent.
type Question struct {
	// Host, URI (path and query) and Method are those of the request.
	Host   string `json:"host"`
	URI    string `json:"uri"`
	Method string `json:"method"`
	// Key is the customer's key; Customer names the customer in its place.
	Key      string `json:"key,omitempty"`
	Customer string `json:"customer,omitempty"`
	// Priority replaces that of the customer and the route unless it is nil.
	Priority *int `json:"priority,omitempty"`
	// TimeoutMs is how long the caller would wait; 0 if it doesn't say.
	TimeoutMs float64 `json:"timeout_ms,omitempty"`
}

// Verdict is what would happen to a request now.
type Verdict string

// Verdicts. Unknown means that another VM or chance decides.
const (
	WouldServe  Verdict = "would_serve"
	WouldRefuse Verdict = "would_refuse"
	Unknown     Verdict = "unknown"
)

// AdmissionAnswer is which of such requests are rejected because of load.
type AdmissionAnswer struct {
	// RejectedFraction is the fraction of such requests, 0 to 1, that are rejected now.
	RejectedFraction float64 `json:"rejected_fraction"`
	// Reason is that of the refusal; empty if none is rejected now.
	Reason Reason `json:"reason,omitempty"`
	// Service is the one whose load decides, Load its running and queued requests per
	// slot, and AgeMs the age of what they rest on.
	Service string  `json:"service,omitempty"`
	Load    float64 `json:"load"`
	AgeMs   float64 `json:"age_ms"`
	// RetryAfterMs is how long a rejected caller would be told to wait.
	RetryAfterMs float64 `json:"retry_after_ms"`
}

// Explanation is what would happen to a request now, and what that rests on.
type Explanation struct {
	Verdict Verdict `json:"verdict"`
	// Status, Reason and RetryAfterMs are those of the refusal; Status is 0 without one.
	Status       int     `json:"status,omitempty"`
	Reason       Reason  `json:"reason,omitempty"`
	RetryAfterMs float64 `json:"retry_after_ms,omitempty"`
	// ConfigVersion is in force on this VM, and was confirmed ConfigAgeMs ago.
	ConfigVersion int64              `json:"config_version"`
	ConfigAgeMs   float64            `json:"config_age_ms"`
	Route         *RouteExplained    `json:"route,omitempty"`
	Customer      *CustomerExplained `json:"customer,omitempty"`
	Priority      int                `json:"priority"`
	Admission     *AdmissionAnswer   `json:"admission,omitempty"`
	RunsOn        RunsOn             `json:"runs_on"`
	Services      []ServiceExplained `json:"services,omitempty"`
}

// RouteExplained describes the route of a request.
type RouteExplained struct {
	Name        string  `json:"name"`
	Prefix      string  `json:"prefix"`
	Idempotent  bool    `json:"idempotent"`
	Public      bool    `json:"public"`
	Attempts    int     `json:"attempts"`
	TimeoutMs   float64 `json:"timeout_ms"`
	ObjectiveMs float64 `json:"objective_ms"`
	Shards      int     `json:"shards"`
	MinShare    float64 `json:"min_coverage"`
}

// CustomerExplained describes the rate of a customer, in requests.
type CustomerExplained struct {
	Name      string  `json:"name"`
	PerSecond float64 `json:"per_second"`
	Burst     float64 `json:"burst"`
	Limited   bool    `json:"limited"`
	Admits    bool    `json:"admits"`
	// PoolLeft and OwnLeft are the requests that this VM may admit from the pool of all
	// VMs and from its own bucket.
	PoolLeft float64 `json:"pool_left"`
	OwnLeft  float64 `json:"own_left"`
}

// RunsOn tells which VM would run a request.
type RunsOn struct {
	// Here is the fraction of requests, 0 to 1, that this VM runs itself in place of a
	// helper; below 1 while it reaches no upstream, or has only just reached one again.
	Here float64 `json:"here"`
	// Reachability is the state of this VM's links to upstreams.
	Reachability string `json:"reachability"`
	// Executors and Helpers are asked in this order; none if this VM runs the request.
	Executors []string `json:"executors,omitempty"`
	Helpers   []string `json:"helpers,omitempty"`
}

// ServiceExplained describes the instances of one service, the next one first.
type ServiceExplained struct {
	Service string `json:"service"`
	// ExtraAttemptsLeft is what this VM's retry budget holds for the service.
	ExtraAttemptsLeft float64              `json:"extra_attempts_left"`
	Usable            int                  `json:"usable"`
	Candidates        []CandidateExplained `json:"candidates"`
}

// CandidateExplained is a placement.Candidate. LoadAgeMs is negative without a report.
type CandidateExplained struct {
	Instance         string              `json:"instance"`
	Zone             string              `json:"zone"`
	Excluded         placement.Exclusion `json:"excluded,omitempty"`
	OpensInMs        float64             `json:"opens_in_ms,omitempty"`
	Score            float64             `json:"score"`
	Slowness         float64             `json:"slowness"`
	Penalty          float64             `json:"penalty"`
	InFlight         int                 `json:"in_flight"`
	Slots            int                 `json:"slots"`
	Load             float64             `json:"load"`
	LoadAgeMs        float64             `json:"load_age_ms"`
	LoadUsed         bool                `json:"load_used"`
	Avoided          bool                `json:"avoided,omitempty"`
	Overdue          bool                `json:"overdue,omitempty"`
	Cold             bool                `json:"cold,omitempty"`
	AdmittedFraction float64             `json:"admitted_fraction"`
}
