// Package soak runs the decision code of a whole fleet on a virtual clock. The
// platform, the network, the upstreams and the callers are small fakes. It
// injects random faults and checks the guarantees that hold at all times.
//
// It is a test tool and not part of the product. A run is deterministic for a
// given seed and number of steps.
package soak
