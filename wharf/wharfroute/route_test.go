package wharfroute

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestFind(t *testing.T) {
	table := NewTable(Set{Version: 3, Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "root", Host: "b.example", Prefix: "/"},
	}})
	tests := []struct{ name, host, path, want string }{
		{"exact prefix", "a.example", "/x/", "short"},
		{"longest prefix", "a.example", "/x/y/z", "long"},
		{"prefix matches whole segments", "a.example", "/x/yy", "short"},
		{"host in another case", "A.Example", "/x/1", "short"},
		{"no trailing slash", "a.example", "/x", ""},
		{"other host", "c.example", "/x/1", ""},
		{"root", "b.example", "/anything", "root"},
		{"empty path", "b.example", "", ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			got := ""
			if r := table.Find(tc.host, tc.path); r != nil {
				got = r.Name
			}
			is.New(t).Equal(got, tc.want)
		})
	}
	is.New(t).True((*Table)(nil).Find("a.example", "/x/") == nil)
}

// TestWeightedRoundRobinFollowsWeights checks that after every request, each service
// has its share of all requests so far. The allowed difference, in requests, is the
// number of services.
func TestWeightedRoundRobinFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 100), 1, 5).Draw(t, "weights")
		r := &Route{}
		for i, w := range weights {
			r.Services = append(r.Services, WeightedService{Service: string(rune('a' + i)), Weight: w})
		}
		total := r.TotalWeight()
		if total == 0 || len(weights) == 1 {
			return
		}
		var s WeightedRoundRobin
		counts := map[string]int{}
		for n := 1; n <= 300; n++ {
			counts[s.Next(r)]++
			for _, service := range r.Services {
				off := float64(counts[service.Service]) - float64(n*service.Weight)/float64(total)
				if off < -float64(len(weights)) || off > float64(len(weights)) {
					t.Fatalf("after %d requests, service %s is off its share by %f requests", n, service.Service, off)
				}
			}
		}
	})
}
