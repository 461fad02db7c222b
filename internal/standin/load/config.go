// Package load sends queries to daemons of `ryecourse serve` as callers do, and
// checks every answer and refusal against the attempt logs of the stand-in
// upstreams. The standin and bench commands use it; it is not part of the product.
package load

import (
	"encoding/json"
	"os"
	"time"
)

// Config describes one run of the checker.
type Config struct {
	// Daemons are the callers' listeners, host:port.
	Daemons []string `json:"daemons"`
	// Controls are the control listeners of the upstreams' processes.
	Controls []string `json:"controls"`
	// Events is the file to which the script that drives the run appends events.
	Events string `json:"events"`
	// Seed seeds the choice of daemons and customers.
	Seed      uint64     `json:"seed"`
	Services  []Service  `json:"services"`
	Customers []Customer `json:"customers"`
	// GraceMS is the time after an event, in milliseconds, by which the change must
	// be active.
	GraceMS int `json:"grace_ms"`
	// MinAnswered is the minimum fraction of the valid queries that must be
	// answered.
	MinAnswered float64 `json:"min_answered"`
}

// Service is a service that receives queries.
type Service struct {
	Name        string `json:"name"`
	Shards      int    `json:"shards"`
	SingleShard bool   `json:"single_shard"`
	Idempotent  bool   `json:"idempotent"`
	DeadlineMS  int    `json:"deadline_ms"`
	AnswerBytes int    `json:"answer_bytes"`
	// MinCoverage is the minimum coverage that the callers accept. Zero means a
	// complete answer.
	MinCoverage float64 `json:"min_coverage"`
	// Rate is the number of queries per second over all daemons.
	Rate float64 `json:"rate"`
}

// Customer is a caller with one key.
type Customer struct {
	Name string `json:"name"`
	Key  string `json:"key"`
	// Unknown marks a key that is in no configuration file.
	Unknown bool `json:"unknown"`
	// Weight is the customer's relative share of the queries.
	Weight int `json:"weight"`
}

func (s *Service) minCoverage() float64 {
	if s.MinCoverage == 0 {
		return 1
	}
	return s.MinCoverage
}

func (c *Config) grace() time.Duration {
	return time.Duration(c.GraceMS) * time.Millisecond
}

// ReadConfig reads a Config from a JSON file.
func ReadConfig(file string) (*Config, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, &ConfigError{File: file, Err: err}
	}
	var c Config
	if err := json.Unmarshal(content, &c); err != nil {
		return nil, &ConfigError{File: file, Err: err}
	}
	return &c, nil
}

// ConfigError reports a file that can't be read or parsed.
type ConfigError struct {
	File string
	Err  error
}

// Error implements error.
func (e *ConfigError) Error() string { return e.File + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ConfigError) Unwrap() error { return e.Err }
