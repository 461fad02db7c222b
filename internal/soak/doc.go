// Package soak runs the decision code of a whole fleet on a virtual clock, with
// small fakes of the platform, the network, the upstreams and the callers, while
// random faults happen, and checks what must hold at all times.
//
// It is a test tool and not part of the product. A run is a function of its
// seed.
package soak
