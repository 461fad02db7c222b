// Package verdict classifies what a caller may conclude about a request that
// did not end with a complete answer.
//
// The package has no I/O. A verdict only ever becomes less certain: once a
// request may have run, no later event turns it back into NotRun.
package verdict

import "fmt"

// Verdict says whether a request may have been executed by an upstream.
type Verdict uint8

// The verdicts, from the most to the least reassuring for a retry.
const (
	// NotRun means that no upstream has started the request. A retry is safe.
	NotRun Verdict = iota
	// MayHaveRun means that bytes of the request reached a socket and that no
	// upstream has said that it did not start.
	MayHaveRun
	// Ran means that an upstream has answered the request.
	Ran
)

var names = [...]string{"not_run", "may_have_run", "ran"}

// String returns the stable name that answers and logs carry.
func (v Verdict) String() string {
	if int(v) < len(names) {
		return names[v]
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// Join returns the verdict for a request made of two attempts.
func Join(a, b Verdict) Verdict {
	return max(a, b)
}
