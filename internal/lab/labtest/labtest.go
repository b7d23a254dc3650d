// Package labtest helps tests that run several parts of the program at once: it reserves addresses, starts
// parts in the background and waits for conditions.
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

// HangTimeout is a timeout that no step of a test reaches unless it hangs.
const HangTimeout = time.Minute

// Address returns a loopback address whose port is reserved until the test ends.
func Address(t testing.TB) string {
	t.Helper()
	a, free, err := link.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(free)
	return a
}

// Start calls run in the background. stop cancels run's context, waits until run has returned, and fails the
// test if run returned an error.
func Start(t testing.TB, run func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	return func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

// Await waits until the condition is true. It fails the test if that takes longer than HangTimeout.
// description names the condition in the failure.
func Await(t testing.TB, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(HangTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out while waiting for: %s", description)
		}
	}
}

// StartRegistry runs a registry with one replica until the test ends. It returns the address of the registry
// and a client for it.
func StartRegistry(t testing.TB) (address string, registryClient *client.Client) {
	t.Helper()
	c := server.Default()
	c.Folder, c.Listen, c.ElectionTimeout = t.TempDir(), Address(t), 50*time.Millisecond
	t.Cleanup(
		Start(t, func(ctx context.Context) error { return server.Run(ctx, c, slog.New(slog.DiscardHandler)) }),
	)
	registryClient, err := client.New(client.Config{Addresses: []string{c.Listen}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(registryClient.Close)
	return c.Listen, registryClient
}
