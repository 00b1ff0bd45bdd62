package wharfserver

import (
	"context"
	"time"

	"ragwortwharf.dev/wharf/wharflog"
	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfstream"
	"ragwortwharf.dev/wharfnode/wharfprotocol"
	"ragwortwharf.dev/wharfnode/wharfsettings"
)

// Log is an append-only log as a node uses it. Package wharfstate says what
// stands in its records.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (wharfstream.Batch, error)
}

// Directory is where nodes find each other.
type Directory interface {
	// Seeds returns the addresses of nodes to join.
	Seeds(ctx context.Context) ([]string, error)
	// Enter writes down the entry of this node.
	Enter(ctx context.Context, self wharfmember.Member) error
	// Remove drops the entry of a node that has ended.
	Remove(ctx context.Context, ended wharfmember.Member) error
}

// Options take the place of a node's own. The zero Options are the node's own.
type Options struct {
	// Protocol is how callers and targets are spoken with.
	Protocol wharfprotocol.Protocol
	// Log holds the configuration.
	Log Log
	// Directory is where nodes find each other.
	Directory Directory
	// WithoutKeys says that callers give no keys of their own, so that their
	// homes need no records.
	WithoutKeys bool
	// RefusesAfterCrash says that a target which crashed refuses connections for a
	// while.
	RefusesAfterCrash bool
	// Readers is how many nodes of a failure domain read the log.
	Readers int
	// PollWait is how long a read waits for records.
	PollWait time.Duration
	// Linger is how long callers are served at least after a planned stop began.
	Linger time.Duration
}

const (
	// defaultReaders lets one of the readers of a failure domain fail.
	defaultReaders = 2
	// defaultPollWait is well below the time after which a state counts as
	// stale.
	defaultPollWait = time.Second
)

func (p Options) withDefaults(settings wharfsettings.Settings) Options {
	if p.Protocol == nil {
		p.Protocol = wharfprotocol.Native{}
	}
	if p.Log == nil {
		p.Log = wharflog.NewClient(settings.LogURL)
	}
	if p.Directory == nil {
		p.Directory = seeds(settings.Seeds)
	}
	if p.Readers == 0 {
		p.Readers = defaultReaders
	}
	if p.PollWait == 0 {
		p.PollWait = defaultPollWait
	}
	return p
}

// seeds is the directory of a node whose settings name others.
type seeds []string

// Seeds returns the addresses from the settings.
func (s seeds) Seeds(context.Context) ([]string, error) {
	return s, nil
}

// Enter has nothing to do: the node makes itself known to the seeds.
func (s seeds) Enter(context.Context, wharfmember.Member) error {
	return nil
}

// Remove has nothing to do.
func (s seeds) Remove(context.Context, wharfmember.Member) error {
	return nil
}
