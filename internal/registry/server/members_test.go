package server

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"wrenspread/internal/lab/link"
)

// stableElection is an election timeout for clusters of several replicas: on a loaded machine, a leader may
// pause for half of it without losing its leadership.
var stableElection = Default().ElectionTimeout

// TestClusterGrowsAndRemovesItsLeader adds two replicas to a single replica while it serves. Then the first
// replica is removed although it leads, and the others continue to serve.
func TestClusterGrowsAndRemovesItsLeader(t *testing.T) {
	at := map[string]string{}
	for _, name := range []string{"r0", "r1", "r2"} {
		address, free, err := link.Reserve()
		if err != nil {
			t.Fatal(err)
		}
		defer free()
		at[name] = address
	}
	first, stop := serve(t, t.TempDir(), func(c *Config) { c.Raft, c.ElectionTimeout = at["r0"], stableElection })
	defer stop()
	register(t, first, "a", "")
	urls := []string{first}
	for _, name := range []string{"r1", "r2"} {
		url, stop := startReplica(t, t.TempDir(), func(c *Config) {
			c.Name, c.Raft, c.ElectionTimeout = name, at[name], stableElection
			c.Replicas = []Replica{{"r0", at["r0"], strings.TrimPrefix(first, "http://")}, {name, at[name], c.Listen}}
		})
		defer stop()
		urls = append(urls, url)
		body := fmt.Sprintf(`{"raft":%q,"http":%q}`, at[name], strings.TrimPrefix(url, "http://"))
		for until := time.Now().Add(enough); !strings.Contains(callUntilOK(t, "PUT", first+"/registry/members/"+name, body), `"votes":true`); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(until) {
				t.Fatalf("replica %s does not become a voter", name)
			}
		}
	}
	for tried, until := false, time.Now().Add(enough); ; time.Sleep(5 * time.Millisecond) {
		status, body := call(t, "DELETE", urls[1]+"/registry/members/r0", "")
		if status == 200 || tried && status == 404 { // 404: an earlier attempt of unknown outcome was applied
			break
		} else if tried = true; time.Now().After(until) {
			t.Fatalf("r0 is not removed: %d %s", status, body)
		}
	}
	callUntilOK(t, "PUT", urls[2]+"/registry/instances/b", `{"entry":{"name":"b","address":"127.0.0.1:1","status":"ready","weight":1}}`)
	if a := readCurrentList(t, urls[1]); len(a.Endpoints) != 2 {
		t.Errorf("without r0 the list is %+v", a)
	}
	if body := callUntilOK(t, "GET", urls[1]+"/registry/members", ""); strings.Contains(body, "r0") || strings.Count(body, `"votes":true`) != 2 {
		t.Errorf("the replicas are %s", body)
	}
	status, body := 503, ""
	for until := time.Now().Add(enough); status == 503 && time.Now().Before(until); time.Sleep(5 * time.Millisecond) { // 503: there is no leader
		status, body = call(t, "PUT", urls[2]+"/registry/members/r9", "{}")
	}
	if status != 400 {
		t.Errorf("a replica without a known address is added: %d %s", status, body)
	}
}
