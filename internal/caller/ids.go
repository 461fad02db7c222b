package caller

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
)

// idSource generates request IDs: a random prefix per process and a counter.
type idSource struct {
	prefix string
	n      atomic.Uint64
}

func newIDSource() *idSource {
	const prefixBytes = 6
	var b [prefixBytes]byte
	rand.Read(b[:]) // never fails; see crypto/rand
	return &idSource{prefix: hex.EncodeToString(b[:]) + "-"}
}

func (s *idSource) next() string {
	return s.prefix + strconv.FormatUint(s.n.Add(1), 36)
}
