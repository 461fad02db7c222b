// Package membership represents the VMs of the fleet as listed by the platform,
// the age of that list, and the assignment of duties to VMs by rendezvous
// hashing. `ryecourse serve` uses it.
//
// The package does no I/O. Duties (owning shares, reading the configuration)
// are assigned by the list alone. Reachability only determines which peers are
// contacted.
package membership

// VM is one entry of the platform's list.
type VM struct {
	// ID identifies the VM. A replacement VM has a different ID.
	ID string
	// Zone is the VM's availability zone.
	Zone string
	// PeerAddress is the host:port of its peer listener.
	PeerAddress string
	// Leaving reports whether the platform is removing the VM.
	Leaving bool
}

// List is one revision of the platform's list of VMs. It is immutable.
type List struct {
	// Revision only grows.
	Revision uint64
	// VMs are sorted by ID.
	VMs []VM
}
