// Package verdict classifies what a caller may conclude about a request that
// did not end with a complete answer. `ryecourse serve` and `ryecourse gateway` use
// it.
//
// The package does no I/O. Verdicts are ordered, and the verdict of a request
// never moves back: once the request may have run, no later event turns it into
// NotRun.
package verdict

import "fmt"

// Verdict reports whether a request may have been executed by an upstream.
type Verdict uint8

// The verdicts, from the safest to the least safe to retry.
const (
	// NotRun means that no upstream has started the request. A retry is safe.
	NotRun Verdict = iota
	// MayHaveRun means that bytes of the request were written to a socket and
	// that no upstream has reported that it didn't start the request.
	MayHaveRun
	// Ran means that an upstream has answered the request.
	Ran
)

var names = [...]string{"not_run", "may_have_run", "ran"}

// String returns the stable name used in answers and logs.
func (v Verdict) String() string {
	if int(v) < len(names) {
		return names[v]
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// Join returns the verdict of a request that was made in two attempts: the less
// safe of theirs.
func Join(a, b Verdict) Verdict {
	return max(a, b)
}
