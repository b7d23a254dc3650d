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

// TestFollowerOfRecords: whichever replica answers, up to date, lagging or restored, a follower has the records of a
// version that was, never goes back within an epoch, and has today's once an up-to-date one answers.
func TestFollowerOfRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := registry.NewState()
		s.Apply(registry.Command{Op: registry.OpBegin, Epoch: "e0"})
		were := map[string]map[string]string{}
		note := func(s *registry.State) {
			at := map[string]string{}
			for _, r := range s.Records("a/") {
				whole, _ := s.Record(r.Key)
				at[r.Key] = string(whole.Value)
			}
			were[fmt.Sprint(s.Epoch(), s.Version())] = at
		}
		note(s)
		replicas := []*registry.State{copied(t, s)}
		f := &recordFollower{}
		now := time.Unix(0, 0)
		ask := func(of *registry.State) {
			from, before := f.version, f.version
			epoch := f.epoch
			if epoch != of.Epoch() {
				from = 0
			}
			a, _ := of.RecordsSince("a/", from, len(f.records))
			if verdict, err := f.apply(now, time.Minute, a); verdict == NeedsComplete {
				t.Fatal(err)
			}
			if f.epoch == epoch && f.version < before {
				t.Fatalf("back from %d to %d", before, f.version)
			}
			got := map[string]string{}
			for _, r := range f.snapshot().All {
				got[r.Key] = string(r.Value)
			}
			if want := were[fmt.Sprint(f.epoch, f.version)]; f.epoch != "" && !reflect.DeepEqual(got, want) {
				t.Fatalf("at %s %d it has %v, there was %v", f.epoch, f.version, got, want)
			}
		}
		for n := range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Second)
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 2:
				key := rapid.SampledFrom([]string{"a/1", "a/2", "a/3", "b/1"}).Draw(t, "key")
				c := registry.Command{Op: registry.OpPutRecord, Name: key, Value: json.RawMessage(fmt.Sprint(n))}
				if rapid.IntRange(0, 2).Draw(t, "away") == 0 {
					c.Value = nil
				}
				s.Apply(c)
				note(s)
			case 3:
				replicas = append(replicas, copied(t, s))
			case 4:
				image, err := s.EncodeSnapshot()
				if err != nil {
					t.Fatal(err)
				}
				s.Apply(registry.Command{Op: registry.OpRestore, Epoch: fmt.Sprint("e", n+1), ReplacesEpoch: s.Epoch(), Snapshot: image})
				note(s)
			default:
				ask(replicas[rapid.IntRange(0, len(replicas)-1).Draw(t, "replica")])
			}
		}
		ask(s)
		if f.epoch != s.Epoch() || f.version != s.Version() {
			t.Fatalf("it stays at %s %d, the service has %s %d", f.epoch, f.version, s.Epoch(), s.Version())
		}
	})
}

// TestFollowersAfterAFailure: the call after one that failed, however, is not held; the one after an answer is again.
func TestFollowersAfterAFailure(t *testing.T) {
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
		for _, how := range append(silences, silence{"refused", 0, refuse}, silence{"cut in mid-answer", 0, cut}) {
			t.Run(name+" "+how.name, func(t *testing.T) {
				inBubble(t, func(n int, w http.ResponseWriter, r *http.Request) {
					switch n {
					case 0, 3:
						besteffort.Encode(json.NewEncoder(w).Encode(registry.RecordsResponse{Index: uint64(7 + n), Epoch: "e", Records: []registry.Record{}}))
					case 1, 2:
						time.Sleep(how.after)
						how.serve(w, r)
					default:
						silent(w, r)
					}
				}, func(ctx context.Context, s *standIn) {
					k, _ := s.service(hold)
					defer k.Close()
					go follow(ctx, k)
					time.Sleep(20 * time.Second)
					synctest.Wait()
					for i, want := range []string{"5000", "5000", "1", "1", "5000"} {
						if got := s.calls[i].hold; got != want {
							t.Errorf("call %d asks for a hold of %s ms, want %s", i, got, want)
						}
					}
				})
			})
		}
	}
}

func refuse(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }

func cut(w http.ResponseWriter, _ *http.Request) {
	besteffort.Output(io.WriteString(w, `{"index":43,"snapshot":true,"endpoi`))
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}
