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

// TestFleetComparesViews: the command prints all views in one table, the proxies that differ, the members
// whose views were not read, and why a member is dead. The command fails if views differ or a proxy has no
// view.
func TestFleetComparesViews(t *testing.T) {
	alive := func(name string) gossip.Member { return gossip.Member{Name: name, Health: "alive", State: "serving"} }
	dead := gossip.Member{Name: "n2", Health: "dead", State: "serving", Reason: "suspected, and did not speak up in time", Accusers: "n0"}
	n0 := gossip.Report{Fleet: "f", Name: "n0", Digest: "aa", Members: []gossip.Member{alive("n0"), alive("n1"), dead}}
	n1 := gossip.Report{Fleet: "f", Name: "n1", Digest: "bb", Members: []gossip.Member{alive("n0"), alive("n1"), alive("n2")}}
	sameView := n0
	sameView.Name = "n1"
	serveView := func(r gossip.Report) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { besteffort.Encode(json.NewEncoder(w).Encode(r)) }))
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	withoutView := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(withoutView.Close)
	for _, c := range []struct {
		addresses []string
		fails     bool
		want      []string
	}{
		{[]string{serveView(n0), serveView(sameView)}, false, []string{"settled: 2 asked, fleet f, digest aa\n", "did not speak up in time; by n0"}},
		{[]string{serveView(n0)}, false, []string{"alive and not asked: n1\n"}},
		{[]string{serveView(n0), serveView(n1)}, true, []string{"not settled: fleet f, digest aa at n0\n", "digest bb at n1\n"}},
		{[]string{serveView(n0), withoutView.Listener.Addr().String()}, true, []string{"settled: 1 asked", "the proxy has no view"}},
	} {
		var out bytes.Buffer
		r := root()
		r.SetArgs(append([]string{"fleet"}, c.addresses...))
		r.SetOut(&out)
		r.SetErr(&out)
		err := r.Execute()
		if (err != nil) != c.fails {
			t.Errorf("%d proxies: unexpected result, error %v", len(c.addresses), err)
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
