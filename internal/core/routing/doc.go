// Package routing decides which upstream a request goes to and how much this
// VM may send to each upstream.
//
// Router is free of I/O, goroutines and clock reads. Limits that hold over all
// VMs together (connections, slots, permits of a cold upstream) are cut into
// shares by rendezvous hashing (Thaler and Ravishankar, 1998), so that the
// shares add up without messages. Replicas are chosen by the power of two
// choices (Mitzenmacher, 2001) on running requests and recent latency.
package routing
