package wharfquota

import (
	"slices"
	"time"
)

// lapseTTL is how long a node confirms that it was an allocator until its lease lapsed. It covers
// the outages of the lease service that end on their own. Nodes that began meanwhile are known from
// gossip within it.
const lapseTTL = 15 * time.Second

// Join is a successful join of the lease group.
type Join struct {
	// Sent and Received are times before the request was sent and after the response arrived.
	Sent, Received time.Time
	// Generation changes whenever any shard is assigned to another member.
	Generation uint64
	// First means that nobody has held a shard before this node.
	First bool
	// Shards are those that the node holds.
	Shards []int
	// Earlier are the shards that an earlier process of this node has allocated in the same
	// generation. It has ended, and no other node has held them since.
	Earlier []int
}

// lease decides whether a node may allocate a shard. The zero lease holds nothing.
//
// A node has the authority until ttl after the last join that listed the shard was sent. While the
// generation stays the same, the node has held the shard all the time between two joins. So a node
// without authority gets it by a join that was sent ttl after it learnt that it holds the shard,
// in the same generation: whoever had the authority has lost it by then, and whoever gains the
// shard later finds nobody to get it from.
type lease struct {
	// listed is true if the last join listed the shard.
	listed     bool
	generation uint64
	// listedAt is when the last join that listed the shard was sent, and listedIn its generation.
	listedAt time.Time
	listedIn uint64
	// since is when the node learnt that it holds the shard, in this generation.
	since time.Time
	// authority is true if this node is the allocator. It is the last one also when it doesn't
	// hold the lease any more, until the authority lapses or another node takes it over.
	authority bool
	// lostUntil is set if the node has lost the authority because its lease lapsed. Until then, it
	// confirms to others that it was the last allocator that it knows of.
	lostUntil time.Time
	// releasedAt is when another node took the shard over.
	releasedAt time.Time
	// renounced is true if another node was told that this one isn't the allocator.
	renounced bool
}

// end returns when the lease of the last join that listed the shard ends.
func (l *lease) end(ttl time.Duration) time.Time {
	return l.listedAt.Add(ttl)
}

// valid reports whether the node holds the lease.
func (l *lease) valid(now time.Time, ttl time.Duration) bool {
	return l.listed && now.Before(l.end(ttl))
}

// allocates reports whether the node may grant tokens: until the authority lapses, also if it
// doesn't hold the lease any more. The next holder may not know yet that it holds it.
func (l *lease) allocates(now time.Time, ttl time.Duration) bool {
	return l.authority && now.Before(l.end(ttl))
}

// waits reports whether the node holds the lease without authority.
func (l *lease) waits(now time.Time, ttl time.Duration) bool {
	return !l.authority && l.valid(now, ttl)
}

// join applies a join for a shard. It returns true if the node is the allocator from now on, and
// wasn't before.
func (l *lease) join(j Join, shard int, ttl time.Duration) bool {
	continued := l.listed && l.generation == j.Generation
	if l.authority && !continued && !j.Received.Before(l.end(ttl)) {
		l.authority, l.lostUntil = false, l.end(ttl).Add(lapseTTL)
	}
	l.generation = j.Generation
	// The assignment in a response to a join before a take-over is out of date.
	if l.listed = slices.Contains(j.Shards, shard) && j.Sent.After(l.releasedAt); !l.listed {
		return false
	}
	if !continued {
		l.since = j.Received
	}
	l.listedAt, l.listedIn = j.Sent, j.Generation
	free := j.First || !l.renounced && slices.Contains(j.Earlier, shard) || !j.Sent.Before(l.since.Add(ttl+clockMargin))
	if l.authority || !free {
		return false
	}
	l.authority, l.lostUntil = j.Received.Before(l.end(ttl)), time.Time{}
	return l.authority
}

// lapsed reports whether the node was an allocator until its lease lapsed, not long ago.
func (l *lease) lapsed(now time.Time, ttl time.Duration) bool {
	if l.authority {
		return !now.Before(l.end(ttl)) && now.Before(l.end(ttl).Add(lapseTTL))
	}
	return now.Before(l.lostUntil)
}

// forfeit ends the authority of a lapsed lease. It returns false if the lease hasn't lapsed.
func (l *lease) forfeit(now time.Time, ttl time.Duration) bool {
	if !l.lapsed(now, ttl) {
		return false
	}
	l.authority, l.lostUntil = false, time.Time{}
	return true
}

// release gives the authority to another node, which holds the shard in a generation. It returns
// false if there is none, or if the other node's assignment is out of date.
func (l *lease) release(now time.Time, generation uint64, ttl time.Duration) bool {
	if !l.allocates(now, ttl) || generation < l.listedIn {
		return false
	}
	l.listed, l.authority, l.releasedAt = false, false, now
	return true
}

// renounce makes joins that were sent before count for nothing, because another node was told that
// this one isn't the allocator.
func (l *lease) renounce(now time.Time) {
	if !l.authority {
		l.listed, l.releasedAt, l.renounced = false, now, true
	}
}

// accept takes the authority that another node has released. It returns false if the node doesn't
// hold the lease any more.
func (l *lease) accept(now time.Time, ttl time.Duration) bool {
	if !l.waits(now, ttl) {
		return false
	}
	l.authority, l.lostUntil = true, time.Time{}
	return true
}
