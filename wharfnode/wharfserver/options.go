package wharfserver

import (
	"context"
	"time"

	"ragwortwharf.dev/wharf/wharflog"
	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfquota"
	"ragwortwharf.dev/wharf/wharfstream"
	"ragwortwharf.dev/wharfnode/wharfprotocol"
	"ragwortwharf.dev/wharfnode/wharfsettings"
)

// Log is the append-only log that a node uses. Package wharfstate defines the
// content of its records.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (wharfstream.Batch, error)
}

// Directory lists the nodes that a node can join.
type Directory interface {
	// Seeds returns the addresses of nodes to join.
	Seeds(ctx context.Context) ([]string, error)
	// Register writes the entry of this node.
	Register(ctx context.Context, self wharfmember.Member) error
	// Remove deletes the entry of a node that has left or failed.
	Remove(ctx context.Context, departed wharfmember.Member) error
}

// DepartedTargets learns which targets on this VM had left before the node started. Other nodes
// may tell it several times.
type DepartedTargets interface {
	RestoreDeparted(targets []wharfmember.Target)
}

// LeavingTargets learns that a target said in a response that it leaves.
type LeavingTargets interface {
	TargetSaysLeaving(instance, address string)
}

// Leases assigns the shards of the quotas of client accounts to the nodes of a group. At a time, it
// assigns each shard to one member. It may assign it to another one once the member has joined again
// with the generation in which it isn't listed any more, has left, or hasn't joined for ttl; and at
// any time if the generation changes. The members count ttl from before they sent a join.
type Leases interface {
	// Join joins the group, or keeps the member in it, and returns the generation and the shards of
	// the member. The generation passed in is the last one received, zero at first. It changes
	// whenever a shard is assigned to another member, and is 1 only before the first such change of
	// a new group.
	Join(ctx context.Context, member string, ttl time.Duration, generation uint64) (uint64, []int, error)
	// Leave ends the membership.
	Leave(ctx context.Context, member string) error
	// Record keeps which shards a member allocates in a generation, and Recorded returns what was
	// kept last, with generation zero for nothing. A later process of the member is the allocator
	// of these shards without a wait if the generation is still the same.
	Record(ctx context.Context, member string, generation uint64, shards []int) error
	Recorded(ctx context.Context, member string) (generation uint64, shards []int, err error)
}

// Options replace the defaults of a node. A zero field means the default.
type Options struct {
	// Protocol is the protocol that the node uses with callers and targets. The
	// default is wharfprotocol.Native.
	Protocol wharfprotocol.Protocol
	// Log is the log that holds the configuration. The default is a client of
	// the log at the LogURL of the settings.
	Log Log
	// Directory lists the nodes to join. The default returns the seeds of the
	// settings.
	Directory Directory
	// NoCallerKeys is true if callers send no idempotency keys. The node then
	// needs no ownership records.
	NoCallerKeys bool
	// CrashedTargetRefusesConnections is true if a crashed target refuses connections
	// for a while. If such a target accepts a new connection after a request has
	// failed, the node doesn't record a crash, because only the response was
	// lost.
	CrashedTargetRefusesConnections bool
	// Readers is the number of nodes of a failure domain that read the log. The
	// other nodes get its records by gossip. Zero means defaultReaders.
	Readers int
	// PollWait is how long a read of the log waits for records. Zero means
	// defaultPollWait.
	PollWait time.Duration
	// MaxStateAge is how long after the last confirmation of its state a node reads the log
	// itself. Until then it relies on the readers. Zero means defaultReaderTime after
	// PollWait.
	MaxStateAge time.Duration
	// ReadRate is the number of reads a second that the nodes together begin if no reader
	// confirms their state. Zero means defaultReadRate.
	ReadRate int
	// LeavingTargets is told which targets said in a response that they leave, and calls
	// SetTargetLeaving. By default the node marks the target as leaving until its next
	// announcement.
	LeavingTargets LeavingTargets
	// DepartedTargets is told which targets had left when an earlier process of this node
	// ended. It may be nil.
	DepartedTargets DepartedTargets
	// Memory is what the runtime may use, in bytes. The node bounds what it holds for others
	// by a part of it. Zero means no limit.
	Memory int64
	// MaxKeyAge is how long after the last confirmation of the configuration requests with keys of
	// client accounts are accepted, so that a key that was withdrawn isn't accepted for longer.
	// Zero means that it isn't bounded.
	MaxKeyAge time.Duration
	// ChangeTime is how long after its acknowledgement a change of the configuration may take to be
	// in force. Zero means defaultChangeTime after MaxStateAge.
	ChangeTime time.Duration
	// Leases assigns the shards of the quotas of client accounts to nodes. Without it, each node has
	// an equal part of each quota.
	Leases Leases
	// QuotaTerms are the times and limits of the quotas, and QuotaShards the number of their shards,
	// the same at all nodes. Zero means the defaults.
	QuotaTerms  wharfquota.Terms
	QuotaShards int
	// Linger is the minimum time for which the node still serves callers after
	// a planned stop began.
	Linger time.Duration
}

const (
	// defaultReaders tolerates the failure of one reader of a failure domain.
	defaultReaders = 2
	// defaultPollWait is well below the time after which a node's state counts
	// as stale.
	defaultPollWait = time.Second
	// defaultReaderTime is the time in which a reader's confirmation reaches the nodes of a
	// large failure domain.
	defaultReaderTime = 3 * time.Second
	// defaultChangeTime is the time in which a node whose state is stale reads a log that is
	// available.
	defaultChangeTime = time.Second
	// defaultReadRate is low, because a log may allow few reads.
	defaultReadRate = 4
)

func (o Options) withDefaults(settings wharfsettings.Settings) Options {
	if o.Protocol == nil {
		o.Protocol = wharfprotocol.Native{}
	}
	if o.Log == nil {
		o.Log = wharflog.NewClient(settings.LogURL)
	}
	if o.Directory == nil {
		o.Directory = seedDirectory(settings.Seeds)
	}
	if o.Readers == 0 {
		o.Readers = defaultReaders
	}
	if o.PollWait == 0 {
		o.PollWait = defaultPollWait
	}
	if o.MaxStateAge == 0 {
		o.MaxStateAge = o.PollWait + defaultReaderTime
	}
	if o.ChangeTime == 0 {
		o.ChangeTime = o.MaxStateAge + defaultChangeTime
	}
	if o.ReadRate == 0 {
		o.ReadRate = defaultReadRate
	}
	return o
}

// seedDirectory is the directory of a node whose settings list seed nodes.
type seedDirectory []string

// Seeds returns the addresses of the settings.
func (s seedDirectory) Seeds(context.Context) ([]string, error) {
	return s, nil
}

// Register does nothing, because the node announces itself to the seeds when it
// joins.
func (s seedDirectory) Register(context.Context, wharfmember.Member) error {
	return nil
}

// Remove does nothing, because the settings keep no entries of nodes.
func (s seedDirectory) Remove(context.Context, wharfmember.Member) error {
	return nil
}
