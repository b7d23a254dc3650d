package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/registry"
)

// TestRecordFollowerNeverGoesBackAndConverges reads records from replicas that are up to date, lag or were
// restored. The follower always has the records of a version that the service had, never goes back within an
// epoch, and has the present records after a response of an up-to-date replica.
func TestRecordFollowerNeverGoesBackAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := registry.NewState()
		s.Apply(registry.Command{Op: registry.OpBegin, Epoch: "e0"})
		history := map[string]map[string]string{}
		record := func(s *registry.State) {
			at := map[string]string{}
			for _, r := range s.Records("a/") {
				stored, _ := s.Record(r.Key)
				at[r.Key] = string(stored.Value)
			}
			history[fmt.Sprint(s.Epoch(), s.Version())] = at
		}
		record(s)
		replicas := []*registry.State{decodedCopy(t, s)}
		f := &recordFollower{}
		now := time.Unix(0, 0)
		call := func(source *registry.State) {
			from, before := f.version, f.version
			epoch := f.epoch
			if epoch != source.Epoch() {
				from = 0
			}
			a, _ := source.RecordsSince("a/", from, len(f.records))
			if effect, err := f.apply(now, time.Minute, a); effect == NeedsComplete {
				t.Fatal(err)
			}
			if f.epoch == epoch && f.version < before {
				t.Fatalf("the follower goes back from version %d to %d", before, f.version)
			}
			got := map[string]string{}
			for _, r := range f.snapshot().All {
				got[r.Key] = string(r.Value)
			}
			if want := history[fmt.Sprint(f.epoch, f.version)]; f.epoch != "" && !reflect.DeepEqual(got, want) {
				t.Fatalf("at %s %d the follower has %v, the service had %v", f.epoch, f.version, got, want)
			}
		}
		for n := range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Second)
			switch rapid.IntRange(0, 6).Draw(t, "operation") {
			case 0, 1, 2:
				key := rapid.SampledFrom([]string{"a/1", "a/2", "a/3", "b/1"}).Draw(t, "key")
				c := registry.Command{Op: registry.OpPutRecord, Name: key, Value: json.RawMessage(fmt.Sprint(n))}
				if rapid.IntRange(0, 2).Draw(t, "remove") == 0 {
					c.Value = nil
				}
				s.Apply(c)
				record(s)
			case 3:
				replicas = append(replicas, decodedCopy(t, s))
			case 4:
				encoded, err := s.EncodeSnapshot()
				if err != nil {
					t.Fatal(err)
				}
				s.Apply(registry.Command{Op: registry.OpRestore, Epoch: fmt.Sprint("e", n+1), ReplacesEpoch: s.Epoch(), Snapshot: encoded})
				record(s)
			default:
				call(replicas[rapid.IntRange(0, len(replicas)-1).Draw(t, "replica")])
			}
		}
		call(s)
		if f.epoch != s.Epoch() || f.version != s.Version() {
			t.Fatalf("the follower stays at %s %d, the service is at %s %d", f.epoch, f.version, s.Epoch(), s.Version())
		}
	})
}

// TestCallAfterFailureHasNoHold checks that the call after a failed call has no hold, however that call
// failed, and that the call after a response has a hold again.
func TestCallAfterFailureHasNoHold(t *testing.T) {
	const hold = 5 * time.Second
	followers := map[string]func(context.Context, *Client){
		"records": func(ctx context.Context, k *Client) { k.FollowRecords(ctx, "a/", func(Records) {}) },
		"session": func(ctx context.Context, k *Client) {
			for from := uint64(0); backoff.Sleep(ctx, 100*time.Millisecond); {
				if a, err := k.SessionLeases(ctx, "s", from, hold); err == nil {
					from = a.Index
				}
			}
		},
	}
	for name, follow := range followers {
		for _, failure := range append(silentFailures, silentFailure{"refused", 0, respondUnavailable}, silentFailure{"reset in mid-response", 0, abortMidResponse}) {
			t.Run(name+" "+failure.name, func(t *testing.T) {
				withFakeDiscovery(t, func(n int, w http.ResponseWriter, r *http.Request) {
					switch n {
					case 0, 3:
						besteffort.Encode(json.NewEncoder(w).Encode(registry.RecordsResponse{Index: uint64(7 + n), Epoch: "e", Records: []registry.Record{}}))
					case 1, 2:
						time.Sleep(failure.after)
						failure.serve(w, r)
					default:
						neverRespond(w, r)
					}
				}, func(ctx context.Context, s *fakeDiscovery) {
					k, _ := s.service(hold)
					defer k.Close()
					go follow(ctx, k)
					time.Sleep(20 * time.Second)
					synctest.Wait()
					for i, want := range []string{"5000", "5000", "1", "1", "5000"} {
						if got := s.calls[i].hold; got != want {
							t.Errorf("call %d has a hold of %s ms, want %s", i, got, want)
						}
					}
				})
			})
		}
	}
}

// respondUnavailable responds with status 503.
func respondUnavailable(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
}

// abortMidResponse sends a part of a response and resets the connection.
func abortMidResponse(w http.ResponseWriter, _ *http.Request) {
	besteffort.Output(io.WriteString(w, `{"index":43,"snapshot":true,"endpoi`))
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}
