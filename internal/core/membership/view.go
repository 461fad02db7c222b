// Package membership keeps what a daemon knows of the other VMs of its fleet:
// the platform's list, its age, and the duties that follow from it.
//
// The package has no I/O. The list decides who counts (owners of shares,
// readers of the configuration); reachability decides whom to ask.
package membership

// VM is one entry of the platform's list.
type VM struct {
	// ID names the VM. A replaced VM has another ID.
	ID string
	// Zone is the VM's availability zone.
	Zone string
	// PeerAddress is the host:port of its peer listener.
	PeerAddress string
	// Leaving tells whether the platform is taking the VM out.
	Leaving bool
}

// List is one revision of the platform's list of VMs. It is immutable.
type List struct {
	// Revision only grows.
	Revision uint64
	// VMs are sorted by ID.
	VMs []VM
}
