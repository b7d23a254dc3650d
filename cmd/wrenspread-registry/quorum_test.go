package main

import (
	"context"
	"os"
	"testing"
	"time"

	"wrenspread/internal/lab/quorum"
)

// TestMain runs the program instead of the tests if a test has started this binary as a replica.
func TestMain(m *testing.M) {
	if os.Getenv("WRENSPREAD_REGISTRY_AS_PROGRAM") == "1" {
		main()
		return
	}
	os.Exit(m.Run())
}

// TestQuorumUnderFaults: under kills, pauses, cuts and delays of three replicas, writes and current reads are
// linearizable, and watches have no gaps, are in order and agree with each other.
func TestQuorumUnderFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		o, err := quorum.Play(context.Background(), quorum.Options{Seed: seed, Replicas: 3, Clients: 4, Length: 6 * time.Second, Dir: t.TempDir(),
			Command: []string{os.Args[0]}, Env: []string{"WRENSPREAD_REGISTRY_AS_PROGRAM=1"}})
		if err != nil {
			t.Fatal(err)
		}
		t.Log(o.Line())
		for _, b := range o.Broken {
			t.Error(b)
		}
		if o.Changes == 0 {
			t.Error("nothing was written")
		}
	}
}
