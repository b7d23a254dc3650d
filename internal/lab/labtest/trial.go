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

// Enough is a time that only a hang takes.
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

// Run starts something that goes on until stop is called; its error then is the test's.
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

// Await waits until something is so.
func Await(t testing.TB, what string, is func() bool) {
	t.Helper()
	for until := time.Now().Add(Enough); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%s does not come", what)
		}
	}
}

// List runs a registry of one replica until the test ends, and gives its address
// and a client.
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
