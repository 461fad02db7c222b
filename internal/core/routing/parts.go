package routing

// connectionParts splits the connections of one upstream into a part for its
// home VMs, a part for its fallback VMs, and unassigned headroom, because
// connections of replaced VMs may linger at an upstream.
type connectionParts struct {
	home, fallback int
}

const (
	// headroomDivisor: one in this many connections is headroom.
	headroomDivisor = 10
	// fallbackDivisor: one in this many connections is for fallback VMs.
	fallbackDivisor = 5
	// minFleetWideConnections is the minimum number of connections per VM for
	// sharing an upstream among all VMs.
	minFleetWideConnections = 2
)

// fleetWideParts returns the parts of an upstream that is shared among all VMs.
func fleetWideParts(limit int) connectionParts {
	return connectionParts{home: limit - headroom(limit)}
}

// zoneParts returns the parts of an upstream that is shared by its home VMs and
// its fallback VMs.
func zoneParts(limit int) connectionParts {
	fallback := limit / fallbackDivisor
	return connectionParts{home: limit - headroom(limit) - fallback, fallback: fallback}
}

func headroom(limit int) int {
	if limit <= 1 {
		return 0
	}
	return (limit + headroomDivisor - 1) / headroomDivisor
}
