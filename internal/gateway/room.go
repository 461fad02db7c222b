package gateway

// Connections decides whether the memory of callers' connections leaves room.
type Connections interface {
	// HasRoomForResponse reports whether there is room for a response of n bytes.
	HasRoomForResponse(n int64) bool
}

// hasRoom reports whether there is room for the response to a request. Without it, the request
// would fail after upstreams have run it.
func (g *Gateway) hasRoom(in *incoming) bool {
	n := g.responseSizes.Expected(in.route.Name)
	return n == 0 || g.connections == nil || g.connections.HasRoomForResponse(n)
}
