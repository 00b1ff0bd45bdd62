package wharfload

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/go-resty/resty/v2"

	"ragwortwharf.dev/wharfstandin/internal/wharftargetservice"
)

const (
	// maxCallers bounds the user requests in flight.
	maxCallers = 8000
	// seed makes the sequence of classes the same in each run.
	seed = 20261203
)

// Run generates the load of a plan and reports what the callers saw. It stops
// starting user requests when the plan's duration or the context ends, and
// waits for those in flight.
func Run(ctx context.Context, p Plan) Report {
	g := &generator{
		plan: p,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxCallers, DisableCompression: true,
		}},
		control: resty.New().SetTimeout(time.Second),
		rng:     rand.New(rand.NewPCG(seed, seed)),
	}
	before := g.arrivals(ctx)
	g.run(ctx)
	return g.report(g.arrivals(ctx) - before)
}

// generator starts user requests at the rate of the plan (a Poisson process),
// regardless of how many are still in flight.
type generator struct {
	plan    Plan
	client  *http.Client
	control *resty.Client
	rng     *rand.Rand
	started time.Time

	mu      sync.Mutex
	results []result
	dropped int
}

// result is the outcome of one user request.
type result struct {
	class int // index in Plan.Classes
	// started and ended are times since the start of the run.
	started time.Duration
	ended   time.Duration
	// ok reports whether the caller got a complete response to its request.
	ok    bool
	sends int
	// reason is "caller-timeout" if the timeout of the user request passed, or
	// else the reason of the last failed send: "connection" if there was no
	// response, "answer-broken" if a response with status 200 wasn't a complete
	// response to the request, or else the wharf-reason header. A response
	// without that header counts as "status-" and its status.
	reason string
	// foreign is the number of sends that count as ForeignResponses.
	foreign int
}

// run starts the user requests and waits for them.
func (g *generator) run(ctx context.Context) {
	pool := pond.NewPool(maxCallers, pond.WithQueueSize(1), pond.WithNonBlocking(true))
	g.started = time.Now()
	disrupted := false
	next := time.Duration(0)
	for n := 0; ctx.Err() == nil; n++ {
		at := time.Since(g.started)
		if at >= g.plan.Duration {
			break
		}
		if active := g.plan.Disruption.active(at); active != disrupted {
			disrupted = active
			g.setServiceTimes(ctx, active)
		}
		rate := g.plan.Rate
		if disrupted {
			rate *= g.plan.Disruption.Surge
		}
		u := &userRequest{generator: g, class: g.pick(), number: n}
		if _, ok := pool.TrySubmit(func() { g.add(u.run(ctx)) }); !ok {
			g.drop()
		}
		next += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		time.Sleep(next - time.Since(g.started))
	}
	if disrupted {
		g.setServiceTimes(ctx, false)
	}
	pool.StopAndWait()
}

// pick draws the index of a class at random, weighted by share.
func (g *generator) pick() int {
	total := 0.0
	for _, c := range g.plan.Classes {
		total += c.Share
	}
	x := g.rng.Float64() * total
	for i, c := range g.plan.Classes {
		x -= c.Share
		if x < 0 {
			return i
		}
	}
	return len(g.plan.Classes) - 1
}

func (g *generator) add(r result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.results = append(g.results, r)
}

// drop counts a user request that wasn't sent.
func (g *generator) drop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dropped++
}

// setServiceTimes sets the service time of the targets in Disruption.Slow to
// SlowToMs if the disruption is active, else to SlowFromMs.
func (g *generator) setServiceTimes(ctx context.Context, active bool) {
	ms := g.plan.Disruption.SlowFromMs
	if active {
		ms = g.plan.Disruption.SlowToMs
	}
	for _, url := range g.plan.Disruption.Slow {
		// An error is ignored. If a stand-in isn't running, the report shows that
		// requests to it failed.
		_, _ = g.control.R().SetContext(ctx).SetBody(wharftargetservice.Control{ServiceTimeMs: &ms}).Put(url + "/standin/control")
	}
}

// arrivals returns the number of requests that the targets in Plan.Targets have
// received. It leaves out a target that doesn't respond.
func (g *generator) arrivals(ctx context.Context) int64 {
	sum := int64(0)
	for _, url := range g.plan.Targets {
		var stats wharftargetservice.Stats
		if _, err := g.control.R().SetContext(ctx).SetResult(&stats).Get(url + "/standin/stats"); err == nil {
			sum += stats.Arrivals
		}
	}
	return sum
}
