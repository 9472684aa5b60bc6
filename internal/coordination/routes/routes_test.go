package routes

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	c := qt.New(t)
	table := NewTable(&Config{Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	}})
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z/1", "long"},
		{"A.example:80", "/x/yy", "short"},
		{"b.example", "/x/y/z/", "other"},
		{"b.example", "/x/y/z", ""}, // a prefix ends with a slash
		{"c.example", "/x/", ""},
	} {
		r := table.Lookup(test.host, test.path)
		name := ""
		if r != nil {
			name = r.Name
		}
		c.Check(name, qt.Equals, test.want, qt.Commentf("%s%s", test.host, test.path))
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	c := qt.New(t)
	r := Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	count := map[string]int{}
	for i := range 1000 {
		count[r.Pick(float64(i)/1000)]++
	}
	c.Assert(count, qt.DeepEquals, map[string]int{"a": 900, "b": 100})
	c.Assert((&Route{}).Pick(0.5), qt.Equals, "")
}

func TestMaxAdaptersIsLimitedByMemoryAndSlots(t *testing.T) {
	c := qt.New(t)
	spec := EngineSpec{WeightsMB: 1000, AdapterSlots: 20, Models: []Model{{Name: "m0", WeightsMB: 900, AdapterMB: 40}, {Name: "m1", WeightsMB: 600, AdapterMB: 80}}}
	resident := []string{"m0"}
	c.Assert(spec.MaxAdapters(resident), qt.Equals, 2)
	c.Assert(spec.MaxAdapters([]string{"m1"}), qt.Equals, 5)
	spec.WeightsMB = 5000
	c.Assert(spec.MaxAdapters(resident), qt.Equals, 20)
}
