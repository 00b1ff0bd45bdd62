package wharfsettings

import (
	"net/netip"
	"time"

	"github.com/alecthomas/kong"

	"ragwortwharf.dev/wharf/wharfbudget"
	"ragwortwharf.dev/wharf/wharfcli"
)

// Settings are the settings of a node.
type Settings struct {
	CallerListen  string   `default:"127.0.0.1:7000" env:"WHARF_CALLER_LISTEN" help:"IP:port where callers and services are served (HTTP/1.1 and h2c)."`
	NodeListen    string   `default:"127.0.0.1:7001" env:"WHARF_NODE_LISTEN" help:"IP:port where other nodes are served (gRPC)."`
	AdminListen   string   `default:"127.0.0.1:7002" env:"WHARF_ADMIN_LISTEN" help:"IP:port of the admin API, metrics and announcements of targets."`
	Advertise     string   `env:"WHARF_ADVERTISE" help:"IP:port of --node-listen as other nodes reach it; --node-listen if left out."`
	FailureDomain string   `env:"WHARF_FAILURE_DOMAIN" help:"Failure domain of this VM."`
	Region        string   `default:"region-1" env:"WHARF_REGION" help:"Region of this VM."`
	LogURL        string   `env:"WHARF_LOG_URL" help:"URL of the platform's append-only log."`
	Seeds         []string `env:"WHARF_SEEDS" help:"IP:port of nodes to join, by their --advertise."`

	StopTimeout      time.Duration `default:"30s" env:"WHARF_STOP_TIMEOUT" help:"Longest wait for requests in flight at a planned stop."`
	SnapshotInterval time.Duration `default:"10m" env:"WHARF_SNAPSHOT_INTERVAL" help:"Time between snapshots in the log; well below its retention."`
	TargetTimeout    time.Duration `default:"10s" env:"WHARF_TARGET_TIMEOUT" help:"How long a target that stops renewing its announcement is kept."`

	RepeatRatio  float64       `default:"0.1" env:"WHARF_REPEAT_RATIO" help:"Share of the requests for a service that may reach targets once more."`
	RepeatSlack  int           `default:"64" env:"WHARF_REPEAT_SLACK" help:"Requests that may reach targets once more beyond the share, over all nodes in each window."`
	RepeatWindow time.Duration `default:"10s" env:"WHARF_REPEAT_WINDOW" help:"Time that repeats are counted over."`

	Variant

	wharfcli.Logs
	Version kong.VersionFlag `help:"Print the version and exit."`
}

// Variant chooses between decisions that are measured against each other.
type Variant struct {
	Limiter      string        `default:"aimd" enum:"aimd,gradient,slots,off" env:"WHARF_LIMITER" help:"How the limit of a target is found: aimd, gradient, slots for what it announces, or off for none."`
	QueueOrder   string        `default:"adaptive" enum:"adaptive,fifo,arrival,objective" env:"WHARF_QUEUE_ORDER" help:"Order of waiting requests: adaptive, fifo within a class, arrival, or objective."`
	Levels       bool          `default:"true" negatable:"" env:"WHARF_LEVELS" help:"Shed by admission level at every hop."`
	MaxWait      time.Duration `default:"0s" env:"WHARF_MAX_WAIT" help:"Longest queue of a target, in the time that it takes to drain; 0s for twice the limit."`
	Backpressure bool          `default:"false" negatable:"" env:"WHARF_BACKPRESSURE" help:"Hold fresh work back while the calls that it makes meet queues."`
	Retries      string        `default:"budgeted" enum:"budgeted,plain,off" env:"WHARF_RETRIES" help:"Retries: budgeted, plain (three tries at every hop), or off."`
}

// WithDefaults fills in what follows from other settings.
func (s Settings) WithDefaults() Settings {
	if s.Advertise == "" {
		s.Advertise = s.NodeListen
	}
	return s
}

// LocalNode returns the address by which the node reaches itself.
func (s Settings) LocalNode() string {
	a, err := netip.ParseAddrPort(s.NodeListen)
	if err != nil || a.Addr().IsUnspecified() {
		return s.Advertise
	}
	return s.NodeListen
}

// NodeID identifies the node over its lives.
func (s Settings) NodeID() string {
	return s.FailureDomain + "/" + s.Advertise
}

// Check reports all faults of the settings.
func (s *Settings) Check() wharfcli.Issues {
	var f wharfcli.Issues
	f.Address("caller-listen", s.CallerListen)
	f.Address("node-listen", s.NodeListen)
	f.Address("admin-listen", s.AdminListen)
	if s.Advertise != "" {
		f.Address("advertise", s.Advertise)
	} else if a, err := netip.ParseAddrPort(s.NodeListen); err == nil && a.Addr().IsUnspecified() {
		f.Add("advertise", "is needed, because --node-listen names no single address")
	}
	f.Name("failure-domain", s.FailureDomain)
	f.Name("region", s.Region)
	f.URL("log-url", s.LogURL)
	for _, seed := range s.Seeds {
		f.Address("seeds", seed)
	}
	f.AtLeast("stop-timeout", s.StopTimeout, time.Second)
	f.AtLeast("snapshot-interval", s.SnapshotInterval, time.Second)
	f.AtLeast("target-timeout", s.TargetTimeout, time.Second)
	f.AtLeast("repeat-window", s.RepeatWindow, time.Second)
	if s.RepeatRatio < 0 || s.RepeatRatio > 1 {
		f.Add("repeat-ratio", "must be from 0 to 1")
	}
	if s.RepeatSlack < 0 {
		f.Add("repeat-slack", "must not be negative")
	}
	return f
}

// RepeatLimit bounds the repeats of all nodes together.
func (s Settings) RepeatLimit() wharfbudget.RepeatLimit {
	return wharfbudget.RepeatLimit{Ratio: s.RepeatRatio, Slack: s.RepeatSlack, Window: s.RepeatWindow}
}
