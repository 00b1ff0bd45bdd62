package wharfsettings

import (
	"net/netip"
	"time"

	"github.com/alecthomas/kong"

	"ragwortwharf.dev/wharf/wharfbudget"
	"ragwortwharf.dev/wharf/wharfcli"
)

// Settings holds the settings of a node.
type Settings struct {
	CallerListen  string   `default:"127.0.0.1:7000" env:"WHARF_CALLER_LISTEN" help:"IP:port for requests of callers and services (HTTP/1.1 and h2c)."`
	NodeListen    string   `default:"127.0.0.1:7001" env:"WHARF_NODE_LISTEN" help:"IP:port for calls (HTTP/1.1) and gRPC requests of other nodes."`
	AdminListen   string   `default:"127.0.0.1:7002" env:"WHARF_ADMIN_LISTEN" help:"IP:port for the admin API, metrics and target announcements."`
	Advertise     string   `env:"WHARF_ADVERTISE" help:"IP:port at which other nodes reach --node-listen; defaults to --node-listen."`
	FailureDomain string   `env:"WHARF_FAILURE_DOMAIN" help:"Failure domain of this VM."`
	Region        string   `default:"region-1" env:"WHARF_REGION" help:"Region of this VM."`
	LogURL        string   `env:"WHARF_LOG_URL" help:"URL of the platform's append-only log."`
	Seeds         []string `env:"WHARF_SEEDS" help:"IP:port of nodes to join, as in their --advertise."`

	StopTimeout      time.Duration `default:"30s" env:"WHARF_STOP_TIMEOUT" help:"Longest time that a planned stop waits for requests in flight."`
	SnapshotInterval time.Duration `default:"10m" env:"WHARF_SNAPSHOT_INTERVAL" help:"Time between snapshots in the log; keep it well below the retention of the log."`
	TargetTimeout    time.Duration `default:"10s" env:"WHARF_TARGET_TIMEOUT" help:"How long a target stays registered after its last announcement."`

	RepeatRatio       float64       `default:"0.1" env:"WHARF_REPEAT_RATIO" help:"Repeated requests that may reach targets, as a share of the requests for a service."`
	TargetRepeatRatio float64       `default:"0.1" env:"WHARF_TARGET_REPEAT_RATIO" help:"Calls that a target refused without running them and that its node sends to it again, as a share of the requests for the target; 0 for none."`
	RepeatSlack       int           `default:"64" env:"WHARF_REPEAT_SLACK" help:"Repeated requests that may reach targets beyond the share, over all nodes in each window."`
	RepeatWindow      time.Duration `default:"10s" env:"WHARF_REPEAT_WINDOW" help:"Window in which requests and repeated requests are counted."`

	NodeConnections int `default:"1024" env:"WHARF_NODE_CONNECTIONS" help:"Connections of other nodes that the node keeps, and calls on them that it serves at once; 0 for no limit."`

	Variant

	wharfcli.Logs
	Version kong.VersionFlag `help:"Print the version and exit."`
}

// Variant selects between alternative algorithms, so that they can be compared.
type Variant struct {
	Limiter        string        `default:"aimd" enum:"aimd,gradient,slots,off" env:"WHARF_LIMITER" help:"Concurrency limit of a target: aimd (raised step by step, lowered by a factor when latency rises or requests fail), gradient (multiplied by the ratio of long-term to current latency), slots (0.95 of the slots that the target announces), or off (no limit)."`
	QueueOrder     string        `default:"adaptive" enum:"adaptive,fifo,arrival,objective,priority" env:"WHARF_QUEUE_ORDER" help:"Order of waiting requests: adaptive (by class and call depth, then first-in-first-out, or last-in-first-out while even the shortest recent wait exceeds 20ms), fifo (by class and call depth, then always first-in-first-out), arrival (first-in-first-out over all classes), objective (by class, then by the time after which the response loses value), or priority (by class, then all calls of one client request before those of another)."`
	Levels         bool          `default:"true" negatable:"" env:"WHARF_LEVELS" help:"Reject the requests of lowest priority during overload, at the target's node and already at the sending node."`
	MaxWait        time.Duration `default:"0s" env:"WHARF_MAX_WAIT" help:"Capacity of a target's queue: as many requests as the target finishes in this time, but at least twice its concurrency limit; 0s for twice the limit."`
	Backpressure   bool          `default:"false" negatable:"" env:"WHARF_BACKPRESSURE" help:"Reject a share of client requests while their downstream calls are delayed in queues."`
	AdmitCompleted bool          `default:"false" negatable:"" env:"WHARF_ADMIT_COMPLETED" help:"While targets refuse calls that they have slots for, reject all client requests whose calls would not be completed, not only those that must not run twice; needs --backpressure."`
	Balancing      string        `default:"two-choices" enum:"two-choices,weighted" env:"WHARF_BALANCING" help:"Choice of targets: two-choices (the lower cost of two, by reported load and latency) or weighted (by measured speed and this node's own requests in flight, for services whose targets differ in speed and have many senders)."`
	Retries        string        `default:"budgeted" enum:"budgeted,plain,off" env:"WHARF_RETRIES" help:"Retries: budgeted, plain (three attempts at every hop), or off."`
}

// WithDefaults returns the settings with the defaults that derive from other
// settings.
func (s Settings) WithDefaults() Settings {
	if s.Advertise == "" {
		s.Advertise = s.NodeListen
	}
	return s
}

// LocalNode returns the address at which the node reaches itself.
func (s Settings) LocalNode() string {
	a, err := netip.ParseAddrPort(s.NodeListen)
	if err != nil || a.Addr().IsUnspecified() {
		return s.Advertise
	}
	return s.NodeListen
}

// NodeID returns the id of the node. It stays the same across incarnations.
func (s Settings) NodeID() string {
	return s.FailureDomain + "/" + s.Advertise
}

// Check returns all issues of the settings.
func (s *Settings) Check() wharfcli.Issues {
	var issues wharfcli.Issues
	issues.CheckAddress("caller-listen", s.CallerListen)
	issues.CheckAddress("node-listen", s.NodeListen)
	issues.CheckAddress("admin-listen", s.AdminListen)
	if s.Advertise != "" {
		issues.CheckAddress("advertise", s.Advertise)
	} else if a, err := netip.ParseAddrPort(s.NodeListen); err == nil && a.Addr().IsUnspecified() {
		issues.Add("advertise", "is needed, because --node-listen is an unspecified address")
	}
	issues.CheckName("failure-domain", s.FailureDomain)
	issues.CheckName("region", s.Region)
	issues.CheckURL("log-url", s.LogURL)
	for _, seed := range s.Seeds {
		issues.CheckAddress("seeds", seed)
	}
	issues.CheckAtLeast("stop-timeout", s.StopTimeout, time.Second)
	issues.CheckAtLeast("snapshot-interval", s.SnapshotInterval, time.Second)
	issues.CheckAtLeast("target-timeout", s.TargetTimeout, time.Second)
	issues.CheckAtLeast("repeat-window", s.RepeatWindow, time.Second)
	if s.RepeatRatio < 0 || s.RepeatRatio > 1 {
		issues.Add("repeat-ratio", "must be from 0 to 1")
	}
	if s.TargetRepeatRatio < 0 || s.TargetRepeatRatio > 1 {
		issues.Add("target-repeat-ratio", "must be from 0 to 1")
	}
	if s.NodeConnections < 0 {
		issues.Add("node-connections", "must not be negative")
	}
	if s.RepeatSlack < 0 {
		issues.Add("repeat-slack", "must not be negative")
	}
	return issues
}

// RepeatLimit returns the limit on repeated requests over all nodes together.
func (s Settings) RepeatLimit() wharfbudget.RepeatLimit {
	return wharfbudget.RepeatLimit{Ratio: s.RepeatRatio, Slack: s.RepeatSlack, Window: s.RepeatWindow}
}

// TargetRepeatLimit returns the limit on all repeats that reach a target, up to which its node
// sends refused calls to it again.
func (s Settings) TargetRepeatLimit() wharfbudget.RepeatLimit {
	return wharfbudget.RepeatLimit{Ratio: s.TargetRepeatRatio, Window: s.RepeatWindow}
}
