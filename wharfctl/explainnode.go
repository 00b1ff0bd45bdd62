package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// nodeExplanation is the part of a node's explanation that the command prints as text.
type nodeExplanation struct {
	explainedSettings
	TimeoutMs int64              `json:"timeout-ms"`
	Labels    string             `json:"labels"`
	Service   string             `json:"service"`
	Route     *explainedRoute    `json:"route"`
	Account   *explainedAccount  `json:"account"`
	Admission explainedAdmission `json:"admission"`
	Balancing string             `json:"balancing"`
	Targets   []explainedTarget  `json:"targets"`
}

type explainedRoute struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Prefix   string `json:"prefix"`
	Services []struct {
		Service string `json:"service"`
		Weight  int    `json:"weight"`
	} `json:"services"`
}

type explainedAccount struct {
	Name  string          `json:"name"`
	Quota *explainedQuota `json:"quota"`
}

type explainedQuota struct {
	PerSecond       float64  `json:"per-second"`
	Burst           float64  `json:"burst"`
	Verdict         string   `json:"verdict"`
	RetryAfterMs    int64    `json:"retry-after-ms"`
	Tokens          float64  `json:"tokens"`
	EqualShare      bool     `json:"equal-share"`
	Allocator       string   `json:"allocator"`
	AllocatorTokens *float64 `json:"allocator-tokens"`
}

type explainedAdmission struct {
	Verdict      string  `json:"verdict"`
	Share        float64 `json:"share"`
	Reason       string  `json:"reason"`
	Status       int     `json:"status"`
	RetryAfterMs int64   `json:"retry-after-ms"`
}

type explainedTarget struct {
	Address       string           `json:"address"`
	Candidate     bool             `json:"candidate"`
	LeftOut       string           `json:"left-out"`
	LeavingCause  string           `json:"leaving-cause"`
	EjectedUntil  *time.Time       `json:"ejected-until"`
	EjectedForMs  int64            `json:"ejected-for-ms"`
	Unreachable   bool             `json:"unreachable"`
	InFlight      int              `json:"in-flight"`
	Slots         int              `json:"slots"`
	Report        *explainedReport `json:"report"`
	AdmittedShare float64          `json:"admitted-share"`
	LostShare     float64          `json:"lost-share"`
	SlowStartMs   int64            `json:"slow-start-ms"`
	Speed         float64          `json:"speed"`
	DrawShare     float64          `json:"draw-share"`
	Cost          float64          `json:"cost"`
}

type explainedReport struct {
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	Limit   int   `json:"limit"`
	AgeMs   int64 `json:"age-ms"`
	Current bool  `json:"current"`
}

// explainAtNode prints where a node would send the request now, and why.
func (c *explainCommand) explainAtNode(ctx context.Context, t *terminal) error {
	params := map[string]string{"method": c.Method, "path": c.Path}
	for name, value := range map[string]string{"service": c.Service, "host": c.Host, "caller": c.Caller, "account": c.Account} {
		if value != "" {
			params[name] = value
		}
	}
	var body json.RawMessage
	if err := (nodeAccess{Node: c.Node, Timeout: c.Timeout}).get(ctx, "/wharf/v1/explain", params, &body); err != nil {
		return err
	}
	if c.Format == "json" {
		var text bytes.Buffer
		if err := json.Indent(&text, bytes.TrimSpace(body), "", "  "); err != nil {
			return err
		}
		t.printf("%s\n", text.String())
		return nil
	}
	var e nodeExplanation
	if err := json.Unmarshal(body, &e); err != nil {
		return err
	}
	e.print(t)
	return e.printTargets(t)
}

// print prints everything but the targets.
func (e *nodeExplanation) print(t *terminal) {
	source := ruleText
	if r := e.Route; r != nil {
		services := make([]string, len(r.Services))
		for i, s := range r.Services {
			services[i] = fmt.Sprintf("%s (weight %d)", s.Service, s.Weight)
		}
		t.printf("route       %-16s host %s, prefix %s, services %s\n", r.Name, r.Host, r.Prefix, strings.Join(services, ", "))
		source = func(string) string { return "by route " + r.Name }
	}
	t.printf("service     %s\n", e.Service)
	if e.Labels != "" {
		t.printf("labels      %s\n", e.Labels)
	}
	t.printSettings(e.explainedSettings, time.Duration(e.TimeoutMs)*time.Millisecond, source)
	if e.Account != nil {
		t.printf("account     %s\n", e.Account.Name)
		e.Account.Quota.print(t)
	}
	t.printf("admission   %s\n", e.Admission)
	t.printf("balancing   %s\n", e.Balancing)
}

// print prints what is left of the quota.
func (q *explainedQuota) print(t *terminal) {
	if q == nil {
		t.printf("quota       not limited\n")
		return
	}
	t.printf("quota       %-16s %s/s, burst %s, %s\n", number(q.Tokens)+" left here", strconv.FormatFloat(q.PerSecond, 'g', -1, 64), number(q.Burst), q.allocator())
	state := map[string]string{
		"granted":   "a token is here",
		"pending":   "the allocator is asked for a token",
		"refused":   "used up, retry after " + milliseconds(q.RetryAfterMs),
		"uncertain": "the allocator doesn't know what is left, retry after " + milliseconds(q.RetryAfterMs),
	}[q.Verdict]
	if q.Verdict == "pending" && q.Allocator == "" {
		state = "no token arrives unless an allocator becomes known"
	}
	t.printf("            %-16s %s\n", q.Verdict, state)
}

// allocator describes which node allocates the quota.
func (q *explainedQuota) allocator() string {
	switch {
	case q.EqualShare:
		return "an equal share for each node"
	case q.Allocator == "":
		return "no allocator is known"
	case q.AllocatorTokens != nil:
		return fmt.Sprintf("allocated by %s, %s left there", q.Allocator, number(*q.AllocatorTokens))
	default:
		return "allocated by " + q.Allocator
	}
}

// String describes whether the request would be admitted.
func (a explainedAdmission) String() string {
	refused := fmt.Sprintf("%d %s", a.Status, a.Reason)
	if a.RetryAfterMs > 0 {
		refused += ", retry after " + milliseconds(a.RetryAfterMs)
	}
	switch a.Verdict {
	case "refused":
		return fmt.Sprintf("%-16s %s", a.Verdict, refused)
	case "partly":
		return fmt.Sprintf("%-16s %s of the rank; the others get %s", a.Verdict, number(a.Share), refused)
	default:
		return fmt.Sprintf("%-16s %s of the rank", a.Verdict, number(a.Share))
	}
}

// printTargets prints the table of targets.
func (e *nodeExplanation) printTargets(t *terminal) error {
	if len(e.Targets) == 0 {
		t.printf("service %s has no targets\n", e.Service)
		return nil
	}
	choice := "COST"
	if e.Balancing == "weighted" {
		choice = "SPEED\tDRAWN"
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "TARGET\tSTATE\tOWN\tRUNNING\tQUEUED\tLIMIT\tAGE\t%s\tADMITS\tREMARKS\n", choice)
	for _, x := range e.Targets {
		state := "candidate"
		if !x.Candidate {
			state = "left out"
		}
		choice := costText(x.Cost)
		if e.Balancing == "weighted" {
			choice = orUnknown(x.Speed) + "\t" + orUnknown(x.DrawShare)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\n",
			x.Address, state, x.InFlight, x.Report.columns(x.Slots), choice, number(x.AdmittedShare), orNone(x.remarks()))
	}
	return w.Flush()
}

// columns returns the reported use and its age. Before the first report the limit is the slots.
func (r *explainedReport) columns(slots int) string {
	if r == nil {
		return fmt.Sprintf("-\t-\t%d\t-", slots)
	}
	age := milliseconds(r.AgeMs)
	if !r.Current {
		age += " (expired)"
	}
	return fmt.Sprintf("%d\t%d\t%d\t%s", r.Running, r.Queued, r.Limit, age)
}

// remarks returns the reason why the target is left out, and what lowers its share of the requests.
func (x *explainedTarget) remarks() []string {
	var out []string
	switch {
	case x.LeavingCause != "":
		out = append(out, x.LeftOut+" ("+x.LeavingCause+")")
	case x.LeftOut != "" && x.LeftOut != "ejected":
		out = append(out, x.LeftOut)
	}
	if x.EjectedUntil != nil {
		remark := fmt.Sprintf("ejected for %s, until %s", milliseconds(x.EjectedForMs), x.EjectedUntil.Format("15:04:05.000"))
		if x.Candidate {
			remark += ", ignored because most targets are ejected"
		}
		out = append(out, remark)
	}
	if x.Unreachable {
		out = append(out, "node unreachable")
	}
	if x.SlowStartMs > 0 {
		out = append(out, "slow start for "+milliseconds(x.SlowStartMs))
	}
	if x.LostShare > 0 {
		out = append(out, "loses "+number(x.LostShare)+" of the responses")
	}
	return out
}

func milliseconds(n int64) string {
	return (time.Duration(n) * time.Millisecond).String()
}

// number returns a number with at most three digits after the point.
func number(x float64) string {
	return strconv.FormatFloat(math.Round(x*1000)/1000, 'f', -1, 64)
}

// costText returns a cost with three digits, or a dash for a target that is left out.
func costText(x float64) string {
	if x == 0 {
		return "-"
	}
	return strconv.FormatFloat(x, 'g', 3, 64)
}

// orUnknown returns a number, or a dash if it is zero, which means that it isn't known.
func orUnknown(x float64) string {
	if x == 0 {
		return "-"
	}
	return number(x)
}
