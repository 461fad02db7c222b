package gateway

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies requests that are the same to an upstream: with the same
// method, host, path, customer and body.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

func fingerprintOf(method, host, uri, customer string, body []byte) Fingerprint {
	h := xxhash.New()
	for _, s := range []string{method, host, uri, customer} {
		_, _ = h.WriteString(s) // never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return Fingerprint(h.Sum64())
}
