package wharfconnection

const (
	// bytesPerConnection is the resident memory of an idle connection: its buffers, the stack
	// of its goroutine, and as much again until the garbage collector has run.
	bytesPerConnection = 32 << 10
	// memoryParts is the number of equal parts of the memory, of which the connections of
	// other nodes get one. The rest is for requests and for the connections of callers.
	memoryParts = 3
	// descriptorParts and nodeParts are the parts of the descriptors, and those of them for
	// connections of other nodes. The rest is for connections of callers and for those that
	// the node opens. acceptedParts are those that may be taken for a moment, so that probes,
	// gossip and calls that are refused don't wait.
	descriptorParts, nodeParts, acceptedParts = 8, 3, 7
	// minLimit lets calls of a few nodes through, however little memory there is.
	minLimit = 64
)

// Resources are what a process may use. A field that isn't positive means that there is no
// limit.
type Resources struct {
	// Memory is in bytes.
	Memory int64
	// Descriptors is the number of descriptors for sockets.
	Descriptors int
}

// Limits returns the limits of the connections of other nodes.
func (r Resources) Limits() Limits {
	var l Limits
	if r.Memory > 0 {
		l.Kept = max(int(r.Memory/memoryParts/bytesPerConnection), minLimit)
	}
	if r.Descriptors > 0 {
		part := max(r.Descriptors/descriptorParts, 1)
		if descriptors := max(part*nodeParts, minLimit); l.Kept == 0 || descriptors < l.Kept {
			l.Kept = descriptors
		}
		l.Accepted = max(part*acceptedParts, l.Kept)
	}
	return l
}

const (
	// limitParts and freeParts are the parts of the limit, and those of them that the server
	// keeps free by closing connections. What is below is paid for, and senders need it
	// again at the next peak.
	limitParts, freeParts = 8, 1
	// idleParts is the part of the connections that may be idle then. Closing more of them
	// would only make senders open them again.
	idleParts = 4
)

// Limits bound the connections of other nodes. Zero means that there is no limit.
type Limits struct {
	// Kept is the number of connections that the server keeps, and of the calls on them that
	// it serves at once. It refuses further calls.
	Kept int
	// Accepted is the number at which it accepts no connection.
	Accepted int
}

// Connections are those that a server holds.
type Connections struct {
	Limits
	// Open is the number of connections, and Active the number of those that carry a request.
	Open, Active int
}

// Full reports whether the server may accept no connection.
func (c Connections) Full() bool {
	return c.Accepted > 0 && c.Open >= c.Accepted
}

// Refuses reports whether the server refuses a call that it counts in Active.
func (c Connections) Refuses() bool {
	return c.Kept > 0 && c.Active > c.Kept
}

// Surplus reports whether the server closes a connection after the response on it: there are more
// than it keeps, or so many are idle that the next request finds one.
func (c Connections) Surplus() bool {
	if c.Kept == 0 || c.Open <= c.Kept/limitParts*(limitParts-freeParts) {
		return false
	}
	return c.Open >= c.Kept || c.Open-c.Active > c.Open/idleParts
}
