package gateway

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/routetable"
	"ryecourse.example/ryecourse/internal/upstreamhttp"
)

// TestLossIsNoCrashWhileLinksFail guards against innocent requests that are quarantined on
// all VMs, because the VM that received them can't open connections for a while.
func TestLossIsNoCrashWhileLinksFail(t *testing.T) {
	const refused, reset, accepted = syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.Errno(0)
	for name, test := range map[string]struct {
		// dials holds the outcomes of the connections to the instance, and opensFrom is
		// the number of the check at which others can be opened; 0: never.
		dials     []syscall.Errno
		opensFrom int
		want      upstreamhttp.Liveness
	}{
		"ended":                                  {[]syscall.Errno{refused}, 1, upstreamhttp.Ended},
		"accepts connections":                    {[]syscall.Errno{accepted}, 0, upstreamhttp.Alive},
		"connections are reset":                  {[]syscall.Errno{reset}, 1, upstreamhttp.Unknown},
		"cut":                                    {[]syscall.Errno{refused}, 0, upstreamhttp.Unknown},
		"cut for a while":                        {[]syscall.Errno{refused, accepted}, 3, upstreamhttp.Alive},
		"cut for a while, and ended in the time": {[]syscall.Errno{refused, refused}, 3, upstreamhttp.Ended},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dials := 0
			pools := NewPools(func(context.Context, string) (net.Conn, error) {
				dials++
				if err := test.dials[dials-1]; err != accepted {
					return nil, err
				}
				ours, theirs := net.Pipe()
				t.Cleanup(func() { theirs.Close() })
				return ours, nil
			}, nil, nil)
			checks := 0
			c := &lossChecker{pools: pools, opensConnections: func(context.Context, time.Time) bool {
				checks++
				return test.opensFrom > 0 && checks >= test.opensFrom
			}}
			if got := c.liveness(routetable.Upstream{ID: "i"}, time.Now()); got != test.want {
				t.Errorf("the instance is %v, want %v", got, test.want)
			}
			if dials != len(test.dials) {
				t.Errorf("%d connections, want %d", dials, len(test.dials))
			}
		})
	}
}
