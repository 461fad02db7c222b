// Package routing chooses the upstream for each request and limits how much of
// each upstream's capacity this VM uses. `ryecourse serve` uses it; `ryecourse
// gateway` doesn't.
//
// Router does no I/O, starts no goroutines and doesn't read the clock. Limits
// that hold over all VMs together (connections, slots, permits of a cold
// upstream) are split into shares by rendezvous hashing (Thaler and
// Ravishankar, 1998), so that the shares add up to the limit without
// coordination messages. Replicas are chosen by the power of two choices
// (Mitzenmacher, 2001) on running requests and recent latency.
//
// Terms:
//   - A slot is a place for one running request at an upstream. It is unrelated
//     to the numbered slots of package lease.
//   - A sharer is a VM that counts when an upstream's limits are split. A VM
//     that left the VM list still counts for a hold-down (Config.HoldDown).
//   - A VM is mature once it has been listed long enough to use its shares.
//   - Home VMs of a zone normally send their requests there; fallback VMs may
//     only use spare capacity there.
//   - A cold upstream is on its ramp: the VMs together may run a number of
//     requests (permits) that doubles with each stage, until it is warm.
//   - The control view is the catalog and the VM list in use. It is stale if it
//     was not confirmed within Config.MaxViewAge.
package routing
