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
	// maxCallers bounds the user requests under way.
	maxCallers = 8000
	// seed makes the order of classes the same in each run.
	seed = 20261203
)

// Run runs the load and returns what the callers saw.
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

// generator starts user requests at the planned rate, however many are still
// under way.
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

// result is the end of one user request.
type result struct {
	class   int
	started time.Duration
	ended   time.Duration
	ok      bool
	sends   int
	// reason is the last outcome that a failed request was told.
	reason string
	// foreign counts answers that were not whole or not the caller's own.
	foreign int
}

func (g *generator) run(ctx context.Context) {
	pool := pond.NewPool(maxCallers, pond.WithQueueSize(1), pond.WithNonBlocking(true))
	g.started = time.Now()
	troubled := false
	next := time.Duration(0)
	for n := 0; ctx.Err() == nil; n++ {
		at := time.Since(g.started)
		if at >= g.plan.Duration {
			break
		}
		if active := g.plan.Disruption.active(at); active != troubled {
			troubled = active
			g.slow(ctx, active)
		}
		rate := g.plan.Rate
		if troubled {
			rate *= g.plan.Disruption.Surge
		}
		u := &userRequest{generator: g, class: g.pick(), number: n}
		if _, ok := pool.TrySubmit(func() { g.add(u.run(ctx)) }); !ok {
			g.drop()
		}
		next += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		time.Sleep(next - time.Since(g.started))
	}
	if troubled {
		g.slow(ctx, false)
	}
	pool.StopAndWait()
}

// pick chooses a class by its share.
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

func (g *generator) drop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dropped++
}

// slow changes the service time of the slow targets.
func (g *generator) slow(ctx context.Context, active bool) {
	ms := g.plan.Disruption.SlowFromMs
	if active {
		ms = g.plan.Disruption.SlowToMs
	}
	for _, url := range g.plan.Disruption.Slow {
		// A stand-in that is gone shows in the report.
		_, _ = g.control.R().SetContext(ctx).SetBody(wharftargetservice.Control{ServiceTimeMs: &ms}).Put(url + "/standin/control")
	}
}

// arrivals sums the requests that the counted targets have received.
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
