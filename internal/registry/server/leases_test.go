package server

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"wrenspread/internal/registry"
)

// getLeases reads leases from a replica.
func getLeases(t *testing.T, url, query string) registry.LeasesResponse {
	t.Helper()
	status, body := call(t, "GET", url+"/registry/duties"+query, "")
	var a registry.LeasesResponse
	if err := json.Unmarshal([]byte(body), &a); status != 200 || err != nil {
		t.Fatalf("%s: %d %s", query, status, body)
	}
	return a
}

// TestExpiredLeaseIsGrantedAgainAfterRestart lets a session expire around a restart on the same folder. The
// next session is granted the lease with a higher fencing token, and writes of the earlier holder are
// rejected.
func TestExpiredLeaseIsGrantedAgainAfterRestart(t *testing.T) {
	folder := t.TempDir()
	url, stop := serve(t, folder, nil)
	open := func(id string, ttl time.Duration) {
		callUntilOK(t, "PUT", url+"/registry/sessions/"+id, fmt.Sprintf(`{"process":"p-%s","ttl_ms":%d}`, id, ttl.Milliseconds()))
	}
	campaign := func(id string) {
		callUntilOK(t, "POST", url+"/registry/sessions/"+id+"/campaign", `{"duties":[{"duty":"d"}]}`)
	}
	waitForLease := func(session string) registry.Lease { // waits until the session holds the lease
		t.Helper()
		for a, until := getLeases(t, url, "?session="+session), time.Now().Add(enough); ; a = getLeases(t, url, fmt.Sprintf("?session=%s&from=%d&hold_ms=1000", session, a.Index)) {
			if len(a.Leases) == 1 && a.Leases[0].Holder == session {
				return a.Leases[0]
			} else if time.Now().After(until) {
				t.Fatalf("session %s does not get the lease: %+v", session, a)
			}
		}
	}
	open("x", 2*enough) // too long to expire in a pause of this machine
	campaign("x")
	first := waitForLease("x")
	registerWithToken := func(f uint64) (int, string) {
		return register(t, url, "a", fmt.Sprintf(`,"fence":{"duty":"d","fence":%d}`, f))
	}
	if status, body := registerWithToken(first.Token); status != 200 {
		t.Error(status, body)
	}
	open("x", 600*time.Millisecond) // from here on the session may expire at any time
	stop()
	url, stop = serve(t, folder, nil)
	defer stop()
	open("y", 2*enough)
	campaign("y")
	if body := callUntilOK(t, "POST", url+"/registry/sessions/renew", `{"sessions":["y"]}`); strings.Contains(body, `"y"`) {
		t.Error(body)
	}
	if second := waitForLease("y"); second.Token <= first.Token {
		t.Errorf("fencing token %d after %d", second.Token, first.Token)
	}
	if status, body := registerWithToken(first.Token); status != 409 || !strings.Contains(body, `"fenced"`) {
		t.Errorf("the earlier holder's write: %d %s", status, body)
	}
	if status, body := call(t, "POST", url+"/registry/sessions/renew", `{"sessions":["x"]}`); status != 200 || !strings.Contains(body, `"x"`) {
		t.Errorf("renewal of an expired session: %d %s", status, body)
	}
	if status, _ := call(t, "GET", url+"/registry/duties?session=x", ""); status != 404 {
		t.Errorf("leases of an expired session: %d", status)
	}
	for _, c := range []struct {
		method, path, body string
		want               int
	}{{"PUT", "/registry/sessions/z", `{"process":"p","ttl_ms":1}`, 400}, {"PUT", "/registry/sessions/z", `{"ttl_ms":1000}`, 400}, {"POST", "/registry/sessions/z/campaign", `{"duties":[{"duty":"d"}]}`, 404},
		{"POST", "/registry/sessions/y/campaign", `{"duties":[{}]}`, 400}, {"POST", "/registry/duties/none/yield", "", 404}, {"POST", "/registry/duties/d/block", "", 400},
		{"POST", "/registry/sessions/renew", "{}", 400}, {"GET", "/registry/duties?from=x", "", 400}, {"GET", "/registry/items", "", 200}} {
		if status, body := call(t, c.method, url+c.path, c.body); status != c.want {
			t.Errorf("%s %s: %d %s, want %d", c.method, c.path, status, body, c.want)
		}
	}
}

// TestGrantsAreRateLimited lets candidates crash in a loop. The lease is not granted more often than the limit
// on grants allows.
func TestGrantsAreRateLimited(t *testing.T) {
	url, stop := serve(t, t.TempDir(), nil)
	defer stop()
	start := time.Now()
	for i := range 20 {
		id := fmt.Sprint("x", i)
		call(t, "PUT", url+"/registry/sessions/"+id, `{"process":"p","ttl_ms":60000}`)
		call(t, "POST", url+"/registry/sessions/"+id+"/campaign", `{"duties":[{"duty":"d"}]}`)
		call(t, "DELETE", url+"/registry/sessions/"+id, "")
	}
	call(t, "PUT", url+"/registry/sessions/last", `{"process":"p","ttl_ms":60000}`)
	call(t, "POST", url+"/registry/sessions/last/campaign", `{"duties":[{"duty":"d"}]}`)
	for until := time.Now().Add(enough); ; time.Sleep(5 * time.Millisecond) {
		if d := getLeases(t, url, "").Leases; len(d) == 1 && d[0].Holder == "last" {
			break
		} else if time.Now().After(until) {
			t.Fatalf("the last session does not get the lease: %+v", d)
		}
	}
	if took := time.Since(start); took < grantInterval/2 {
		t.Errorf("20 crashes and a holder took only %v", took)
	}
}
