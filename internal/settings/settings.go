// Package settings reads the settings of one process from a JSON file.
//
// Every error names the file, the field and what is allowed, and all errors of
// a file are found in one run.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
)

// Settings are what one daemon knows before it has read anything else.
type Settings struct {
	// Fleet names the fleet. Peers of another fleet are refused.
	Fleet string `json:"fleet" validate:"required,max=64,hostname_rfc1123"`
	// FleetSecret authenticates the daemons of a fleet to each other. It is
	// optional on a private network.
	FleetSecret string `json:"fleet_secret" validate:"omitempty,min=16,max=256"`
	// VM is the platform's ID of this VM.
	VM string `json:"vm" validate:"required,max=64,hostname_rfc1123"`
	// Zone is the availability zone of this VM.
	Zone string `json:"zone" validate:"required,max=64,hostname_rfc1123"`
	// CallerListen, PeerListen and OperatorListen are host:port.
	CallerListen   string `json:"caller_listen" validate:"required,hostname_port"`
	PeerListen     string `json:"peer_listen" validate:"required,hostname_port"`
	OperatorListen string `json:"operator_listen" validate:"required,hostname_port"`
	// Platform lists the replicas of the platform's service as base URLs.
	Platform []string `json:"platform" validate:"required,min=1,max=8,dive,http_url"`
	// Seeds are peers' host:port that a new daemon asks before it has a VM list.
	Seeds []string `json:"seeds" validate:"max=32,dive,hostname_port"`
	// LogLevel is the lowest level that is logged.
	LogLevel string `json:"log_level" validate:"omitempty,oneof=debug info warn error"`
	// Limits bound what callers can make the process hold.
	Limits Limits `json:"limits"`
	// Policy switches decisions off, for comparisons.
	Policy Policy `json:"policy"`
}

// Limits bound the callers' listener.
type Limits struct {
	// MaxBodyBytes is the largest request body.
	MaxBodyBytes int `json:"max_body_bytes" validate:"min=1024,max=16777216"`
	// MaxHeaderBytes is the largest block of request headers.
	MaxHeaderBytes int `json:"max_header_bytes" validate:"min=1024,max=1048576"`
	// MaxHeaders is the largest number of request headers.
	MaxHeaders int `json:"max_headers" validate:"min=4,max=1000"`
	// MaxConnections is the number of callers' connections at a time.
	MaxConnections int `json:"max_connections" validate:"min=1,max=1000000"`
	// ReadTimeoutMs is the time to read one request, in milliseconds.
	ReadTimeoutMs int `json:"read_timeout_ms" validate:"min=10,max=600000"`
	// IdleTimeoutMs is how long a kept connection may be idle, in milliseconds.
	IdleTimeoutMs int `json:"idle_timeout_ms" validate:"min=10,max=3600000"`
	// MemoryMB is the soft limit of the process's memory, in MiB. Near it the
	// collector runs more often.
	MemoryMB int64 `json:"memory_mb" validate:"min=32,max=1048576"`
	// DrainMs is how long a graceful shutdown waits for running requests, in
	// milliseconds.
	DrainMs int `json:"drain_ms" validate:"min=0,max=600000"`
}

// Policy selects decisions. The zero value of each pointer means the default.
type Policy struct {
	// Hedge sends a second attempt for a shard whose first one is slow.
	Hedge *bool `json:"hedge"`
	// RandomReplica picks replicas at random instead of by load and latency.
	RandomReplica bool `json:"random_replica"`
	// Ramp limits the load on cold upstreams.
	Ramp *bool `json:"ramp"`
}

// HedgeEnabled tells whether hedging is on.
func (p Policy) HedgeEnabled() bool { return p.Hedge == nil || *p.Hedge }

// RampEnabled tells whether cold upstreams are protected.
func (p Policy) RampEnabled() bool { return p.Ramp == nil || *p.Ramp }

// ReadTimeout returns ReadTimeoutMs as a duration.
func (l Limits) ReadTimeout() time.Duration { return time.Duration(l.ReadTimeoutMs) * time.Millisecond }

// IdleTimeout returns IdleTimeoutMs as a duration.
func (l Limits) IdleTimeout() time.Duration { return time.Duration(l.IdleTimeoutMs) * time.Millisecond }

// DrainTimeout returns DrainMs as a duration.
func (l Limits) DrainTimeout() time.Duration { return time.Duration(l.DrainMs) * time.Millisecond }

// Default returns the values of the fields that a file may leave out.
func Default() Settings {
	return Settings{
		LogLevel: "info",
		Limits: Limits{
			MaxBodyBytes:   1 << 20,
			MaxHeaderBytes: 16 << 10,
			MaxHeaders:     64,
			MaxConnections: 10_000,
			ReadTimeoutMs:  5_000,
			IdleTimeoutMs:  60_000,
			MemoryMB:       256,
			DrainMs:        10_000,
		},
	}
}

// FieldError is one mistake in a settings file.
type FieldError struct {
	File    string
	Field   string
	Message string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: field %s: %s", e.File, e.Field, e.Message)
}

// Load reads and checks the file. The error joins one FieldError per mistake.
func Load(file string) (*Settings, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, &FieldError{File: file, Field: "-", Message: err.Error()}
	}
	return Parse(file, content)
}

// Parse checks the content of the named file.
func Parse(file string, content []byte) (*Settings, error) {
	s := Default()
	dec := json.NewDecoder(bytes.NewReader(content))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return nil, decodeError(file, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, &FieldError{File: file, Field: "-", Message: "only one JSON object is allowed"}
	}
	if err := validate(file, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

func decodeError(file string, err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		msg := fmt.Sprintf("must be of type %s, not %s", typeErr.Type, typeErr.Value)
		return &FieldError{File: file, Field: typeErr.Field, Message: msg}
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return &FieldError{File: file, Field: strings.Trim(name, `"`), Message: "unknown field"}
	}
	return &FieldError{File: file, Field: "-", Message: err.Error()}
}

func validate(file string, s *Settings) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("json") })
	err := v.Struct(s)
	var list validator.ValidationErrors
	if !errors.As(err, &list) {
		return err
	}
	var out []error
	for _, fe := range list {
		_, field, _ := strings.Cut(fe.Namespace(), ".")
		out = append(out, &FieldError{File: file, Field: field, Message: violationMessage(fe)})
	}
	return errors.Join(out...)
}

func violationMessage(fe validator.FieldError) string {
	switch fe.Tag() {
	case "required":
		return "must be set"
	case "min":
		return "must be at least " + fe.Param()
	case "max":
		return "must be at most " + fe.Param()
	case "oneof":
		return "must be one of: " + fe.Param()
	case "hostname_port":
		return "must be host:port"
	case "http_url":
		return "must be a URL such as http://127.0.0.1:7001"
	case "hostname_rfc1123":
		return "must be letters, digits, dots and hyphens"
	}
	return "must satisfy " + fe.Tag()
}
