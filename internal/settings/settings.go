// Package settings reads the settings of one process of `ryecourse serve` from a
// JSON file. Those of the gateway are in the package platform at the root.
//
// Every error names the file, the field and the allowed values. All values that fail
// validation are reported at once; a file that can't be decoded gives one error.
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

// Settings are the local settings of one daemon, which it reads at startup.
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
	// CallerListen, PeerListen and OperatorListen are the listen addresses as
	// host:port.
	CallerListen   string `json:"caller_listen" validate:"required,hostname_port"`
	PeerListen     string `json:"peer_listen" validate:"required,hostname_port"`
	OperatorListen string `json:"operator_listen" validate:"required,hostname_port"`
	// Platform lists the base URLs of the replicas of the platform's configuration
	// service.
	Platform []string `json:"platform" validate:"required,min=1,max=8,dive,http_url"`
	// Seeds are the host:port addresses of peers that a new daemon contacts before
	// it has a VM list.
	Seeds []string `json:"seeds" validate:"max=32,dive,hostname_port"`
	// LogLevel is the lowest level that is logged.
	LogLevel string `json:"log_level" validate:"omitempty,oneof=debug info warn error"`
	// Limits bound the resources that callers can use.
	Limits Limits `json:"limits"`
	// Policy disables or replaces mechanisms, for comparisons.
	Policy Policy `json:"policy"`
}

// Limits bound the resources of the caller listener and of the process.
type Limits struct {
	// MaxBodyBytes is the largest request body.
	MaxBodyBytes int `json:"max_body_bytes" validate:"min=1024,max=16777216"`
	// MaxHeaderBytes is the largest block of request headers.
	MaxHeaderBytes int `json:"max_header_bytes" validate:"min=1024,max=1048576"`
	// MaxHeaders is the largest number of request headers.
	MaxHeaders int `json:"max_headers" validate:"min=4,max=1000"`
	// MaxConnections is the maximum number of open connections from callers.
	MaxConnections int `json:"max_connections" validate:"min=1,max=1000000"`
	// ReadTimeoutMs is the time to read one request, in milliseconds.
	ReadTimeoutMs int `json:"read_timeout_ms" validate:"min=10,max=600000"`
	// IdleTimeoutMs is how long a keep-alive connection may be idle, in
	// milliseconds.
	IdleTimeoutMs int `json:"idle_timeout_ms" validate:"min=10,max=3600000"`
	// MemoryMB is the soft memory limit of the process, in MiB. Near it the garbage
	// collector runs more often.
	MemoryMB int64 `json:"memory_mb" validate:"min=32,max=1048576"`
	// DrainMs is how long a graceful shutdown waits for running requests, in
	// milliseconds.
	DrainMs int `json:"drain_ms" validate:"min=0,max=600000"`
}

// Policy selects mechanisms for comparisons. A nil pointer selects the default.
type Policy struct {
	// Hedge enables a second attempt for a shard whose first attempt is slow. It is
	// on by default.
	Hedge *bool `json:"hedge"`
	// RandomReplica picks replicas at random instead of by load and latency.
	RandomReplica bool `json:"random_replica"`
	// Ramp is meant for the load limits on cold upstreams. The daemon doesn't
	// read it: these limits always apply.
	Ramp *bool `json:"ramp"`
}

// HedgeEnabled reports whether hedging is enabled.
func (p Policy) HedgeEnabled() bool { return p.Hedge == nil || *p.Hedge }

// RampEnabled returns the value of Ramp, by default true.
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

// FieldError is one error in a settings file. Field is "-" if no field is known.
type FieldError struct {
	File    string
	Field   string
	Message string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: field %s: %s", e.File, e.Field, e.Message)
}

// Load reads and validates the file. The error joins one FieldError per invalid
// value.
func Load(file string) (*Settings, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, &FieldError{File: file, Field: "-", Message: err.Error()}
	}
	return Parse(file, content)
}

// Parse decodes and validates content. The file name is used in errors.
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
