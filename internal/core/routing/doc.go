// Package routing chooses the upstream for each request and limits how much of
// each upstream's capacity this VM uses.
//
// Router does no I/O, starts no goroutines and doesn't read the clock. Limits
// that hold over all VMs together (connections, slots, permits of a cold
// upstream) are split into shares by rendezvous hashing (Thaler and
// Ravishankar, 1998), so that the shares add up to the limit without
// coordination messages. Replicas are chosen by the power of two choices
// (Mitzenmacher, 2001) on running requests and recent latency.
package routing
