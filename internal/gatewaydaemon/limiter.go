package gatewaydaemon

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/routetable"
)

// noLimit admits everything.
type noLimit struct{}

// Admit implements gateway.Limiter.
func (noLimit) Admit(time.Time, *routetable.Customer) (bool, time.Duration) { return true, 0 }
