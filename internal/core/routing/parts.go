package routing

// connectionParts cuts the connections of one upstream into a part for the VMs
// whose home it is, a part for visitors, and room that belongs to nobody:
// connections of replaced VMs may linger at an upstream.
type connectionParts struct {
	home, visitors int
}

const (
	// roomDivisor: one in this many connections is room.
	roomDivisor = 10
	// visitorDivisor: one in this many connections is for visitors.
	visitorDivisor = 5
	// minWideConnections is the share of connections that every VM must have at
	// least for all VMs to share an upstream.
	minWideConnections = 2
)

// wideParts returns the parts for a fleet that shares every upstream among all
// VMs.
func wideParts(limit int) connectionParts {
	return connectionParts{home: limit - room(limit)}
}

// zoneParts returns the parts for a fleet whose zones share their own upstreams.
func zoneParts(limit int) connectionParts {
	visitors := limit / visitorDivisor
	return connectionParts{home: limit - room(limit) - visitors, visitors: visitors}
}

func room(limit int) int {
	if limit <= 1 {
		return 0
	}
	return (limit + roomDivisor - 1) / roomDivisor
}
