package routing

// connectionParts cuts the connections of one upstream into a part for the VMs
// whose home it is, a part for visitors, and room that belongs to nobody:
// connections of replaced VMs may linger at an upstream.
type connectionParts struct {
	home, fallback int
}

const (
	// headroomDivisor: one in this many connections is room.
	headroomDivisor = 10
	// fallbackDivisor: one in this many connections is for visitors.
	fallbackDivisor = 5
	// minFleetWideConnections is the share of connections that every VM must have at
	// least for all VMs to share an upstream.
	minFleetWideConnections = 2
)

// fleetWideParts returns the parts for a fleet that shares every upstream among all
// VMs.
func fleetWideParts(limit int) connectionParts {
	return connectionParts{home: limit - headroom(limit)}
}

// zoneParts returns the parts for a fleet whose zones share their own upstreams.
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
