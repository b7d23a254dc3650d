package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/membership/gossip"
)

// TestFleet: one table of all views; who differs, who was not asked, and why a member is dead.
func TestFleet(t *testing.T) {
	alive := func(name string) gossip.Member { return gossip.Member{Name: name, Health: "alive", State: "serving"} }
	dead := gossip.Member{Name: "n2", Health: "dead", State: "serving", Reason: "suspected, and did not speak up in time", Accusers: "n0"}
	n0 := gossip.Report{Fleet: "f", Name: "n0", Digest: "aa", Members: []gossip.Member{alive("n0"), alive("n1"), dead}}
	n1 := gossip.Report{Fleet: "f", Name: "n1", Digest: "bb", Members: []gossip.Member{alive("n0"), alive("n1"), alive("n2")}}
	same := n0
	same.Name = "n1"
	node := func(r gossip.Report) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { besteffort.Encode(json.NewEncoder(w).Encode(r)) }))
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	none := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(none.Close)
	for _, c := range []struct {
		addresses []string
		fails     bool
		want      []string
	}{
		{[]string{node(n0), node(same)}, false, []string{"settled: 2 asked, fleet f, digest aa\n", "did not speak up in time; by n0"}},
		{[]string{node(n0)}, false, []string{"alive and not asked: n1\n"}},
		{[]string{node(n0), node(n1)}, true, []string{"not settled: fleet f, digest aa at n0\n", "digest bb at n1\n"}},
		{[]string{node(n0), none.Listener.Addr().String()}, true, []string{"settled: 1 asked", "it keeps no view"}},
	} {
		var out bytes.Buffer
		r := root()
		r.SetArgs(append([]string{"fleet"}, c.addresses...))
		r.SetOut(&out)
		r.SetErr(&out)
		err := r.Execute()
		if (err != nil) != c.fails {
			t.Errorf("%d nodes: %v", len(c.addresses), err)
		}
		if err != nil {
			out.WriteString(err.Error())
		}
		for _, want := range c.want {
			if !strings.Contains(out.String(), want) {
				t.Errorf("no %q in\n%s", want, out.String())
			}
		}
	}
}
