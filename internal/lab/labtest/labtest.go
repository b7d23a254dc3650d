// Package labtest helps tests that run several parts of the program at once.
package labtest

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"wrenspread/internal/lab/link"
	"wrenspread/internal/registry/client"
	"wrenspread/internal/registry/server"
)

// Enough is a timeout that is only reached when something hangs.
const Enough = time.Minute

// Address reserves a port on this machine until the test ends.
func Address(t testing.TB) string {
	t.Helper()
	a, free, err := link.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(free)
	return a
}

// Run runs do in the background until stop is called, which cancels the context and fails the test if do
// returned an error.
func Run(t testing.TB, do func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- do(ctx) }()
	return func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

// Await waits until the condition is true, and fails the test after Enough. what names the condition.
func Await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for until := time.Now().Add(Enough); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%s does not come", what)
		}
	}
}

// List runs a registry with one replica until the test ends, and returns its address and a client.
func List(t testing.TB) (address string, k *client.Client) {
	t.Helper()
	c := server.Default()
	c.Folder, c.Listen, c.ElectionTimeout = t.TempDir(), Address(t), 50*time.Millisecond
	t.Cleanup(
		Run(t, func(ctx context.Context) error { return server.Run(ctx, c, slog.New(slog.DiscardHandler)) }),
	)
	k, err := client.New(client.Config{Addresses: []string{c.Listen}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	return c.Listen, k
}
